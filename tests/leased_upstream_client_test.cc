#include "radishrail/leased_upstream_client.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "pool_world.h"

namespace radishrail {
namespace {

// Loses all stop orders while `stops_lost` is set.
class StopLosingTransport : public FakeRunnerTransport {
 public:
  StopLosingTransport(EventLoop& loop, FakeClock& clock)
      : FakeRunnerTransport(loop, loop, clock), loop_(loop) {}

  bool stops_lost = false;

  void Stop(StopOrder order, OrderCallback callback) override {
    if (!stops_lost) {
      FakeRunnerTransport::Stop(std::move(order), std::move(callback));
      return;
    }
    loop_.PostDelayed(order.timeout, [callback = std::move(callback)] {
      OrderReply reply;
      reply.status = OrderStatus::kNoAnswer;
      callback(reply);
    });
  }

 private:
  EventLoop& loop_;
};

class LeasedUpstreamClientTest : public testing::Test {
 protected:
  static constexpr uint64_t kFence = 7;

  LeasedUpstreamClientTest() {
    transport_.runners["r1:1"] = &runner_;
    SetFence(kFence);
    Run(absl::Milliseconds(10));
  }

  static VmInfo MakeInfo(const std::string& vm) {
    VmInfo info;
    info.vm = vm;
    info.address = "r1:1";
    info.failure_domain = "d1";
    return info;
  }

  void SetFence(uint64_t fence) {
    client_.SetRunners({{MakeInfo("r1"), fence}});
  }

  // Ticks the client at least every millisecond of virtual time.
  void Run(absl::Duration duration) {
    const absl::Time end = clock_.Monotonic() + duration;
    while (clock_.Monotonic() < end) {
      client_.Tick();
      loop_.RunFor(absl::Milliseconds(1));
    }
  }

  void Start(const std::string& task,
             int attempt = 1,
             const std::string& vm = "r1",
             std::shared_ptr<const JobLease> lease = nullptr) {
    TaskStart start;
    start.lease = std::move(lease);
    start.job_key = "job";
    start.task_id = task;
    start.attempt = attempt;
    start.vm = vm;
    start.address = "r1:1";
    start.start_by_monotonic = clock_.Monotonic() + absl::Seconds(5);
    start.expected_run = absl::Milliseconds(100);
    client_.Start(std::move(start), [this, task](const TaskResult& result) {
      results_.emplace_back(task, result.outcome);
    });
  }

  FakeClock clock_;
  EventLoop loop_{clock_};
  RunLog log_;
  FakeRunner runner_{loop_, clock_, log_, "r1"};
  StopLosingTransport transport_{loop_, clock_};
  Metrics metrics_;
  std::vector<std::string> fenced_;
  int usable_changes_ = 0;
  std::vector<UpstreamFate> fates_;
  RecordingRunObserver observer_;
  std::vector<std::pair<std::string, TaskOutcome>> results_;
  LeasedUpstreamClient client_{
      clock_,
      transport_,
      {},
      metrics_,
      [this](const std::string& pool) { fenced_.push_back(pool); },
      [this] { ++usable_changes_; },
      [this](const RunFate& fate) { fates_.push_back(fate.fate); },
      observer_};
};

using testing::Each;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Not;
using testing::Pair;

// Guards against results that are lost or reported twice.
TEST_F(LeasedUpstreamClientTest, Run_EndsDone_ReportsDoneOnce) {
  ASSERT_TRUE(client_.Usable("r1"));
  Start("0.0.0");
  Run(absl::Seconds(1));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
  EXPECT_EQ(client_.runs(), 0u);
}

// Guards against a lease that is not extended while a run is active.
TEST_F(LeasedUpstreamClientTest, Run_LongerThanLease_ReportsDone) {
  runner_.run_time = absl::Seconds(4);
  Start("0.0.0");
  Run(absl::Seconds(5));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
}

// Guards against orders to a runner that are taken for orders to its former
// instance at the same address, which stays listed for some seconds.
TEST_F(LeasedUpstreamClientTest, Start_FormerInstanceStillListed_ReportsDone) {
  FakeRunner successor{loop_, clock_, log_, "r0"};
  transport_.runners["r1:1"] = &successor;
  client_.SetRunners({{MakeInfo("r0"), kFence}, {MakeInfo("r1"), kFence}});
  Run(absl::Milliseconds(500));
  Start("0.0.0", 1, "r0");
  Run(absl::Milliseconds(500));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
}

// Guards against a restarted runner that counts as empty when its new row
// arrives, although it executes runs that were started in the meantime.
TEST_F(LeasedUpstreamClientTest, Runner_RestartNoticedLate_IsUsedAfterItsRuns) {
  runner_.run_time = absl::Seconds(2);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  VmInfo restarted = MakeInfo("r1");
  restarted.incarnation = 2;
  client_.SetRunners({{restarted, kFence}});
  Run(absl::Milliseconds(500));
  EXPECT_FALSE(client_.Usable("r1"));
  const int changes = usable_changes_;
  Run(absl::Seconds(2));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
  EXPECT_TRUE(client_.Usable("r1"));
  EXPECT_GT(usable_changes_, changes);
}

// Guards against the end of a run that a restarted runner forgets before it is
// read, since an order acknowledges ends of the former incarnation.
TEST_F(LeasedUpstreamClientTest, Run_StartedAfterRestart_ReportsDone) {
  Start("0.0.0");
  Run(absl::Seconds(3));
  runner_.Crash();
  Start("0.0.1");
  Run(absl::Seconds(3));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone),
                                    Pair("0.0.1", TaskOutcome::kDone)));
}

