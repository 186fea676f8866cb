#include "radishrail/pool_router.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fake_store.h"
#include "fakes.h"
#include "gtest/gtest.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

// Advances with every read, as the clock of a real process does.
class AdvancingClock : public Clock {
 public:
  absl::Time Monotonic() const override { return now_ += kStep; }
  absl::Time Wall() const override { return now_; }
  void Advance(absl::Duration duration) { now_ += duration; }

 private:
  static constexpr absl::Duration kStep = absl::Milliseconds(1);
  mutable absl::Time now_ = absl::FromUnixSeconds(1000);
};

class PoolRouterTest : public testing::Test {
 protected:
  static constexpr absl::Duration kDeadline = absl::Seconds(1);

  PoolRouterTest() {
    auto document = std::make_shared<VersionedDocument>();
    document->document.environment = "queue";
    route_.document = std::move(document);
    route_.base = absl::Seconds(1);
    ownership_.SetPools({"d1", "d2"});
  }

  void ReceiveClaim(const std::string& pool = "d1",
                    const std::vector<PoolRoom>& room = {}) {
    PoolClaim claim;
    claim.pool = pool;
    claim.fence = ++fence_;
    claim.owner = absl::StrCat("owner of ", pool);
    claim.address = absl::StrCat("10.0.0.", pool == "d1" ? 1 : 2, ":7302");
    claim.accepting = true;
    claim.slots = 64;
    claim.room = room;
    ownership_.OnClaim(claim, clock_.Monotonic());
    router_.OnClaim(claim, clock_.Monotonic());
  }
  // The owner that got the last message refuses the job.
  void ReceiveRefusal(const std::vector<PoolRoom>& room = {}) {
    const auto& request =
        std::get<PoolJobRequest>(transport_.sent.back().second);
    PoolJobReply reply;
    reply.request = request.request;
    reply.key = request.key;
    reply.status = static_cast<uint32_t>(JobStatus::kNotRun);
    reply.error = static_cast<uint32_t>(ErrorCode::kOverloaded);
    reply.detail = "the promise cannot be kept";
    reply.retry_after_ms = 100;
    reply.room = room;
    router_.OnReply(reply);
  }
  void Submit(const std::string& rack = "") {
    JobSpec job;
    // A submission of a job in progress would join it.
    last_key_ = absl::StrCat("job", next_job_++);
    job.key = last_key_;
    job.deadline = kDeadline;
    job.tasks.resize(1);
    job.tasks[0].preferred_rack = rack;
    job.tasks[0].declared_run = absl::Milliseconds(200);
    router_.Submit(std::move(job), route_,
                   [this](const JobAnswer& answer) { last_ = answer; });
  }

  AdvancingClock clock_;
  SeededRandom random_{1};
  FakePlatform platform_;
  FakeStore store_{platform_};
  RecordingTransport transport_;
  Metrics metrics_;
  Timeline timeline_{clock_, "d1n0", 100};
  DecisionLog log_{clock_, metrics_};
  PoolOwnershipSettings settings_;
  PoolOwnership ownership_{settings_, clock_, random_, store_,
                           [](const std::string&) {}};
  PoolRouter router_{"d1",
                     1,
                     clock_,
                     transport_,
                     ownership_,
                     [](const JobSpec&,
                        const std::shared_ptr<const VersionedDocument>&,
                        const PoolRouter::AnswerCallback&) {},
                     [](const std::string&) {},
                     random_,
                     metrics_,
                     timeline_,
                     log_};
  RoutedDocument route_;
  uint64_t fence_ = 0;
  std::optional<JobAnswer> last_;
  std::string last_key_;
  int next_job_ = 0;
};

// Guards against a crash when the owner's timeout expires between the choice of
// its pool and the offer (a daemon ended with SIGSEGV after an owner was
// killed).
TEST_F(PoolRouterTest, Submit_OwnerTimesOutMeanwhile_OffersOrRefuses) {
  constexpr int kSteps = 60;
  for (int i = 0; i < kSteps; ++i) {
    ReceiveClaim();
    clock_.Advance(settings_.owner_timeout - absl::Milliseconds(i));
    const size_t sent = transport_.sent.size();
    last_.reset();
    Submit();
    EXPECT_TRUE(transport_.sent.size() == sent + 1 || last_.has_value());
  }
  EXPECT_FALSE(transport_.sent.empty());
}

