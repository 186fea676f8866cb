#include "radishrail/upstream_registry.h"

#include <algorithm>
#include <set>
#include <string>

#include "fakes.h"
#include "gtest/gtest.h"
#include "job_fakes.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

constexpr absl::Duration kExpected = absl::Milliseconds(100);

class UpstreamRegistryTest : public testing::Test {
 protected:
  UpstreamRegistryTest() { List(TestVms(10)); }

  void List(std::vector<VmInfo> vms) {
    vms_ = std::move(vms);
    registry_.OnVmList(vms_);
  }
  void Done(UpstreamId id,
            absl::Duration run = kExpected,
            absl::Duration expected = kExpected) {
    registry_.OnResult(id, {TaskOutcome::kDone, "", {}, run}, expected);
  }
  void Fail(UpstreamId id, absl::Duration run = absl::Milliseconds(1)) {
    registry_.OnResult(id, {TaskOutcome::kFailed, "", {}, run}, kExpected);
  }
  void Result(UpstreamId id, TaskOutcome outcome, ErrorCode code) {
    TaskResult result;
    result.outcome = outcome;
    result.error.code = code;
    registry_.OnResult(id, result, kExpected);
  }
  void Eject(UpstreamId id) {
    for (int i = 0; i < 5; ++i) {
      Fail(id);
    }
    ASSERT_EQ(State(id), UpstreamState::kEjected);
  }
  UpstreamState State(UpstreamId id) { return registry_.Find(id)->state; }
  double Speed(UpstreamId id) { return registry_.Find(id)->speed; }
  int Ejected() {
    int n = 0;
    for (const auto& it : registry_.All()) {
      n += it.state == UpstreamState::kEjected ? 1 : 0;
    }
    return n;
  }
  void Advance(absl::Duration duration) {
    clock_.Advance(duration);
    registry_.Tick();
  }
  // The last reported capacity of an upstream, if it changed.
  std::optional<UpstreamCapacity> Change(UpstreamId id) {
    for (const auto& it : registry_.TakeChanges()) {
      if (it.upstream == id) {
        return it;
      }
    }
    return std::nullopt;
  }

  FakeClock clock_;
  UpstreamRegistry registry_{UpstreamSettings{"fd-a"}, clock_};
  std::vector<VmInfo> vms_;
};

TEST_F(UpstreamRegistryTest, VmList_NewUpstreams_AreReportedOnce) {
  std::vector<VmInfo> vms = TestVms(2, 4);
  vms[1].failure_domain = "fd-b";
  vms.push_back({"entry", VmRole::kEntry, "a", "fd-a", VmState::kLive, "", 0});
  UpstreamRegistry registry(UpstreamSettings{"fd-a"}, clock_);
  registry.OnVmList(vms);
  const auto changes = registry.TakeChanges();
  ASSERT_EQ(changes.size(), 2u);
  EXPECT_TRUE(changes[0].accepting);
  EXPECT_EQ(changes[0].slots, 4);
  EXPECT_TRUE(changes[0].same_failure_domain);
  EXPECT_FALSE(changes[1].same_failure_domain);
  registry.OnVmList(vms);
  EXPECT_TRUE(registry.TakeChanges().empty());
}

TEST_F(UpstreamRegistryTest, Speed_OfSlowUpstream_IsLearned) {
  for (int i = 0; i < 200; ++i) {
    for (UpstreamId id = 0; id < 10; ++id) {
      Done(id, id == 3 ? 2 * kExpected : kExpected);
    }
  }
  EXPECT_NEAR(Speed(3) / Speed(0), 0.5, 0.05);
}

// Guards against a low learned speed of an upstream that ran long kinds of
// tasks.
TEST_F(UpstreamRegistryTest, Speed_AfterLongTasksOfOtherKinds_IsUnchanged) {
  for (int i = 0; i < 100; ++i) {
    for (UpstreamId id = 0; id < 10; ++id) {
      Done(id, id == 3 ? 50 * kExpected : kExpected,
           id == 3 ? 50 * kExpected : kExpected);
    }
  }
  EXPECT_NEAR(Speed(3), 1, 0.02);
}

TEST_F(UpstreamRegistryTest, Speed_AfterOneStraggler_ChangesLittle) {
  for (int i = 0; i < 50; ++i) {
    Done(3);
  }
  Done(3, 1000 * kExpected);
  EXPECT_GT(Speed(3), 0.93);
}