// Guards against the same if the start order gets no answer.
TEST_F(LeasedUpstreamClientTest, Run_StartedUnansweredAfterRestart_IsListed) {
  Start("0.0.0");
  Run(absl::Seconds(3));
  runner_.Crash();
  transport_.answers_lost.insert("r1:1");
  Start("0.0.1");
  Run(absl::Milliseconds(200));
  transport_.answers_lost.clear();
  Run(absl::Seconds(3));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone),
                                    Pair("0.0.1", TaskOutcome::kDone)));
}

// Guards against a crash under a run that is taken for a silence.
TEST_F(LeasedUpstreamClientTest, Run_RunnerRestarts_ReportsCrash) {
  runner_.run_time = absl::Seconds(2);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  transport_.cut.insert("r1:1");
  runner_.Crash();
  Run(absl::Seconds(3));
  EXPECT_THAT(fates_, ElementsAre(UpstreamFate::kUncertain));
  transport_.cut.clear();
  Run(absl::Seconds(3));
  EXPECT_THAT(fates_,
              ElementsAre(UpstreamFate::kUncertain, UpstreamFate::kCrashed));
}

// Guards against a crash that is not noticed, since the runner has a new name
// when it is back.
TEST_F(LeasedUpstreamClientTest, Run_RunnerReturnsUnderNewName_ReportsCrash) {
  runner_.run_time = absl::Seconds(2);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  client_.SetRunners({{MakeInfo("r0"), kFence}});
  EXPECT_THAT(fates_, ElementsAre(UpstreamFate::kCrashed));
}

// Guards against sound runs that count as crashed when the last report of the
// runner's former life reaches the store after the runner is back.
TEST_F(LeasedUpstreamClientTest, Run_FormerLifeAppearsLate_ReportsNoCrash) {
  runner_.run_time = absl::Seconds(2);
  VmInfo live = MakeInfo("r1");
  live.incarnation = 5;
  client_.SetRunners({{live, kFence}});
  Run(absl::Milliseconds(10));
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  VmInfo former = MakeInfo("r0");
  former.incarnation = 4;
  client_.SetRunners({{former, kFence}, {live, kFence}});
  Run(absl::Seconds(3));
  EXPECT_THAT(fates_, IsEmpty());
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
}

// Guards against a crash that counts against a task whose start order the
// runner never received, since it had crashed before.
TEST_F(LeasedUpstreamClientTest, Run_SentAfterCrash_IsUncertain) {
  transport_.cut.insert("r1:1");
  Start("0.0.0");
  Run(absl::Seconds(3));
  runner_.Crash();
  transport_.cut.clear();
  Run(absl::Seconds(3));
  EXPECT_THAT(fates_, Each(UpstreamFate::kUncertain));
  EXPECT_THAT(fates_, Not(IsEmpty()));
}

// Guards against the same if the runner has a new name when it is back.
TEST_F(LeasedUpstreamClientTest, Run_SentAfterCrashToNewName_IsUncertain) {
  transport_.cut.insert("r1:1");
  Start("0.0.0");
  Run(absl::Milliseconds(300));
  client_.SetRunners({{MakeInfo("r0"), kFence}});
  EXPECT_THAT(fates_, ElementsAre(UpstreamFate::kUncertain));
}