// Guards against a job whose record does not tell why a pool was left.
TEST_F(PoolRouterTest, Job_IsRefusedByPool_TimelineHasEachOffer) {
  ReceiveClaim("d1");
  ReceiveClaim("d2");
  Submit();
  ReceiveRefusal();
  std::vector<std::string> events;
  for (const auto& it : timeline_.Select(last_key_, absl::InfinitePast())) {
    events.push_back(
        absl::StrCat(std::string(EventTypeName(it.type)), " ", it.cause));
  }
  EXPECT_EQ(events,
            (std::vector<std::string>{
                "job_received ", "job_forwarded request 1 pool d1 fence 1",
                "job_refused pool d1: the promise cannot be kept",
                "job_forwarded request 2 pool d2 fence 2"}));
}

// Guards against jobs that are lost with an owner that is gone but does not yet
// count as unresponsive.
TEST_F(PoolRouterTest, Submit_OwnerOfOwnDomainIsSilent_IsOfferedToOtherPool) {
  ReceiveClaim("d1");
  ReceiveClaim("d2");
  Submit();
  ASSERT_EQ(transport_.sent.size(), 1u);
  EXPECT_EQ(transport_.sent.back().first, "10.0.0.1:7302");
  clock_.Advance(settings_.owner_timeout / 2);
  ReceiveClaim("d2");
  Submit();
  ASSERT_EQ(transport_.sent.size(), 2u);
  EXPECT_EQ(transport_.sent.back().first, "10.0.0.2:7302");
}

// Guards against jobs that are refused since all owners report late, as on a
// slow entry daemon.
TEST_F(PoolRouterTest, Submit_AllOwnersAreSilent_IsOfferedToOwnDomain) {
  ReceiveClaim("d1");
  ReceiveClaim("d2");
  clock_.Advance(settings_.owner_timeout / 2);
  Submit();
  ASSERT_EQ(transport_.sent.size(), 1u);
  EXPECT_EQ(transport_.sent.back().first, "10.0.0.1:7302");
}

// Guards against jobs that are offered to an unresponsive owner.
TEST_F(PoolRouterTest, Submit_OwnerIsUnresponsive_IsRefusedAsNotRun) {
  ReceiveClaim();
  clock_.Advance(settings_.owner_timeout);
  Submit();
  ASSERT_TRUE(last_.has_value());
  EXPECT_EQ(last_->status, JobStatus::kNotRun);
  EXPECT_EQ(last_->error.code, ErrorCode::kNoOwner);
}

// Guards against a job that is offered again after its deadline: the time left
// was negative, and its owner took it for 49 days.
TEST_F(PoolRouterTest, OnReply_RefusedAfterDeadline_IsNotOfferedAgain) {
  ReceiveClaim("d1");
  ReceiveClaim("d2");
  Submit();
  ASSERT_EQ(transport_.sent.size(), 1u);
  clock_.Advance(kDeadline);
  ReceiveClaim("d2");
  ReceiveRefusal();
  EXPECT_EQ(transport_.sent.size(), 1u);
  ASSERT_TRUE(last_.has_value());
  EXPECT_EQ(last_->status, JobStatus::kNotRun);
}

// Guards against an answer that is lost, or a second offer, when a job is
// cancelled between its refusal by one pool and the offer to the next.
TEST_F(PoolRouterTest, Withdraw_RefusalCrosses_IsNotOfferedAgain) {
  ReceiveClaim("d1");
  ReceiveClaim("d2");
  Submit();
  EXPECT_TRUE(router_.Withdraw(last_key_));
  ReceiveRefusal();
  EXPECT_EQ(transport_.sent.size(), 1u);
  ASSERT_TRUE(last_.has_value());
  EXPECT_EQ(last_->error.code, ErrorCode::kCancelled);
  EXPECT_FALSE(router_.Withdraw(last_key_));
}

