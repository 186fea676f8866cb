#include "pool_fleet.h"

#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "crashing_jobs.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

using testing::IsEmpty;

class PoolFleetTest : public testing::Test {
 protected:
  static constexpr int kRunnersPerDomain = 4;

  PoolFleetTest() { fleet_.loop.RunFor(absl::Seconds(2)); }

  int Answers(JobStatus status) { return fleet_.answers[status]; }

  void SubmitMany(int jobs, absl::Duration pause) {
    const auto names = fleet_.Names();
    for (int i = 0; i < jobs; ++i) {
      fleet_.Submit(names[i % names.size()], 2);
      fleet_.loop.RunFor(pause);
    }
  }

  // Occupies all runners of the domain for `busy` and submits one more job to
  // the owner of its pool. Returns the key of that job, which is queued.
  std::string SubmitToFullPool(const std::string& domain, absl::Duration busy) {
    size_t free_slots = 0;
    for (const auto& it : fleet_.RunnerNames()) {
      if (it.starts_with(domain)) {
        FakeRunner& runner = *fleet_.runners[it];
        runner.run_time = busy;
        free_slots += runner.capacity - runner.runs();
      }
    }
    const std::string owner = fleet_.OwnerOf(domain);
    for (size_t i = 0; i < free_slots; ++i) {
      fleet_.Submit(owner, 1);
    }
    fleet_.loop.RunFor(absl::Milliseconds(100));
    std::string key = fleet_.Submit(owner, 1);
    fleet_.loop.RunFor(absl::Milliseconds(20));
    EXPECT_EQ(fleet_.log.starts[key], 0) << "the job is not queued";
    return key;
  }

  // Restarts the daemon as a VM of another size.
  void Resize(const std::string& name, uint32_t cpu_millicores) {
    fleet_.Kill(name);
    fleet_.cpu_millicores[name] = cpu_millicores;
    fleet_.StartDaemon(name);
  }

  PoolFleet fleet_{1, 2, kRunnersPerDomain};
};