// Guards against a high learned speed of an upstream whose tasks fail at once.
TEST_F(UpstreamRegistryTest, Speed_AfterFastFailures_IsUnchanged) {
  for (int i = 0; i < 4; ++i) {
    Fail(3);
  }
  EXPECT_DOUBLE_EQ(Speed(3), 1);
}

// Guards against learned run times and speeds that drift together.
TEST_F(UpstreamRegistryTest, Speed_WhenAllRunSlower_StaysRelativeToMean) {
  for (int i = 0; i < 300; ++i) {
    for (UpstreamId id = 0; id < 10; ++id) {
      Done(id, 3 * kExpected);
    }
  }
  for (UpstreamId id = 0; id < 10; ++id) {
    EXPECT_NEAR(Speed(id), 1, 0.05);
  }
}

TEST_F(UpstreamRegistryTest, ConsecutiveFailures_EjectAndReport) {
  registry_.TakeChanges();
  Eject(3);
  const auto change = Change(3);
  ASSERT_TRUE(change.has_value());
  EXPECT_FALSE(change->accepting);
  const auto transitions = registry_.TakeTransitions();
  ASSERT_EQ(transitions.size(), 1u);
  EXPECT_EQ(transitions[0].vm, "w3");
  EXPECT_EQ(transitions[0].to, UpstreamState::kEjected);
}

TEST_F(UpstreamRegistryTest, PrevailingFailures_Eject) {
  for (int i = 0; i < 60; ++i) {
    i % 4 == 0 ? Done(3) : Fail(3);
  }
  EXPECT_EQ(State(3), UpstreamState::kEjected);
}

TEST_F(UpstreamRegistryTest, RefusedConnections_Eject) {
  for (int i = 0; i < 5; ++i) {
    Result(3, TaskOutcome::kNotStarted, ErrorCode::kUnreachable);
  }
  EXPECT_EQ(State(3), UpstreamState::kEjected);
}

TEST_F(UpstreamRegistryTest, BusyOrExpired_IsNoFailure) {
  for (int i = 0; i < 50; ++i) {
    Result(3, TaskOutcome::kNotStarted, ErrorCode::kUpstreamBusy);
    Result(3, TaskOutcome::kNotStarted, ErrorCode::kDeadlineExceeded);
  }
  EXPECT_EQ(State(3), UpstreamState::kHealthy);
}

// Guards against the ejection of upstreams for tasks with short deadlines, and
// against an upstream that hangs and is never ejected.
TEST_F(UpstreamRegistryTest, Timeouts_CountOnlyFarBeyondLearnedRunTime) {
  TaskResult result;
  result.error.code = ErrorCode::kDeadlineExceeded;
  for (int i = 0; i < 50; ++i) {
    result.run_time = 2 * kExpected;
    registry_.OnResult(3, result, kExpected);
    registry_.OnResult(3, result, absl::ZeroDuration());
  }
  EXPECT_EQ(State(3), UpstreamState::kHealthy);
  for (int i = 0; i < 5; ++i) {
    result.run_time = 5 * kExpected;
    registry_.OnResult(3, result, kExpected);
  }
  EXPECT_EQ(State(3), UpstreamState::kEjected);
}

TEST_F(UpstreamRegistryTest, Ejection_Ends_InProbationWithOneSlot) {
  Eject(3);
  Advance(absl::Seconds(4.9));
  EXPECT_EQ(State(3), UpstreamState::kEjected);
  registry_.TakeChanges();
  Advance(absl::Seconds(0.1));
  EXPECT_EQ(State(3), UpstreamState::kProbation);
  EXPECT_EQ(Change(3)->slots, 1);
  for (int i = 0; i < 3; ++i) {
    Done(3);
  }
  EXPECT_EQ(State(3), UpstreamState::kHealthy);
  EXPECT_EQ(Change(3)->slots, 8);
}

TEST_F(UpstreamRegistryTest, FailureOnProbation_DoublesEjectionUpToMaximum) {
  Eject(3);
  for (const int seconds : {5, 10, 20, 40, 60, 60}) {
    Advance(absl::Seconds(seconds) - absl::Milliseconds(1));
    EXPECT_EQ(State(3), UpstreamState::kEjected) << seconds;
    Advance(absl::Milliseconds(1));
    EXPECT_EQ(State(3), UpstreamState::kProbation) << seconds;
    Fail(3);
  }
}

TEST_F(UpstreamRegistryTest, LongHealthyTime_ResetsEjectionTime) {
  Eject(3);
  Advance(absl::Seconds(5));
  for (int i = 0; i < 3; ++i) {
    Done(3);
  }
  Advance(absl::Seconds(60));
  Eject(3);
  Advance(absl::Seconds(5));
  EXPECT_EQ(State(3), UpstreamState::kProbation);
}