// Guards against a silence that is taken for a crash.
TEST_F(LeasedUpstreamClientTest, Run_RunnerSilentForAWhile_ReportsNoCrash) {
  runner_.run_time = absl::Seconds(9);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  transport_.cut.insert("r1:1");
  Run(absl::Seconds(3));
  transport_.cut.clear();
  Run(absl::Seconds(3));
  EXPECT_THAT(fates_,
              ElementsAre(UpstreamFate::kUncertain, UpstreamFate::kAlive));
}

// Guards against a crash that is concluded from a list without an incarnation.
TEST_F(LeasedUpstreamClientTest, Run_ListWithoutIncarnation_ReportsNoCrash) {
  runner_.run_time = absl::Seconds(2);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  runner_.incarnation = 0;
  Run(absl::Seconds(3));
  EXPECT_THAT(fates_, IsEmpty());
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
}

// Guards against a runner that leaves being taken for one that crashed.
TEST_F(LeasedUpstreamClientTest, Run_LeavingRunnerIsReplaced_ReportsNoCrash) {
  runner_.run_time = absl::Seconds(2);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  VmInfo leaving = MakeInfo("r1");
  leaving.state = VmState::kLeaving;
  client_.SetRunners({{leaving, kFence}});
  client_.SetRunners({{MakeInfo("r0"), kFence}});
  EXPECT_THAT(fates_, IsEmpty());
}

// Guards against polling runners that have no runs.
TEST_F(LeasedUpstreamClientTest, Runner_Idle_IsNotPolled) {
  Start("0.0.0");
  Run(absl::Seconds(3));
  const int holds = transport_.holds;
  Run(absl::Seconds(30));
  EXPECT_EQ(transport_.holds, holds);
}

TEST_F(LeasedUpstreamClientTest, Run_Fails_ReportsFailed) {
  runner_.failing = true;
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kFailed)));
}

TEST_F(LeasedUpstreamClientTest, Start_RunnerAtCapacity_ReportsNotStarted) {
  runner_.capacity = 0;
  Start("0.0.0");
  Run(absl::Milliseconds(10));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kNotStarted)));
}

// Guards against a second start while the first start order may still be
// executed: no result may be reported until a stop has invalidated the order.
TEST_F(LeasedUpstreamClientTest, Start_ExecutedLate_DoesNotRun) {
  transport_.start_delay = absl::Seconds(3);
  Start("0.0.0");
  Run(absl::Milliseconds(240));
  EXPECT_THAT(results_, IsEmpty());
  transport_.start_delay = absl::ZeroDuration();
  Run(absl::Milliseconds(400));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kEnded)));
  Run(absl::Seconds(4));
  EXPECT_EQ(log_.starts["job"], 0);
}

// Guards against a lost result when the answer to the start order is lost.
TEST_F(LeasedUpstreamClientTest, Start_AnswerLost_ReportsOneResult) {
  transport_.answers_lost.insert("r1:1");
  Start("0.0.0");
  Run(absl::Milliseconds(50));
  transport_.answers_lost.clear();
  Run(absl::Seconds(1));
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(log_.starts["job"], 1);
  EXPECT_EQ(log_.active["job/0.0.0"], 0);
}

// Guards against a result before the lease has expired: a second start would
// run in parallel to the first on the unreachable runner.
TEST_F(LeasedUpstreamClientTest, Runner_Unreachable_ReportsEndedAfterItsLease) {
  runner_.run_time = absl::Seconds(10);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  transport_.cut.insert("r1:1");
  for (int i = 0; i < 300 && results_.empty(); ++i) {
    Run(absl::Milliseconds(10));
  }
  EXPECT_EQ(runner_.runs(), 0u);
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kEnded)));
  EXPECT_FALSE(client_.Usable("r1"));
  transport_.cut.clear();
  Run(absl::Seconds(3));
  EXPECT_TRUE(client_.Usable("r1"));
}

// Guards against a runner that is given up, with its capacity, since one order
// got no answer.
TEST_F(LeasedUpstreamClientTest, Hold_AnswerLost_RunnerStaysUsable) {
  runner_.run_time = absl::Milliseconds(900);
  Start("0.0.0");
  Run(absl::Milliseconds(20));
  usable_changes_ = 0;
  transport_.answers_lost.insert("r1:1");
  Run(absl::Milliseconds(600));
  transport_.answers_lost.clear();
  Run(absl::Seconds(1));
  EXPECT_EQ(usable_changes_, 0);
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
}