// Guards against jobs that do not reach the runners without any faults.
TEST_F(PoolFleetTest, Jobs_NoFaults_AllComplete) {
  SubmitMany(40, absl::Milliseconds(50));
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(Answers(JobStatus::kComplete), 40) << fleet_.TraceOfIncomplete();
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against a job that runs in another pool after its client disconnected
// while it was queued: its repetition at another daemon would run beside it.
TEST_F(PoolFleetTest, Client_DisconnectsFromQueuedJob_JobStartsNowhere) {
  const std::string key = SubmitToFullPool("d1", absl::Seconds(1));
  fleet_.Disconnect(key);
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_EQ(fleet_.log.starts[key], 0) << fleet_.log.TraceOf(key);
}

// Guards against a queued job that runs in another pool after its cancellation
// was confirmed.
TEST_F(PoolFleetTest, Job_CancelledWhileQueuedInOwnPool_StartsNowhere) {
  const std::string key = SubmitToFullPool("d1", absl::Seconds(1));
  fleet_.Cancel(fleet_.OwnerOf("d1"), key);
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_EQ(fleet_.jobs[key].cancel_result, CancelResult::kCancelled);
  EXPECT_EQ(fleet_.log.starts[key], 0) << fleet_.log.TraceOf(key);
  EXPECT_EQ(fleet_.jobs[key].error.code, ErrorCode::kCancelled);
}

// Guards against the same where the daemon that took the job has handed it to
// the owner of a pool, and another daemon cancels it there.
TEST_F(PoolFleetTest, Job_CancelledWhileQueuedAtOtherDaemon_StartsNowhere) {
  // With room in the other pool, the job would start there.
  SubmitToFullPool("d2", absl::Seconds(1));
  SubmitToFullPool("d1", absl::Seconds(1));
  const std::string owner = fleet_.OwnerOf("d1");
  const std::string key = fleet_.Submit(owner == "d1n0" ? "d1n1" : "d1n0", 1);
  fleet_.loop.RunFor(absl::Milliseconds(20));
  ASSERT_EQ(fleet_.log.starts[key], 0) << "the job is not queued";
  fleet_.Cancel("d2n1", key);
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_EQ(fleet_.jobs[key].cancel_result, CancelResult::kCancelled);
  EXPECT_EQ(fleet_.log.starts[key], 0) << fleet_.log.TraceOf(key);
  EXPECT_EQ(fleet_.jobs[key].error.code, ErrorCode::kCancelled);
}

// Guards against two runs of a task at a time after a client has submitted its
// job again to the same daemon, which prefers another pool by now.
TEST_F(PoolFleetTest, Job_SubmittedAgainToItsDaemon_RunsOnce) {
  const std::string owner = fleet_.OwnerOf("d1");
  for (const auto& it : fleet_.RunnerNames()) {
    fleet_.runners[it]->run_time = absl::Seconds(1);
  }
  const std::string key = fleet_.Submit(owner, 1);
  fleet_.loop.RunFor(absl::Milliseconds(100));
  SubmitToFullPool("d1", absl::Seconds(1));
  fleet_.Repeat(owner, key);
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_THAT(fleet_.log.violations, IsEmpty()) << fleet_.log.TraceOf(key);
  EXPECT_EQ(fleet_.jobs[key].status, JobStatus::kComplete);
}

// Guards against a failed answer to the repetition of a job when the broken
// connection of the first submission is noticed late.
TEST_F(PoolFleetTest, Job_FirstOfTwoClientsDisconnects_Completes) {
  const std::string key = SubmitToFullPool("d1", absl::Milliseconds(500));
  const uint64_t first = fleet_.jobs[key].submission;
  fleet_.Repeat(fleet_.OwnerOf("d1"), key);
  fleet_.loop.RunFor(absl::Milliseconds(1));
  fleet_.daemon(fleet_.OwnerOf("d1")).node->Abandon(first);
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_EQ(fleet_.jobs[key].status, JobStatus::kComplete);
  EXPECT_EQ(fleet_.log.starts[key], 1) << fleet_.log.TraceOf(key);
}

// Guards against a job that starts although its cancellation was answered: the
// cancellation had reached the pools before the job, which was then on its way
// from one pool to the next.
TEST_F(PoolFleetTest, Job_CancellationArrivesFirst_StartsNowhere) {
  const std::string key = "job0";  // that of the first job
  fleet_.Cancel("d2n1", key);
  fleet_.loop.RunFor(absl::Seconds(1));
  ASSERT_EQ(fleet_.Submit("d1n1", 2), key);
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_EQ(fleet_.log.starts[key], 0) << fleet_.log.TraceOf(key);
  EXPECT_EQ(fleet_.jobs[key].error.code, ErrorCode::kCancelled);
}

// A job is at work in d1 when its client cancels it.
class PoolFleetCancelTest : public PoolFleetTest {
 protected:
  PoolFleetCancelTest() {
    for (const auto& it : fleet_.RunnerNames()) {
      fleet_.runners[it]->run_time = absl::Seconds(20);
    }
    fleet_.job_deadline = absl::Seconds(20);
    owner_ = fleet_.OwnerOf("d1");
    key_ = fleet_.Submit(owner_, 2);
    fleet_.loop.RunFor(absl::Milliseconds(100));
    EXPECT_EQ(fleet_.log.starts[key_], 2);
  }

  std::optional<CancelResult> Cancel(const std::string& daemon) {
    fleet_.jobs[key_].cancel_result.reset();
    fleet_.Cancel(daemon, key_);
    fleet_.loop.RunFor(absl::Milliseconds(500));
    return fleet_.jobs[key_].cancel_result;
  }
  int RunsAtWork() { return fleet_.log.active[key_ + "/0.0.0"]; }
  // The request of the job arrives once more at each of the daemons.
  void ExpectNoStartAgain(const std::vector<std::string>& daemons) {
    for (const auto& it : daemons) {
      fleet_.Repeat(it, key_);
      fleet_.loop.RunFor(absl::Seconds(1));
    }
    EXPECT_EQ(fleet_.log.starts[key_], starts_) << fleet_.log.TraceOf(key_);
  }

  int starts_ = 2;  // of its tasks, before the cancellation
  std::string owner_;
  std::string key_;
};

// Guards against a cancelled job that is run when its request arrives again
// after its owner was killed: the daemon that takes the pool over, or the new
// process, did not know the cancelled key.
TEST_F(PoolFleetCancelTest, CancelledJob_OwnerIsKilled_StartsNowhere) {
  EXPECT_EQ(Cancel(owner_), CancelResult::kCancelled);
  fleet_.Kill(owner_);
  fleet_.loop.RunFor(absl::Milliseconds(500));
  fleet_.StartDaemon(owner_);
  fleet_.loop.RunFor(absl::Seconds(4));
  ExpectNoStartAgain({"d1n0", "d1n1"});
}

// Guards against the same where the daemon of the domain is the only one, so
// that its new process takes the pool at once.
TEST(PoolFleetCancelledKeysTest,
     CancelledJob_OnlyDaemonRestarts_StartsNowhere) {
  PoolFleet fleet(1, 1, 4);
  fleet.loop.RunFor(absl::Seconds(2));
  const std::string key = fleet.Submit("d1n0", 1);
  fleet.Cancel("d1n0", key);
  fleet.loop.RunFor(absl::Seconds(1));
  const int starts = fleet.log.starts[key];
  fleet.Kill("d1n0");
  fleet.loop.RunFor(absl::Milliseconds(500));
  fleet.StartDaemon("d1n0");
  for (int i = 0; i < 50; ++i) {
    fleet.Repeat("d1n0", key);
    fleet.loop.RunFor(absl::Milliseconds(100));
  }
  EXPECT_EQ(fleet.OwnerOf("d1"), "d1n0");
  EXPECT_EQ(fleet.log.starts[key], starts) << fleet.log.TraceOf(key);
}

// Guards against the same after a graceful shutdown, which hands the pool over.
TEST_F(PoolFleetCancelTest, CancelledJob_OwnerDrains_StartsNowhere) {
  EXPECT_EQ(Cancel(owner_), CancelResult::kCancelled);
  fleet_.daemon(owner_).node->BeginDrain();
  fleet_.loop.RunFor(absl::Seconds(3));
  fleet_.Kill(owner_);
  fleet_.loop.RunFor(absl::Seconds(2));
  ExpectNoStartAgain({owner_ == "d1n0" ? "d1n1" : "d1n0", "d2n0"});
}

// Guards against the same on a VM that replaces all those of the domain and
// has another name and address.
TEST_F(PoolFleetCancelTest, CancelledJob_VmsAreReplaced_StartsNowhere) {
  EXPECT_EQ(Cancel(owner_), CancelResult::kCancelled);
  fleet_.Kill("d1n0");
  fleet_.Kill("d1n1");
  fleet_.daemon("d1n2").name = "d1n2";
  fleet_.daemon("d1n2").domain = "d1";
  fleet_.StartDaemon("d1n2");
  fleet_.loop.RunFor(absl::Seconds(8));
  EXPECT_EQ(fleet_.OwnerOf("d1"), "d1n2");
  ExpectNoStartAgain({"d1n2"});
}

// Guards against a daemon that is cut off and says that a job does not exist
// which is at work behind the cut, also after it has taken over the pool there,
// and against a job that continues after the cut.
TEST_F(PoolFleetCancelTest,
       Job_CancelledBehindCut_IsUnconfirmedAndStopsAfterIt) {
  fleet_.isolated_reach_store = true;
  fleet_.Isolate("d2");
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(Cancel("d2n0"), CancelResult::kUnconfirmed);
  }
  EXPECT_TRUE(fleet_.OwnerOf("d1").starts_with("d2"));
  EXPECT_EQ(RunsAtWork(), 1);
  // Its client has submitted it again, since the owner misses a client contact.
  starts_ = fleet_.log.starts[key_];
  fleet_.Heal();
  fleet_.loop.RunFor(absl::Seconds(1));
  EXPECT_EQ(RunsAtWork(), 0) << fleet_.log.TraceOf(key_);
  ExpectNoStartAgain({"d1n0", "d2n1"});
}

// Guards against a job that starts behind a cut that was there when it was
// cancelled, and against a cancellation that is never answered with success.
TEST_F(PoolFleetCancelTest, Job_CancelledDuringCut_StartsNowhereAfterIt) {
  fleet_.Isolate("d2");
  EXPECT_EQ(Cancel(owner_), CancelResult::kUnconfirmed);
  EXPECT_EQ(RunsAtWork(), 0);
  fleet_.loop.RunFor(absl::Milliseconds(2200));
  EXPECT_EQ(Cancel(owner_), CancelResult::kCancelled);
  fleet_.Heal();
  fleet_.loop.RunFor(absl::Milliseconds(500));
  ExpectNoStartAgain({"d2n0", "d2n1"});
}