// Guards against a job that runs longer off its rack although that has room,
// and against one whose rack is unknown.
TEST_F(PoolRouterTest, Submit_DataOnRackOfOtherDomain_IsOfferedThere) {
  ReceiveClaim("d1");
  ReceiveClaim("d2");
  router_.SetRacks({{"rack-1", "d1"}, {"rack-2", "d2"}},
                   /*remote_run_factor=*/2);
  for (const auto& [rack, pool] :
       {std::pair<const char*, const char*>{"rack-1", "d1"},
        {"rack-2", "d2"},
        {"no such rack", "d1"},
        {"", "d1"}}) {
    Submit(rack);
    EXPECT_EQ(std::get<PoolJobRequest>(transport_.sent.back().second).pool,
              pool)
        << rack;
  }
}

// Guards against a job that is offered to an evacuated failure domain, and
// against a refusal without a reason and a time to come back.
TEST_F(PoolRouterTest, Submit_OnlyEvacuatedPools_IsRefusedWithRetryTime) {
  ReceiveClaim();
  router_.SetEvacuated({"d1"});
  std::optional<JobAnswer> answer;
  JobSpec job;
  job.key = "job";
  job.deadline = kDeadline;
  job.tasks.resize(1);
  router_.Submit(job, route_, [&](const JobAnswer& it) { answer = it; });
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, JobStatus::kNotRun);
  EXPECT_EQ(answer->error.code, ErrorCode::kNoOwner);
  EXPECT_NE(answer->error.detail.find("evacuated: d1"), std::string::npos);
  EXPECT_GE(answer->retry_after, absl::Seconds(1));
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against chains of refusals by pools that have no room either, which
// callers wait for.
TEST_F(PoolRouterTest, OnReply_RefusedAndFitsNowhere_IsRefusedAtOnce) {
  ReceiveClaim("d1", {{1, 1, 0}});
  ReceiveClaim("d2", {{1, 0, 5000}});
  Submit();
  ReceiveRefusal({{1, 0, 5000}});
  EXPECT_EQ(transport_.sent.size(), 1u);
  ASSERT_TRUE(last_.has_value());
  EXPECT_EQ(last_->status, JobStatus::kNotRun);
  EXPECT_EQ(
      metrics_.counter("radishrail_pool_jobs_fit_nowhere_total", "").value(),
      1u);
}

// Guards against a job that is refused with room in another pool.
TEST_F(PoolRouterTest, OnReply_RefusedAndFitsElsewhere_IsOfferedForTheRest) {
  ReceiveClaim("d1", {{1, 1, 0}});
  ReceiveClaim("d2", {{1, 1, 0}});
  Submit();
  const auto first = std::get<PoolJobRequest>(transport_.sent.back().second);
  clock_.Advance(kDeadline / 4);
  ReceiveClaim("d2", {{1, 1, 0}});
  ReceiveRefusal({{1, 0, 5000}});
  ASSERT_EQ(transport_.sent.size(), 2u);
  const auto second = std::get<PoolJobRequest>(transport_.sent.back().second);
  EXPECT_EQ(second.pool, "d2");
  // An owner that took the whole promise for the rest would let the job wait
  // until it is late.
  EXPECT_LE(second.promised_ms, first.promised_ms * 3 / 4);
}

// Guards against a route that promises no time, whose jobs would count as late
// from the start and be offered to one pool only.
TEST_F(PoolRouterTest, OnReply_RefusedAndNothingIsPromised_IsOfferedAgain) {
  route_.base = absl::ZeroDuration();
  ReceiveClaim("d1", {{1, 1, 0}});
  ReceiveClaim("d2", {{1, 1, 0}});
  Submit();
  ReceiveRefusal({{1, 0, 5000}});
  ASSERT_EQ(transport_.sent.size(), 2u);
  EXPECT_EQ(std::get<PoolJobRequest>(transport_.sent.back().second).promised_ms,
            0u);
}

// Guards against callers that return together a second after their refusal.
TEST_F(PoolRouterTest, Answer_ManyAreRefused_ReturnsAreSpread) {
  std::set<int64_t> delays;
  for (int i = 0; i < 50; ++i) {
    ReceiveClaim("d1", {{1, 1, 0}});
    Submit();
    ReceiveRefusal({{1, 0, 5000}});
    ASSERT_TRUE(last_.has_value());
    EXPECT_EQ(last_->retry_after % absl::Seconds(1), absl::ZeroDuration());
    delays.insert(absl::ToInt64Seconds(last_->retry_after));
  }
  EXPECT_GT(delays.size(), 3u);
}

}  // namespace
}  // namespace radishrail