// Guards against a runner that is gone and keeps its capacity beyond the leases
// of its runs.
TEST_F(LeasedUpstreamClientTest, Runner_Silent_IsUnusableWithinItsLease) {
  runner_.run_time = absl::Seconds(10);
  Start("0.0.0");
  Run(absl::Milliseconds(20));
  transport_.cut.insert("r1:1");
  Run(LeaseSettings().max_lease + LeaseSettings().order_timeout);
  EXPECT_FALSE(client_.Usable("r1"));
}

// Guards against work that is run again because the answer to its start order
// was lost.
TEST_F(LeasedUpstreamClientTest, Start_AnswerLostAndRunActive_RunContinues) {
  runner_.run_time = absl::Milliseconds(900);
  transport_.answers_lost.insert("r1:1");
  Start("0.0.0");
  Run(absl::Milliseconds(200));
  transport_.answers_lost.clear();
  Run(absl::Seconds(2));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
  EXPECT_EQ(log_.starts["job"], 1);
}

// Guards against a poll of a runner in every round trip while the answer to a
// start order or the end of a stopped run is awaited.
TEST_F(LeasedUpstreamClientTest, Start_Unanswered_RunnerIsPolledRarely) {
  constexpr int kMaxHolds = 12;
  transport_.late_share = 1;
  Start("0.0.0");
  transport_.late_share = 0;
  const int holds = transport_.holds;
  Run(absl::Milliseconds(500));
  EXPECT_LE(transport_.holds - holds, kMaxHolds);
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kEnded)));
}

TEST_F(LeasedUpstreamClientTest, Stop_RunActive_EndsTheRun) {
  runner_.run_time = absl::Seconds(10);
  Start("0.0.0");
  Run(absl::Milliseconds(20));
  client_.StopRun("job", "0.0.0", 1);
  Run(absl::Milliseconds(200));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kEnded)));
  EXPECT_EQ(runner_.runs(), 0u);
}

// Guards against a stop that is lost while the start order is pending.
TEST_F(LeasedUpstreamClientTest, Stop_BeforeStartIsAnswered_EndsTheRun) {
  runner_.run_time = absl::Seconds(10);
  Start("0.0.0");
  client_.StopRun("job", "0.0.0", 1);
  Run(absl::Milliseconds(300));
  EXPECT_EQ(results_.size(), 1u);
  EXPECT_EQ(runner_.runs(), 0u);
}

// Guards against runs of a former owner that are not stopped: the lease
// extensions of the new owner's runs would keep them alive.
TEST_F(LeasedUpstreamClientTest,
       Runner_WithRunsOfFormerOwner_IsUsableAfterTheirStop) {
  runner_.run_time = absl::Seconds(10);
  Start("0.0.0");
  Run(absl::Milliseconds(20));
  ASSERT_EQ(runner_.runs(), 1u);
  SetFence(kFence + 1);
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kUnknown)));
  EXPECT_FALSE(client_.Usable("r1"));
  Run(absl::Milliseconds(300));
  EXPECT_EQ(runner_.runs(), 0u);
  EXPECT_TRUE(client_.Usable("r1"));
}

// Guards against a former owner that keeps dispatching after it was replaced.
TEST_F(LeasedUpstreamClientTest, Start_RunnerHasSeenHigherFence_ReportsFenced) {
  StopOrder order;
  order.runner = {"r1", "r1:1"};
  order.fence = kFence + 1;
  runner_.Stop(order);
  Start("0.0.0");
  Run(absl::Milliseconds(10));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kNotStarted)));
  EXPECT_THAT(fenced_, ElementsAre("d1"));
}

// Guards against waiting for a run that was lost in a restart of its runner.
TEST_F(LeasedUpstreamClientTest, Runner_Restarts_ReportsEnded) {
  runner_.run_time = absl::Seconds(10);
  Start("0.0.0");
  Run(absl::Milliseconds(100));
  runner_.Crash();
  Run(absl::Seconds(2));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kEnded)));
  Start("0.0.0", 2);
  runner_.run_time = absl::Milliseconds(50);
  Run(absl::Seconds(1));
  EXPECT_EQ(log_.violations.size(), 0u);
}

TEST_F(LeasedUpstreamClientTest, Start_UnknownRunner_ReportsNotStarted) {
  client_.SetRunners({});
  Start("0.0.0");
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kNotStarted)));
}