// Guards against a daemon that has just started and says that a job does not
// exist, before it has heard any owner.
TEST_F(PoolFleetCancelTest, Job_CancelledAtNewProcess_IsNotUnknown) {
  fleet_.Kill("d2n0");
  fleet_.StartDaemon("d2n0");
  fleet_.Cancel("d2n0", key_);
  fleet_.loop.RunFor(absl::Seconds(1));
  EXPECT_NE(fleet_.jobs[key_].cancel_result, CancelResult::kNotFound);
  EXPECT_EQ(RunsAtWork(), 0);
}

// Guards against cancellations of jobs that do not exist which are never
// answered with success after the owner of a pool is lost.
TEST_F(PoolFleetCancelTest, Cancellation_OwnerWasKilled_IsAnswered) {
  fleet_.Kill(owner_);
  fleet_.loop.RunFor(absl::Milliseconds(1500));
  key_ = "unknown";
  EXPECT_EQ(Cancel("d2n0"), CancelResult::kNotFound);
}

// Rows that another writer has left in the tables of members and pools.
class PoolFleetMalformedRowsTest : public PoolFleetTest {
 protected:
  static std::string Pack(const auto& value) {
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
  }
  static std::vector<std::string> Values() {
    constexpr size_t kDepth = 200000;
    std::vector<std::string> values = {
        "", "\xc1", "text", std::string(kDepth, '\x91'),
        // An array that claims to have 2^31 elements.
        std::string("\xdd\x80\x00\x00\x00", 5)};
    PoolClaim claim;
    claim.pool = "d1";
    claim.owner = "nobody";
    claim.address = "10.0.0.1:99999";
    for (const uint64_t fence : {uint64_t{1} << 62, ~uint64_t{0}}) {
      claim.fence = fence;
      values.push_back(Pack(claim));
    }
    MemberRecord member;
    member.vm = "nobody";
    member.peer_address = "not an address";
    member.weight = ~uint32_t{0};
    values.push_back(Pack(member));
    return values;
  }
};