// Guards against the ejection of the whole fleet by tasks that fail on every
// upstream.
TEST_F(UpstreamRegistryTest, TasksThatFailEverywhere_EjectAtMostTheCap) {
  for (int i = 0; i < 500; ++i) {
    Fail(i % 10);
  }
  EXPECT_LE(Ejected(), 3);
}

// Guards against an upstream that fails fast, therefore receives most tasks and
// raises the mean failure rate until it is no longer an outlier.
TEST_F(UpstreamRegistryTest, UpstreamThatReceivesMostTasksAndFails_IsEjected) {
  int needed = 0;
  for (; State(3) != UpstreamState::kEjected && needed < 100; ++needed) {
    Fail(3);
    if (needed % 10 == 0) {
      Done(needed / 10);
    }
  }
  EXPECT_LE(needed, 20);
}

TEST_F(UpstreamRegistryTest, Leaving_FromListOrAnnounced_StopsNewWorkAtOnce) {
  registry_.TakeChanges();
  registry_.OnLeaving("w1");
  TaskResult result{TaskOutcome::kDone, "", {}, kExpected, true};
  registry_.OnResult(2, result, kExpected);
  vms_[3].state = VmState::kLeaving;
  registry_.OnVmList(vms_);
  for (const UpstreamId id : {1, 2, 3}) {
    EXPECT_EQ(State(id), UpstreamState::kLeaving);
    EXPECT_FALSE(registry_.Find(id)->accepting);
  }
  EXPECT_EQ(registry_.TakeChanges().size(), 3u);
}

// Guards against a stale VM list that reports a leaving upstream as live.
TEST_F(UpstreamRegistryTest, Leaving_WhileListReportsLive_IsFinal) {
  registry_.OnLeaving("w1");
  registry_.OnVmList(vms_);
  for (int i = 0; i < 5; ++i) {
    Done(1);
  }
  EXPECT_EQ(State(1), UpstreamState::kLeaving);
}

TEST_F(UpstreamRegistryTest, Leaving_ThenAbsentThenLive_IsNewUpstream) {
  registry_.OnLeaving("w1");
  std::vector<VmInfo> without = vms_;
  without.erase(without.begin() + 1);
  registry_.OnVmList(without);
  registry_.OnVmList(vms_);
  const auto view = registry_.FindByVm("w1");
  EXPECT_NE(view->id, 1u);
  EXPECT_TRUE(view->accepting);
  EXPECT_FALSE(registry_.Find(1)->accepting);
}

TEST_F(UpstreamRegistryTest, VmMissingFromList_GetsNoNewWorkUntilItReturns) {
  std::vector<VmInfo> without = vms_;
  without.erase(without.begin() + 1);
  registry_.TakeChanges();
  registry_.OnVmList(without);
  EXPECT_FALSE(Change(1)->accepting);
  registry_.OnVmList(vms_);
  EXPECT_TRUE(Change(1)->accepting);
  EXPECT_EQ(registry_.FindByVm("w1")->id, 1u);
}

// Guards against a new vm that inherits the ejection and the speed of a former
// vm of the same name.
TEST_F(UpstreamRegistryTest, VmWithNewAddress_IsNewAndHealthy) {
  Eject(1);
  vms_[1].address = "127.0.0.1:999";
  registry_.OnVmList(vms_);
  const auto view = registry_.FindByVm("w1");
  EXPECT_NE(view->id, 1u);
  EXPECT_EQ(view->state, UpstreamState::kHealthy);
  EXPECT_FALSE(registry_.Find(1)->accepting);
  EXPECT_EQ(registry_.All().size(), 10u);
  // Late results of the former vm do not affect the new one.
  for (int i = 0; i < 10; ++i) {
    Fail(1);
  }
  EXPECT_EQ(registry_.FindByVm("w1")->state, UpstreamState::kHealthy);
}

TEST_F(UpstreamRegistryTest, VmListedTwice_KeepsItsEntry) {
  vms_.push_back(vms_[1]);
  vms_.back().address = "127.0.0.1:999";
  registry_.OnVmList(vms_);
  EXPECT_EQ(registry_.FindByVm("w1")->id, 1u);
}

// Guards against memory use that grows with every replaced vm.
TEST_F(UpstreamRegistryTest, VmMissingForLong_IsRemoved) {
  Eject(1);
  registry_.OnVmList({});
  Advance(absl::Minutes(21));
  registry_.OnVmList({});
  EXPECT_TRUE(registry_.All().empty());
  EXPECT_FALSE(registry_.Find(1).has_value());
  EXPECT_FALSE(registry_.FindByVm("w1").has_value());
}