class JobLeaseTest : public LeasedUpstreamClientTest {
 protected:
  JobLeaseTest() {
    runner_.run_time = absl::Seconds(4);
    contact_->last = clock_.Monotonic();
  }

  std::shared_ptr<const JobLease> Lease() const {
    return std::make_shared<JobLease>(absl::InfinitePast(), contact_);
  }
  // Runs for `duration`; the entry daemon renews the lease all the time.
  void RunRenewing(absl::Duration duration) {
    const absl::Time end = clock_.Monotonic() + duration;
    while (clock_.Monotonic() < end) {
      contact_->last = clock_.Monotonic();
      Run(absl::Milliseconds(10));
    }
  }

  const std::shared_ptr<ClientContact> contact_ =
      std::make_shared<ClientContact>();
};

// Guards against a run that goes on for as long as its owner is up.
TEST_F(JobLeaseTest, Lease_NotRenewed_RunEndsInTime) {
  Start("0.0.0", 1, "r1", Lease());
  RunRenewing(absl::Seconds(2));
  ASSERT_EQ(runner_.runs(), 1u);
  Run(kJobLease);
  EXPECT_EQ(runner_.runs(), 0u);
}

// Guards against a run that ends although its entry daemon reports.
TEST_F(JobLeaseTest, Lease_Renewed_RunIsDone) {
  Start("0.0.0", 1, "r1", Lease());
  RunRenewing(absl::Seconds(5));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kDone)));
}

// Guards against a run whose stops are lost and that continues under the lease
// of the other runs on its runner.
TEST_F(JobLeaseTest, StopRun_StopsLost_RunEndsInTime) {
  Start("0.0.0", 1, "r1", Lease());
  Start("0.0.1", 1, "r1", Lease());
  RunRenewing(absl::Milliseconds(700));
  ASSERT_EQ(runner_.runs(), 2u);
  transport_.stops_lost = true;
  client_.StopRun("job", "0.0.0", 1);
  RunRenewing(kJobLease);
  EXPECT_EQ(log_.active["job/0.0.0"], 0);
}

// Guards against a lost stop that costs the runner's other runs their lease.
TEST_F(JobLeaseTest, StopRun_OneStopLost_OtherRunContinues) {
  Start("0.0.0", 1, "r1", Lease());
  Start("0.0.1", 1, "r1", Lease());
  RunRenewing(absl::Milliseconds(700));
  transport_.stops_lost = true;
  client_.StopRun("job", "0.0.0", 1);
  transport_.stops_lost = false;
  RunRenewing(absl::Seconds(5));
  EXPECT_THAT(results_, ElementsAre(Pair("0.0.0", TaskOutcome::kEnded),
                                    Pair("0.0.1", TaskOutcome::kDone)));
}

// Guards against a run that starts on a runner whose present lease outlasts the
// lease of the job.
TEST_F(JobLeaseTest, CanStart_RunnerHasLongerLease_IsFalse) {
  Start("0.0.0");
  Run(absl::Milliseconds(520));
  contact_->last = clock_.Monotonic() - absl::Milliseconds(500);
  EXPECT_FALSE(client_.CanStart("r1", *Lease()));
  contact_->last = clock_.Monotonic();
  EXPECT_TRUE(client_.CanStart("r1", *Lease()));
}

// Guards against tasks that start on a runner whose lease cannot be extended.
TEST_F(JobLeaseTest, Usable_LeaseOfRunIsEnding_IsFalse) {
  Start("0.0.0", 1, "r1", Lease());
  Run(absl::Milliseconds(700));
  EXPECT_TRUE(client_.Usable("r1"));
  Run(absl::Milliseconds(100));
  EXPECT_FALSE(client_.Usable("r1"));
  RunRenewing(absl::Milliseconds(100));
  EXPECT_TRUE(client_.Usable("r1"));
}

// Guards against a start before the lease of a former owner has expired.
TEST_F(JobLeaseTest, CanStart_RunnerJustMet_AssumesLongestLease) {
  contact_->last = clock_.Monotonic() - absl::Milliseconds(300);
  EXPECT_FALSE(client_.CanStart("r1", *Lease()));
  Run(absl::Milliseconds(500));
  contact_->last = clock_.Monotonic() - absl::Milliseconds(300);
  EXPECT_TRUE(client_.CanStart("r1", *Lease()));
}

}  // namespace
}  // namespace radishrail