// Guards against a pool that gets no owner any more after its row was spoiled.
TEST_F(PoolFleetMalformedRowsTest,
       Pool_RowIsSpoiledAndOwnerLost_IsServedAgain) {
  for (const auto& it : fleet_.RunnerNames()) {
    if (it.starts_with("d2")) {
      fleet_.PutRunner(it, "draining");
    }
  }
  for (const std::string& it : Values()) {
    const std::string owner = fleet_.OwnerOf("d1");
    fleet_.rows.Put("pools/d1", it);
    fleet_.rows.Put("members/nobody", it);
    const std::string restarted = owner.empty() ? "d1n0" : owner;
    fleet_.Kill(restarted);
    fleet_.StartDaemon(restarted);
    fleet_.loop.RunFor(absl::Seconds(5));
    const int before = Answers(JobStatus::kComplete);
    for (int i = 0; i < 4; ++i) {
      fleet_.Submit(fleet_.Names()[i], 2);
      fleet_.loop.RunFor(absl::Milliseconds(200));
    }
    fleet_.loop.RunFor(absl::Seconds(1));
    EXPECT_EQ(Answers(JobStatus::kComplete) - before, 4)
        << absl::CHexEscape(it.substr(0, 60));
    EXPECT_NE(fleet_.OwnerOf("d1"), "") << absl::CHexEscape(it.substr(0, 60));
  }
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// A daemon that has restarted, and the owner of its pool, which has messages of
// both incarnations.
class PoolFleetRestartTest : public PoolFleetTest {
 protected:
  PoolFleetRestartTest() {
    owner_ = fleet_.OwnerOf("d1");
    entry_ = owner_ == "d1n0" ? "d1n1" : "d1n0";
    former_ = fleet_.daemon(entry_).node->self();
    fleet_.Kill(entry_);
    fleet_.StartDaemon(entry_);
    fleet_.loop.RunFor(absl::Seconds(2));
    request_number_ = fleet_.daemon(entry_).incarnation + 1000;
  }

  PoolJobRequest MakeRequest(absl::Duration age) const {
    PoolJobRequest request;
    // Above those of the daemon that the test speaks for.
    request.request = request_number_;
    request.pool = "d1";
    request.key = kKey;
    request.environment = "svc";
    request.upstream_class = "svc";
    request.steps = {{1, 1, 100}};
    request.deadline_ms = 1000;
    request.promised_ms = 1000;
    request.max_failures = 1;
    request.sent_us = absl::ToUnixMicros(fleet_.clock.Monotonic() - age);
    return request;
  }
  void Receive(const MemberRecord& sender, const PeerMessage& message) {
    PoolFleet::Daemon& daemon = fleet_.daemon(owner_);
    daemon.pumped->Post([&daemon, sender, message] {
      daemon.node->OnPeerMessage(sender, message);
    });
    fleet_.loop.RunFor(absl::Milliseconds(10));
  }

  static constexpr char kKey[] = "late";
  uint64_t request_number_ = 0;
  std::string owner_;
  std::string entry_;
  MemberRecord former_;
};

// Guards against a task that runs twice: its order was held up by a partition
// in which its sender was killed, and arrives after the sender's next start.
TEST_F(PoolFleetRestartTest, Order_OfReplacedIncarnation_IsNotExecuted) {
  Receive(former_, MakeRequest(absl::Seconds(3)));
  EXPECT_EQ(fleet_.log.starts[kKey], 0);
}

// Guards against a check of the age alone.
TEST_F(PoolFleetRestartTest, RecentOrder_OfReplacedIncarnation_IsNotExecuted) {
  Receive(former_, MakeRequest(absl::Milliseconds(1)));
  EXPECT_EQ(fleet_.log.starts[kKey], 0);
}

// Guards against a former incarnation that counts as the current one after it
// was heard last: an old order of the new one would be its own baseline.
TEST_F(PoolFleetRestartTest, OldOrder_AfterMessageOfFormer_IsNotExecuted) {
  Receive(former_, PoolStatus());
  Receive(fleet_.daemon(entry_).node->self(), MakeRequest(absl::Seconds(3)));
  EXPECT_EQ(fleet_.log.starts[kKey], 0);
}

// Guards against jobs of a restarted daemon that are cancelled when the end of
// its former connection is noticed, seconds later.
TEST_F(PoolFleetRestartTest, Job_FormerConnectionEnds_Continues) {
  const std::string key = fleet_.Submit(entry_, 1);
  fleet_.loop.RunFor(absl::Milliseconds(20));
  fleet_.daemon(owner_).node->OnSenderDisconnected(former_);
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(fleet_.jobs[key].status, JobStatus::kComplete);
  EXPECT_EQ(fleet_.jobs[key].submissions, 1);
}

// Guards against an order that is executed although its sender gave it up
// before: it arrives on a former connection, after a message on the next one.
TEST_F(PoolFleetRestartTest, Order_GivenUpBefore_IsNotExecuted) {
  const MemberRecord sender = fleet_.daemon(entry_).node->self();
  PoolJobRequest request = MakeRequest(absl::ZeroDuration());
  PoolStatus status;
  status.sent_us = request.sent_us;
  status.oldest_request = request.request + 1;
  Receive(sender, status);
  Receive(sender, request);
  EXPECT_EQ(fleet_.log.starts[kKey], 0);
}

// Guards against a late cancellation that ends the repetition of its job.
TEST_F(PoolFleetRestartTest, Cancellation_OfFormerRequest_SparesRepetition) {
  const MemberRecord sender = fleet_.daemon(entry_).node->self();
  PoolJobRequest request = MakeRequest(absl::ZeroDuration());
  Receive(sender, request);
  ASSERT_EQ(fleet_.log.starts[kKey], 1);
  Receive(sender, PoolJobCancel{0, kKey, request.request - 1});
  fleet_.loop.RunFor(absl::Milliseconds(200));
  EXPECT_TRUE(fleet_.log.done.contains("late/0.0.0"));
}

// Guards against an old order that is taken for a recent one, since no other
// message of its sender has been received before.
TEST_F(PoolFleetRestartTest, OldOrder_FirstOfItsIncarnation_IsNotExecuted) {
  MemberRecord sender = fleet_.daemon(entry_).node->self();
  ++sender.incarnation;
  PoolJobRequest request = MakeRequest(absl::Seconds(2));
  PoolStatus status;
  status.sent_us = request.sent_us;
  Receive(sender, status);
  Receive(sender, request);
  EXPECT_EQ(fleet_.log.starts[kKey], 0);
}

// Guards against a restarted daemon whose orders are refused.
TEST_F(PoolFleetRestartTest, Order_OfNewIncarnation_IsExecuted) {
  Receive(fleet_.daemon(entry_).node->self(),
          MakeRequest(absl::ZeroDuration()));
  EXPECT_EQ(fleet_.log.starts[kKey], 1);
}

// Guards against a pool that has no owner after its owner was killed.
TEST_F(PoolFleetTest, Pools_OwnersKilled_AreClaimedByOtherDaemons) {
  fleet_.Kill("d1n0");
  fleet_.Kill("d2n1");
  fleet_.loop.RunFor(absl::Seconds(2));
  for (int i = 0; i < 10; ++i) {
    fleet_.Submit("d1n1", 2);
    fleet_.Submit("d2n0", 2);
    fleet_.loop.RunFor(absl::Milliseconds(100));
  }
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(Answers(JobStatus::kComplete), 20);
}

// Guards against upstreams that stay idle when all daemons of their failure
// domain are down.
TEST_F(PoolFleetTest,
       Runners_AllDaemonsOfTheirDomainKilled_AreUsedByOtherDomain) {
  fleet_.Kill("d1n0");
  fleet_.Kill("d1n1");
  fleet_.loop.RunFor(absl::Seconds(6));
  for (const auto& it : fleet_.RunnerNames()) {
    if (it.starts_with("d2")) {
      fleet_.PutRunner(it, "draining");
    }
  }
  fleet_.loop.RunFor(absl::Seconds(1));
  fleet_.Submit("d2n0", 2);
  fleet_.loop.RunFor(absl::Seconds(3));
  EXPECT_EQ(Answers(JobStatus::kComplete), 1);
}

// Guards against an owner that stops dispatching while the store is down.
TEST_F(PoolFleetTest, Jobs_StoreDown_Complete) {
  fleet_.SetStoreDown(true);
  fleet_.loop.RunFor(absl::Seconds(5));
  SubmitMany(20, absl::Milliseconds(50));
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(Answers(JobStatus::kComplete), 20);
}

// Guards against a failure domain that does not serve its own callers while it
// is partitioned from the others and from the store.
TEST_F(PoolFleetTest, Domains_Partitioned_ServeTheirCallers) {
  fleet_.Isolate("d1");
  fleet_.loop.RunFor(absl::Seconds(5));
  for (int i = 0; i < 10; ++i) {
    fleet_.Submit("d1n0", 2);
    fleet_.Submit("d2n1", 2);
    fleet_.loop.RunFor(absl::Milliseconds(100));
  }
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(Answers(JobStatus::kComplete), 20);
  fleet_.Heal();
  fleet_.loop.RunFor(absl::Seconds(3));
  SubmitMany(10, absl::Milliseconds(50));
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(Answers(JobStatus::kComplete), 30);
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against a daemon that claims the pools of live owners, and so aborts
// their jobs, after a partition in which it received none of their claims.
TEST_F(PoolFleetTest, Domain_PartitionHeals_DoesNotClaimPoolsOfLiveOwners) {
  fleet_.Isolate("d1");
  fleet_.loop.RunFor(absl::Seconds(2));
  const auto claims = [this](const std::string& pool) {
    return fleet_.rows.rows[absl::StrCat("pools/", pool)].version;
  };
  const int64_t before = claims("d2");
  fleet_.loop.RunFor(absl::Seconds(4));
  fleet_.Heal();
  fleet_.loop.RunFor(absl::Seconds(8));
  EXPECT_EQ(claims("d2"), before);
}

// Guards against pools that another failure domain never returns.
TEST_F(PoolFleetTest, Pool_DaemonOfItsDomainRestarts_IsReturned) {
  fleet_.Kill("d1n0");
  fleet_.Kill("d1n1");
  fleet_.loop.RunFor(absl::Seconds(6));
  fleet_.StartDaemon("d1n1");
  fleet_.loop.RunFor(absl::Seconds(6));
  fleet_.Kill("d2n0");
  fleet_.Kill("d2n1");
  fleet_.Submit("d1n1", 2);
  fleet_.loop.RunFor(absl::Seconds(1));
  EXPECT_EQ(Answers(JobStatus::kComplete), 1);
}

// Guards against tasks that are placed, one after the other, on a runner that
// refuses connections: the retry budgets run out and jobs fail.
TEST_F(PoolFleetTest, Runner_RefusesConnections_GetsNoTasksAfterTheFirst) {
  constexpr int kSlots = 2;
  for (const auto& it : fleet_.Names()) {
    fleet_.daemon(it).runners->refused.insert("d1r0");
  }
  for (int i = 0; i < 12; ++i) {
    fleet_.Submit("d1n0", 2);
  }
  fleet_.loop.RunFor(absl::Seconds(4));
  int starts = 0;
  for (const auto& it : fleet_.Names()) {
    starts += fleet_.daemon(it).runners->starts_of["d1r0"];
  }
  EXPECT_LE(starts, kSlots);
  EXPECT_EQ(Answers(JobStatus::kComplete), 12);
}

// Guards against a small VM that owns a pool while a larger one is alive,
// whichever of them claimed it first.
TEST_F(PoolFleetTest, Pool_VmsOfUnequalSize_IsOwnedByTheLargest) {
  constexpr uint32_t kSmall = 90;
  constexpr uint32_t kLarge = 500;
  for (const auto& it : {"d1n0", "d1n1"}) {
    Resize("d1n0", kSmall);
    Resize("d1n1", kSmall);
    fleet_.loop.RunFor(absl::Seconds(4));
    Resize(it, kLarge);
    fleet_.loop.RunFor(absl::Seconds(6));
    const int before = fleet_.daemon(it).runners->starts;
    const int jobs = Answers(JobStatus::kComplete);
    for (int i = 0; i < 10; ++i) {
      fleet_.Submit("d1n0", 1);
      fleet_.loop.RunFor(absl::Milliseconds(200));
    }
    EXPECT_EQ(fleet_.daemon(it).runners->starts - before, 10);
    EXPECT_EQ(Answers(JobStatus::kComplete) - jobs, 10);
  }
}

// Guards against a pool that changes its owner again and again since the larger
// VM cannot claim it.
TEST_F(PoolFleetTest, Pool_LargerVmCannotClaim_StaysWithSmallVm) {
  Resize("d1n0", 90);
  fleet_.Kill("d1n1");
  fleet_.loop.RunFor(absl::Seconds(4));
  Resize("d1n1", 500);
  fleet_.daemon("d1n1").store->reachable = false;
  fleet_.loop.RunFor(absl::Seconds(6));
  const int64_t version = fleet_.rows.rows["pools/d1"].version;
  fleet_.loop.RunFor(absl::Seconds(10));
  EXPECT_EQ(fleet_.rows.rows["pools/d1"].version, version);
}

// Guards against tasks that start on a draining runner.
TEST_F(PoolFleetTest, Runner_Draining_GetsNoNewTasks) {
  for (const auto& it : fleet_.RunnerNames()) {
    fleet_.PutRunner(it, "draining");
  }
  fleet_.loop.RunFor(absl::Seconds(2));
  SubmitMany(4, absl::Milliseconds(50));
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_THAT(fleet_.log.starts, IsEmpty());
}

// Guards against a watch call that is lost in an unresponsive store and times
// out so late that tasks start on draining runners and an old configuration
// stays in force. Changes must be applied within 2 s after the store answers
// again, plus 3 s until the daemons have reconnected.
TEST_F(PoolFleetTest, Changes_StoreWasUnresponsive_AreAppliedInTime) {
  fleet_.SetStoreUnresponsive(true);
  fleet_.loop.RunFor(absl::Seconds(4));
  fleet_.SetStoreUnresponsive(false);
  fleet_.loop.RunFor(absl::Seconds(3));
  fleet_.PutConfig(5, {"svc", "other"});
  for (const auto& it : fleet_.RunnerNames()) {
    fleet_.PutRunner(it, "draining");
  }
  fleet_.loop.RunFor(absl::Seconds(2));
  for (const auto& it : fleet_.Names()) {
    EXPECT_NE(fleet_.daemon(it).node->FindRoute("host", "/other/x"), nullptr);
  }
  SubmitMany(4, absl::Milliseconds(50));
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_THAT(fleet_.log.starts, IsEmpty());
}

// Guards against idle daemons that send more messages in a larger fleet.
TEST_F(PoolFleetTest, Status_LargeIdleFleet_IsSentToFewPeers) {
  constexpr int kDaemonsPerDomain = 15;
  constexpr int kSeconds = 10;
  // A status per second to two owners and to three random peers.
  constexpr int kMaxMessagesPerSecond = 5;
  PoolFleet large(1, kDaemonsPerDomain, 1);
  large.loop.RunFor(absl::Seconds(3));
  std::map<std::string, int> before;
  for (const auto& it : large.Names()) {
    before[it] = large.daemon(it).transport->sent;
  }
  large.loop.RunFor(absl::Seconds(kSeconds));
  int above_limit = 0;
  for (const auto& it : large.Names()) {
    above_limit += large.daemon(it).transport->sent - before[it] >
                           kMaxMessagesPerSecond * (kSeconds + 1)
                       ? 1
                       : 0;
  }
  EXPECT_LE(above_limit, 2) << "only owners send their status to all peers";
}

// Guards against an older configuration that replaces a newer one, and against
// one that is not applied.
TEST_F(PoolFleetTest, Configuration_NewVersion_IsAppliedWithinTwoSeconds) {
  fleet_.PutConfig(5, {"svc", "other"});
  fleet_.loop.RunFor(absl::Seconds(1));
  fleet_.PutConfig(4, {"svc"});
  fleet_.loop.RunFor(absl::Seconds(1));
  for (const auto& it : fleet_.Names()) {
    EXPECT_NE(fleet_.daemon(it).node->FindRoute("host", "/other/x"), nullptr);
  }
}

// Guards against a daemon without a configuration while its peers have one.
TEST_F(PoolFleetTest, Configuration_StoreUnreachable_IsPulledFromPeer) {
  fleet_.daemon("d1n1").store->reachable = false;
  fleet_.PutConfig(2, {"svc", "other"});
  fleet_.loop.RunFor(absl::Seconds(4));
  EXPECT_NE(fleet_.daemon("d1n1").node->FindRoute("host", "/other/x"), nullptr);
}

// Guards against jobs that fail because their owner shuts down gracefully.
TEST_F(PoolFleetTest, Owner_Drains_HandsItsPoolOver) {
  for (const char* it : {"d1n0", "d1n1"}) {
    PoolNode& node = *fleet_.daemon(it).node;
    fleet_.daemon(it).pumped->Post([&node] { node.BeginDrain(); });
    for (int i = 0; i < 30; ++i) {
      fleet_.Submit("d2n0", 2);
      fleet_.loop.RunFor(absl::Milliseconds(100));
    }
    fleet_.loop.RunFor(absl::Seconds(3));
    EXPECT_TRUE(node.drained());
    fleet_.Kill(it);
    fleet_.StartDaemon(it);
    fleet_.loop.RunFor(absl::Seconds(3));
  }
  EXPECT_EQ(Answers(JobStatus::kComplete), 60);
  EXPECT_EQ(Answers(JobStatus::kFailed), 0);
}

// Guards against a resubmitted job that starts while its first run still
// executes, and against refusals of jobs that ran.
TEST_F(PoolFleetTest, Jobs_OwnerPaused_NeverRunTwiceAtOnce) {
  for (auto& [name, runner] : fleet_.runners) {
    runner->run_time = absl::Seconds(2);
  }
  for (const auto& it : fleet_.Names()) {
    SubmitMany(4, absl::Milliseconds(20));
    fleet_.daemon(it).executor->Pause();
    fleet_.loop.RunFor(absl::Seconds(3));
    fleet_.daemon(it).executor->Resume();
    fleet_.loop.RunFor(absl::Seconds(3));
  }
  fleet_.CheckRefusals();
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against pools that lose most of their capacity while single orders to
// their runners get no answer, and against jobs that spend their promised
// response time waiting for such answers.
TEST_F(PoolFleetTest, Orders_ThreeTenthsUnanswered_MostJobsAreInTime) {
  constexpr int kJobs = 240;  // for 12 s; a quarter of the slots without losses
  const absl::Duration tight_promise =
      absl::Milliseconds(60) + 1.6 * PoolFleet::kDeclaredRun;
  for (const auto& it : fleet_.Names()) {
    fleet_.daemon(it).runners->late_share = 0.3;
  }
  SubmitMany(kJobs, absl::Milliseconds(50));
  fleet_.loop.RunFor(absl::Seconds(3));
  const int in_time = fleet_.CompleteWithin(tight_promise);
  RecordProperty("in_time", in_time);
  EXPECT_GT(in_time, kJobs * 6 / 10);
  EXPECT_GT(fleet_.CompleteWithin(PoolFleet::kPromised), kJobs * 9 / 10);
  fleet_.CheckRefusals();
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against an owner that continues a job after the entry daemon gave it
// up: the partition ends before the owner considers the entry daemon
// unresponsive, and the cancellation was lost in it.
TEST(PoolFleetPartitionTest, Job_GivenUpInShortPartition_NeverRunsTwiceAtOnce) {
  for (int ms = 700; ms <= 1000; ms += 10) {
    SCOPED_TRACE(absl::StrCat("partition of ", ms, " ms"));
    PoolFleet fleet(1, 1, 2);
    for (const auto& [name, runner] : fleet.runners) {
      runner->run_time = absl::Milliseconds(2900);
      fleet.PutRunner(name, name.starts_with("d1") ? "draining" : "ready");
    }
    fleet.loop.RunFor(absl::Seconds(2));
    fleet.Submit("d1n0", 1);
    for (const auto& it : fleet.RunnerNames()) {
      if (it.starts_with("d1")) {
        fleet.runners[it]->Crash();
        fleet.PutRunner(it, "ready");
      }
    }
    fleet.loop.RunFor(absl::Milliseconds(550));
    fleet.Isolate("d1");
    fleet.loop.RunFor(absl::Milliseconds(ms));
    fleet.Heal();
    fleet.loop.RunFor(absl::Seconds(6));
    EXPECT_THAT(fleet.log.violations, IsEmpty());
  }
}

// Guards against an owner that falls behind the changes of the store, since it
// waits between full answers, and starts tasks on leaving runners.
TEST(PoolFleetLoadTest, Runner_LeavesAmongManyChanges_GetsNoLateTasks) {
  PoolFleet fleet(1, 1, 6);
  fleet.rows.rows_per_answer = 24;
  for (int i = 0; i < 60; ++i) {
    for (const auto& it : fleet.RunnerNames()) {
      fleet.PutRunner(it, it == "d1r0" && i > 20 ? "draining" : "ready");
    }
    fleet.Submit("d1n0", 2);
    fleet.loop.RunFor(absl::Milliseconds(100));
  }
  EXPECT_THAT(fleet.log.starts_on_leaving, IsEmpty());
}

// Guards against a new owner that starts tasks on runners that announced that
// they leave while it read their rows seldom.
TEST(PoolFleetTakeoverTest, Runner_LeavesBeforeTakeover_GetsNoLateTasks) {
  for (int ms = 0; ms < 5000; ms += 200) {
    SCOPED_TRACE(absl::StrCat("takeover ", ms, " ms later"));
    PoolFleet fleet(1, 2, 2);
    fleet.loop.RunFor(absl::Seconds(3) + absl::Milliseconds(ms));
    fleet.PutRunner("d1r0", "draining");
    fleet.loop.RunFor(absl::Milliseconds(1800));
    fleet.Kill(fleet.OwnerOf("d1"));
    for (int i = 0; i < 40; ++i) {
      fleet.Submit("d2n0", 2);
      fleet.loop.RunFor(absl::Milliseconds(50));
    }
    EXPECT_THAT(fleet.log.starts_on_leaving, IsEmpty());
  }
}

// Guards against a snapshot older than the known rows by which a new owner uses
// a leaving runner.
TEST(PoolFleetSnapshotTest, Runner_LeavingInKnownRowsOnly_GetsNoLateTasks) {
  constexpr absl::Duration kBeforeNonOwnersRead = absl::Seconds(14);
  PoolFleet fleet(1, 2, 2);
  fleet.loop.RunFor(kBeforeNonOwnersRead);
  const int64_t before = fleet.rows.version;
  fleet.PutRunner("d1r0", "draining");
  fleet.loop.RunFor(absl::Seconds(2));
  fleet.rows.snapshots_as_of = before;
  fleet.rows.DiscardHistory();
  fleet.Kill(fleet.OwnerOf("d1"));
  for (int i = 0; i < 160; ++i) {
    if (i == 100) {
      fleet.rows.snapshots_as_of.reset();
      fleet.PutRunner("d2r0", "draining");
    }
    fleet.Submit("d2n0", 4);
    fleet.loop.RunFor(absl::Milliseconds(50));
  }
  EXPECT_THAT(fleet.log.starts_on_leaving, IsEmpty());
}

class PoolFleetSilenceTest : public testing::Test {
 protected:
  // Returns when the store answers again.
  static void SilenceStore(PoolFleet& fleet, absl::Duration duration) {
    fleet.loop.RunFor(absl::Seconds(3));
    fleet.SetStoreUnresponsive(true);
    fleet.loop.RunFor(duration);
    fleet.SetStoreUnresponsive(false);
  }
};

// Guards against a configuration that is in force too late, since a call that
// the store never answers is noticed late. Daemons have `kContactTime` after
// the store answers again.
TEST_F(PoolFleetSilenceTest, Configuration_StoreWasSilent_IsInForceInTime) {
  constexpr absl::Duration kContactTime = absl::Seconds(3);
  for (int ms = 2000; ms < 6000; ms += 100) {
    SCOPED_TRACE(absl::StrCat("silent for ", ms, " ms"));
    PoolFleet fleet(1, 1, 1);
    SilenceStore(fleet, absl::Milliseconds(ms));
    fleet.PutConfig(2, {"svc", "other"});
    fleet.loop.RunFor(kContactTime);
    for (const auto& it : fleet.Names()) {
      EXPECT_NE(fleet.daemon(it).node->FindRoute("host", "/other/x"), nullptr);
    }
  }
}

// Guards against tasks on leaving runners, since a call that the store never
// answers is noticed late.
TEST_F(PoolFleetSilenceTest, Runner_LeavesAsStoreAnswersAgain_GetsNoLateTasks) {
  for (int ms = 2000; ms < 6000; ms += 100) {
    SCOPED_TRACE(absl::StrCat("silent for ", ms, " ms"));
    PoolFleet fleet(1, 1, 1);
    SilenceStore(fleet, absl::Milliseconds(ms));
    fleet.PutRunner("d1r0", "draining");
    for (int i = 0; i < 60; ++i) {
      fleet.Submit("d1n0", 2);
      fleet.loop.RunFor(absl::Milliseconds(80));
    }
    EXPECT_THAT(fleet.log.starts_on_leaving, IsEmpty());
  }
}

// Guards against an owner that cancels a job since its entry daemon, which was
// idle before, sends no status in time.
TEST(PoolFleetStatusTest, LongJob_EntryDaemonWasIdle_Completes) {
  for (int ms = 0; ms < 1000; ms += 20) {
    SCOPED_TRACE(absl::StrCat("submitted ", ms, " ms later"));
    PoolFleet fleet(1, 2, 2);
    for (auto& [name, runner] : fleet.runners) {
      runner->run_time = absl::Milliseconds(1800);
    }
    fleet.loop.RunFor(absl::Seconds(5) + absl::Milliseconds(ms));
    for (const auto& it : fleet.Names()) {
      fleet.Submit(it, 1);
    }
    fleet.loop.RunFor(absl::Seconds(6));
    EXPECT_EQ(fleet.answers[JobStatus::kComplete], 4);
    EXPECT_EQ(fleet.answers[JobStatus::kFailed], 0);
  }
}

// Guards against a task that crashes one runner after another, also when its
// client submits the job again elsewhere.
TEST(PoolFleetCrashTest, Task_CrashesItsRunners_IsGivenUp) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    PoolFleet fleet(seed, 2, 8);
    fleet.log.crashing_jobs = {"job0", "job1"};
    fleet.loop.RunFor(absl::Seconds(2));
    fleet.Submit("d1n0", 1);
    fleet.Submit("d2n1", 2);
    const auto names = fleet.Names();
    for (int i = 0; i < 100; ++i) {
      fleet.Submit(names[static_cast<size_t>(i) % names.size()], 1);
      fleet.loop.RunFor(absl::Milliseconds(200));
    }
    fleet.loop.RunFor(absl::Seconds(5));
    EXPECT_THAT(StartsBeyondBudget(fleet), IsEmpty());
    EXPECT_EQ(fleet.answers[JobStatus::kComplete], 100);
  }
}

// Guards against the same while owners are lost, which takes along what they
// know of crashes.
TEST(PoolFleetCrashTest, Task_OwnersAreKilledMeanwhile_IsGivenUp) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    PoolFleet fleet(seed, 3, 8);
    RunCrashingJobs(fleet, absl::Seconds(5));
    EXPECT_THAT(StartsBeyondBudget(fleet), IsEmpty());
  }
}