// Guards, for random sequences of events, against wrong sums over the present
// upstreams and against more ejections than the cap allows.
TEST_F(UpstreamRegistryTest, RandomEvents_KeepCapAndLeavingFinal) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SeededRandom random(seed);
    UpstreamRegistry registry(UpstreamSettings{"fd-a"}, clock_);
    const std::vector<VmInfo> vms = TestVms(10);
    registry.OnVmList(vms);
    std::set<UpstreamId> leaving;
    for (int step = 0; step < 500; ++step) {
      const auto id = static_cast<UpstreamId>(random.Below(12));
      TaskResult result;
      result.run_time = absl::Milliseconds(random.Below(500));
      result.outcome = static_cast<TaskOutcome>(random.Below(4));
      registry.OnResult(id, result, kExpected);
      clock_.Advance(absl::Milliseconds(random.Below(200)));
      if (random.Below(100) == 0) {
        std::vector<VmInfo> some = vms;
        some.erase(some.begin() + static_cast<int64_t>(random.Below(10)));
        registry.OnVmList(some);
      } else if (random.Below(100) == 0 && registry.Find(id).has_value()) {
        leaving.insert(id);
        registry.OnLeaving(registry.Find(id)->info.vm);
      }
      registry.Tick();
      int present = 0;
      int ejected = 0;
      for (const auto& it : registry.All()) {
        const bool counts = it.listed && it.state != UpstreamState::kLeaving;
        present += counts ? 1 : 0;
        ejected += counts && it.state == UpstreamState::kEjected ? 1 : 0;
        ASSERT_GT(it.speed, 0.0);
      }
      ASSERT_LE(ejected, present > 1 ? std::max(1, present * 3 / 10) : 0);
      for (const UpstreamId gone : leaving) {
        ASSERT_FALSE(registry.Find(gone)->accepting);
      }
    }
  }
}

class ColdUpstreamTest : public UpstreamRegistryTest {
 protected:
  static constexpr absl::Duration kColdTime = absl::Seconds(10);

  ColdUpstreamTest() {
    registry_.TakeChanges();
    std::vector<VmInfo> vms = TestVms(10);
    vms[0].cold_until = clock_.Monotonic() + kColdTime;
    List(std::move(vms));
  }
};

// Guards against a cold upstream that gets as much work as the others, and
// against one that stays limited, or is loaded at once, when it is warm.
TEST_F(ColdUpstreamTest, Capacity_WhileCold_IsReducedAndRises) {
  const auto cold = Change(0);
  ASSERT_TRUE(cold.has_value());
  EXPECT_EQ(cold->slots, 4);
  EXPECT_EQ(cold->slots_if_idle, 8);
  EXPECT_NEAR(cold->speed, 0.5, 0.01);
  Advance(kColdTime / 2);
  const auto warmer = Change(0);
  ASSERT_TRUE(warmer.has_value());
  EXPECT_NEAR(warmer->speed, 0.75, 0.01);
  Advance(kColdTime / 2);
  const auto warm = Change(0);
  ASSERT_TRUE(warm.has_value());
  EXPECT_EQ(warm->slots, 8);
  EXPECT_NEAR(warm->speed, 1, 0.01);
}

// Guards against an upstream that counts as slow after its cold time, also by
// runs that began in it and ended later.
TEST_F(ColdUpstreamTest, Runs_BegunWhileCold_DoNotChangeSpeed) {
  for (int i = 0; i < 18; ++i) {
    Advance(kColdTime / 10);
    Done(0, kColdTime);  // the last of them began just before the end
  }
  EXPECT_NEAR(Speed(0), 1, 0.01);
  Advance(kColdTime);
  Done(0, 3 * kExpected);
  EXPECT_LT(Speed(0), 0.9);
}

// Guards against a cold upstream that is ejected since its runs reach their
// deadline, and against one that is kept although it fails tasks.
TEST_F(ColdUpstreamTest, TimeOuts_WhileCold_AreNoFailuresButFailuresAre) {
  for (int i = 0; i < 20; ++i) {
    TaskResult result;
    result.outcome = TaskOutcome::kUnknown;
    result.error.code = ErrorCode::kDeadlineExceeded;
    result.run_time = 10 * kExpected;
    registry_.OnResult(0, result, kExpected);
  }
  EXPECT_EQ(State(0), UpstreamState::kHealthy);
  Eject(0);
}

}  // namespace
}  // namespace radishrail