// Injects random faults, in sequence and overlapping; checks the invariants
// throughout and that jobs complete afterwards.
class PoolFleetFaultTest : public testing::TestWithParam<uint64_t> {
 protected:
  void Fault(PoolFleet& fleet) {
    const auto names = fleet.Names();
    const auto runners = fleet.RunnerNames();
    const std::string& name = names[fleet.random().Below(names.size())];
    const std::string& runner = runners[fleet.random().Below(runners.size())];
    PoolFleet::Daemon& daemon = fleet.daemon(name);
    const uint64_t kind = fleet.random().Below(13);
    fleet.log.Note(fleet.clock, absl::StrCat("fault ", kind, " daemon ", name,
                                             " runner ", runner));
    switch (kind) {
      case 0:
        fleet.Kill(name);
        break;
      case 1:
        if (daemon.node != nullptr) {
          daemon.executor->Pause();
        }
        break;
      case 2:
        fleet.Isolate(name.substr(0, 2));
        break;
      case 3:
        fleet.SetStoreDown(!fleet.store_down);
        break;
      case 4:
        if (daemon.node != nullptr) {
          daemon.store->lose_answers = !daemon.store->lose_answers;
        }
        break;
      case 5:
        fleet.runners[runner]->Crash();
        fleet.PutRunner(runner, "ready");
        break;
      case 6:
        if (daemon.node != nullptr) {
          daemon.runners->cut.insert(runner);
        }
        break;
      case 7:
        if (daemon.node != nullptr) {
          daemon.runners->answers_lost.insert(runner);
        }
        break;
      case 8:
        if (daemon.node != nullptr) {
          daemon.runners->start_delay =
              absl::Milliseconds(fleet.random().Below(4000));
        }
        break;
      case 9:
        fleet.runners[runner]->failing = !fleet.runners[runner]->failing;
        break;
      case 10:
        if (daemon.node != nullptr) {
          PoolNode& node = *daemon.node;
          daemon.pumped->Post([&node] { node.BeginDrain(); });
        }
        break;
      case 11:
        if (daemon.node != nullptr) {
          daemon.runners->late_share = 0.3;
        }
        break;
      default:
        Repair(fleet);
    }
  }

  void Repair(PoolFleet& fleet) {
    fleet.store_down = false;
    for (const auto& it : fleet.Names()) {
      PoolFleet::Daemon& daemon = fleet.daemon(it);
      if (daemon.node != nullptr && daemon.executor->paused()) {
        daemon.executor->Resume();
      }
      if (daemon.node != nullptr && daemon.node->drained()) {
        fleet.Kill(it);
      }
      if (daemon.node == nullptr) {
        fleet.StartDaemon(it);
      }
      daemon.store->lose_answers = false;
      daemon.runners->answers_lost.clear();
      daemon.runners->start_delay = absl::ZeroDuration();
      daemon.runners->late_share = 0;
    }
    for (auto& [name, runner] : fleet.runners) {
      runner->failing = false;
    }
    fleet.Heal();
  }
};

TEST_P(PoolFleetFaultTest, Fleet_RandomFaults_KeepsInvariants) {
  SCOPED_TRACE(absl::StrCat("seed ", GetParam()));
  PoolFleet fleet(GetParam(), 2, 3);
  fleet.loop.RunFor(absl::Seconds(2));
  const auto names = fleet.Names();
  for (int i = 0; i < 200; ++i) {
    fleet.Submit(names[fleet.random().Below(names.size())],
                 1 + static_cast<int>(fleet.random().Below(4)));
    for (auto& [name, runner] : fleet.runners) {
      runner->run_time = absl::Milliseconds(20 + fleet.random().Below(900));
    }
    fleet.loop.RunFor(absl::Milliseconds(fleet.random().Below(300)));
    if (fleet.random().Below(6) == 0) {
      Fault(fleet);
    }
    ASSERT_THAT(fleet.log.violations, IsEmpty())
        << "job " << i << "\n"
        << fleet.log.TraceOfViolation();
  }
  Repair(fleet);
  fleet.loop.RunFor(absl::Seconds(12));
  Repair(fleet);
  fleet.loop.RunFor(absl::Seconds(3));
  fleet.CheckRefusals();
  EXPECT_THAT(fleet.log.violations, IsEmpty()) << fleet.log.TraceOfViolation();
  const int complete = fleet.answers[JobStatus::kComplete];
  for (int i = 0; i < 10; ++i) {
    fleet.Submit(names[static_cast<size_t>(i) % names.size()], 1);
    fleet.loop.RunFor(absl::Milliseconds(200));
  }
  fleet.loop.RunFor(absl::Seconds(3));
  EXPECT_EQ(fleet.answers[JobStatus::kComplete], complete + 10)
      << "jobs do not complete after the faults\n"
      << fleet.TraceOfIncomplete();
}

// Guards against tasks that start on a runner that does not guard its capacity
// while runs that are being stopped, or that were started before the capacity
// shrank, still occupy it.
TEST_P(PoolFleetFaultTest, Runners_CapacityChanges_IsNotExceeded) {
  SCOPED_TRACE(absl::StrCat("seed ", GetParam()));
  constexpr size_t kMaxCapacity = 5;
  PoolFleet fleet(GetParam(), 2, 3);
  for (auto& [name, runner] : fleet.runners) {
    runner->guards_capacity = false;
  }
  fleet.loop.RunFor(absl::Seconds(2));
  const auto names = fleet.Names();
  const auto runners = fleet.RunnerNames();
  for (int i = 0; i < 200; ++i) {
    fleet.Submit(names[fleet.random().Below(names.size())],
                 1 + static_cast<int>(fleet.random().Below(6)));
    for (auto& [name, runner] : fleet.runners) {
      runner->run_time = absl::Milliseconds(20 + fleet.random().Below(900));
    }
    fleet.loop.RunFor(absl::Milliseconds(fleet.random().Below(300)));
    if (fleet.random().Below(20) == 0) {
      fleet.SetCapacity(runners[fleet.random().Below(runners.size())],
                        fleet.random().Below(kMaxCapacity));
    }
    if (fleet.random().Below(6) == 0) {
      Fault(fleet);
    }
  }
  EXPECT_THAT(fleet.log.starts_over_capacity, IsEmpty())
      << fleet.log.TraceOf("faults");
  EXPECT_THAT(fleet.log.violations, IsEmpty()) << fleet.log.TraceOfViolation();
}

// Seed 7267: a late order started a run on a restarted runner, under a lease by
// the clock of the runner's former incarnation. Seed 3034: an owner that was
// paused started tasks by the capacity that a runner had before. Seed 50470: a
// job failed for good since a runner had crashed that never received its order.
// Seed 50240: the end of a run in a restarted runner was forgotten unread.
INSTANTIATE_TEST_SUITE_P(FormerViolations,
                         PoolFleetFaultTest,
                         testing::Values(7267, 3034, 50470, 50240));

INSTANTIATE_TEST_SUITE_P(
    Seeds,
    PoolFleetFaultTest,
    testing::Range(FromEnvironment("RADISHRAIL_POOL_FIRST_SEED", 1),
                   FromEnvironment("RADISHRAIL_POOL_FIRST_SEED", 1) +
                       FromEnvironment("RADISHRAIL_POOL_SEEDS", 20)));

}  // namespace
}  // namespace radishrail
