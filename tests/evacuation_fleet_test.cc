#include <string>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "pool_fleet.h"

namespace radishrail {
namespace {

using testing::IsEmpty;

// An operator evacuates failure domains of a fleet by rows of the store.
class EvacuationFleetTest : public testing::Test {
 protected:
  static constexpr int kRunnersPerDomain = 4;
  // Half of the bound of the platform from the row to the last start.
  static constexpr absl::Duration kEffect = absl::Milliseconds(2500);

  EvacuationFleetTest() { fleet_.loop.RunFor(absl::Seconds(2)); }

  static std::string RowOf(const std::string& domain) {
    return absl::StrCat("op/evacuate/", domain);
  }
  void Evacuate(const std::string& domain) {
    fleet_.rows.Put(RowOf(domain), "{}");
  }
  void Withdraw(const std::string& domain) {
    fleet_.rows.Remove(RowOf(domain));
  }
  std::string OtherDaemon(const std::string& name) {
    return name == "d1n0" ? "d1n1" : "d1n0";
  }

  void SubmitMany(int jobs, const std::vector<std::string>& entries) {
    for (int i = 0; i < jobs; ++i) {
      fleet_.Submit(entries[i % entries.size()], 2);
      fleet_.loop.RunFor(absl::Milliseconds(100));
    }
  }
  int64_t KnownEvacuations(const std::string& daemon) {
    return fleet_.daemon(daemon)
        .metrics->gauge("radishrail_evacuated_domains")
        .value();
  }
  int StartsIn(const std::string& domain) {
    int starts = 0;
    for (const auto& [name, runner] : fleet_.runners) {
      starts += name.starts_with(domain) ? runner->starts : 0;
    }
    return starts;
  }
  int RunnersUsed(const std::string& domain) {
    int used = 0;
    for (const auto& [name, runner] : fleet_.runners) {
      used += name.starts_with(domain) && runner->runs() > 0 ? 1 : 0;
    }
    return used;
  }
  // Submits jobs at all of the named daemons and returns how many tasks start
  // in the domain.
  int StartsDuringLoad(const std::string& domain,
                       const std::vector<std::string>& entries) {
    const int before = StartsIn(domain);
    SubmitMany(20, entries);
    fleet_.loop.RunFor(absl::Seconds(1));
    return StartsIn(domain) - before;
  }
  int StartsDuringLoad(const std::string& domain) {
    return StartsDuringLoad(domain, fleet_.Names());
  }

  PoolFleet fleet_{1, 2, kRunnersPerDomain};
};

// Guards against tasks that start in an evacuated failure domain, and against
// jobs that are lost for it.
TEST_F(EvacuationFleetTest, Domain_Evacuated_JobsRunElsewhere) {
  const std::string owner = fleet_.OwnerOf("d1");
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  EXPECT_EQ(StartsDuringLoad("d1"), 0);
  EXPECT_EQ(fleet_.answers[JobStatus::kComplete], 20);
  EXPECT_EQ(fleet_.OwnerOf("d1"), owner) << "the pool has lost its owner";
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against runners that join an evacuated failure domain and are used.
TEST_F(EvacuationFleetTest, Runner_JoinsEvacuatedDomain_GetsNoTask) {
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  fleet_.AddRunner("d1r9", "d1");
  for (const auto& name : fleet_.Names()) {
    fleet_.daemon(name).runners->runners["d1r9"] = fleet_.runners["d1r9"].get();
  }
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(StartsDuringLoad("d1"), 0);
}

// Guards against runs that are stopped by an evacuation.
TEST_F(EvacuationFleetTest, RunningTask_DomainEvacuated_Completes) {
  for (const auto& [name, runner] : fleet_.runners) {
    runner->run_time = absl::Seconds(2);
  }
  const std::string key = fleet_.Submit(fleet_.OwnerOf("d1"), 2);
  fleet_.loop.RunFor(absl::Milliseconds(200));
  ASSERT_GT(StartsIn("d1"), 0);
  Evacuate("d1");
  fleet_.loop.RunFor(absl::Seconds(3));
  EXPECT_EQ(fleet_.jobs[key].status, JobStatus::kComplete);
  EXPECT_EQ(fleet_.log.starts[key], 2) << fleet_.log.TraceOf(key);
}

// Guards against a job that waits in an evacuated pool until its deadline while
// another pool has room.
TEST_F(EvacuationFleetTest, QueuedJob_DomainEvacuated_RunsElsewhere) {
  for (const auto& [name, runner] : fleet_.runners) {
    runner->run_time = absl::Milliseconds(name.starts_with("d1") ? 2500 : 100);
  }
  const std::string owner = fleet_.OwnerOf("d1");
  fleet_.job_deadline = absl::Seconds(4);
  for (int i = 0; i < 2 * kRunnersPerDomain; ++i) {
    fleet_.Submit(owner, 1);
  }
  const std::string key = fleet_.Submit(owner, 1);
  fleet_.loop.RunFor(absl::Milliseconds(50));
  ASSERT_EQ(fleet_.log.starts[key], 0) << "the job is not queued";
  Evacuate("d1");
  fleet_.loop.RunFor(absl::Milliseconds(1800));
  EXPECT_EQ(fleet_.jobs[key].status, JobStatus::kComplete)
      << fleet_.log.TraceOf(key);
  EXPECT_EQ(fleet_.jobs[key].submissions, 1);
  EXPECT_EQ(fleet_.log.starts[key], 1);
}

// Guards against a started job that waits in an evacuated pool until its
// deadline, and against one that is answered as not run.
TEST_F(EvacuationFleetTest, PartlyStartedJob_DomainEvacuated_FailsSoon) {
  for (const auto& [name, runner] : fleet_.runners) {
    runner->run_time = absl::Milliseconds(2500);
  }
  fleet_.job_deadline = absl::Seconds(10);
  const std::string key = fleet_.Submit(fleet_.OwnerOf("d1"), 10);
  fleet_.loop.RunFor(absl::Milliseconds(200));
  const int started = fleet_.log.starts[key];
  ASSERT_GT(started, 0);
  ASSERT_LT(started, 10);
  Evacuate("d1");
  // The client submits the job again 1.3 s after the answer.
  fleet_.loop.RunFor(absl::Seconds(1));
  EXPECT_EQ(fleet_.jobs[key].error.code, ErrorCode::kOutcomeUnknown);
  EXPECT_EQ(fleet_.log.starts[key], started) << fleet_.log.TraceOf(key);
}

// Guards against a domain that stays unused, and against a burst on its
// runners, which may be cold, as soon as its evacuation is withdrawn.
TEST_F(EvacuationFleetTest, Evacuation_Withdrawn_RunnersAreUsedInSteps) {
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  Withdraw("d1");
  for (const auto& [name, runner] : fleet_.runners) {
    runner->run_time = absl::Milliseconds(500);
  }
  std::vector<int> used;
  for (int i = 0; i < 60; ++i) {
    for (const auto& name : fleet_.Names()) {
      fleet_.Submit(name, 1);
    }
    fleet_.loop.RunFor(absl::Milliseconds(100));
    used.push_back(RunnersUsed("d1"));
  }
  // The row is read within about 0.1 s here, and use returns within 3 s.
  EXPECT_GT(used[10], 0);
  EXPECT_LE(used[10], 2) << testing::PrintToString(used);
  EXPECT_EQ(used.back(), kRunnersPerDomain) << testing::PrintToString(used);
}

// Guards against an owner that takes a pool over and does not know of its
// evacuation.
TEST_F(EvacuationFleetTest,
       OwnerKilledDuringEvacuation_NextOwnerStartsNothing) {
  Evacuate("d1");
  fleet_.loop.RunFor(absl::Milliseconds(100));
  const std::string owner = fleet_.OwnerOf("d1");
  fleet_.Kill(owner);
  fleet_.loop.RunFor(kEffect);
  ASSERT_EQ(fleet_.OwnerOf("d1"), OtherDaemon(owner));
  EXPECT_EQ(StartsDuringLoad("d1", {"d1n0", "d1n1", "d2n0", "d2n1"}), 0);
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against an evacuation that does not reach an owner which the store
// turns away.
TEST_F(EvacuationFleetTest, OwnerTurnedAwayByStore_HearsOfBothFromPeers) {
  const std::string owner = fleet_.OwnerOf("d1");
  fleet_.daemon(owner).store->reachable = false;
  fleet_.loop.RunFor(absl::Seconds(3));
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  ASSERT_EQ(fleet_.OwnerOf("d1"), owner);
  EXPECT_EQ(StartsDuringLoad("d1"), 0);
  Withdraw("d1");
  fleet_.loop.RunFor(kEffect + absl::Seconds(3));
  EXPECT_GT(StartsDuringLoad("d1"), 0);
}

// Guards against a restarted daemon, turned away by the store, that never
// learns of an evacuation which its peers know for long.
TEST_F(EvacuationFleetTest, OwnerTurnedAwayAfterRestart_HearsFromPeers) {
  Evacuate("d2");
  fleet_.loop.RunFor(absl::Seconds(10));
  fleet_.Kill("d1n1");
  fleet_.StartDaemon("d1n1");
  fleet_.daemon("d1n1").store->reachable = false;
  fleet_.loop.RunFor(absl::Seconds(3));
  EXPECT_EQ(KnownEvacuations("d1n1"), 1);
}

// Guards against an owner that misses an evacuation while it is cut off.
TEST_F(EvacuationFleetTest, DomainCutOffDuringEvacuation_StartsNothingLater) {
  fleet_.Isolate("d1");
  fleet_.loop.RunFor(absl::Seconds(1));
  Evacuate("d1");
  fleet_.loop.RunFor(absl::Seconds(4));
  fleet_.Heal();
  fleet_.loop.RunFor(kEffect);
  EXPECT_EQ(StartsDuringLoad("d1"), 0);
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against an owner that continues with what it knew before a pause.
TEST_F(EvacuationFleetTest, OwnerPausedDuringEvacuation_StartsNothingLater) {
  const std::string owner = fleet_.OwnerOf("d1");
  fleet_.daemon(owner).executor->Pause();
  Evacuate("d1");
  fleet_.loop.RunFor(absl::Seconds(4));
  fleet_.daemon(owner).executor->Resume();
  fleet_.loop.RunFor(kEffect);
  EXPECT_EQ(StartsDuringLoad("d1"), 0);
  EXPECT_THAT(fleet_.log.violations, IsEmpty());
}

// Guards against requests that are mixed up between failure domains.
TEST_F(EvacuationFleetTest, TwoDomains_OneWithdrawn_OnlyOtherStaysUnused) {
  Evacuate("d1");
  Evacuate("d2");
  fleet_.loop.RunFor(kEffect);
  Withdraw("d2");
  fleet_.loop.RunFor(kEffect + absl::Seconds(3));
  EXPECT_EQ(StartsDuringLoad("d1"), 0);
  EXPECT_EQ(fleet_.answers[JobStatus::kComplete], 20);
}

// Guards against jobs that are kept or run when all domains are evacuated.
TEST_F(EvacuationFleetTest, AllDomainsEvacuated_JobsAreRefused) {
  Evacuate("d1");
  Evacuate("d2");
  fleet_.loop.RunFor(kEffect);
  const std::string key = fleet_.Submit("d1n0", 2);
  fleet_.loop.RunFor(absl::Milliseconds(10));
  EXPECT_EQ(fleet_.jobs[key].status, JobStatus::kNotRun);
  EXPECT_EQ(fleet_.jobs[key].error.code, ErrorCode::kNoOwner);
  EXPECT_EQ(fleet_.log.starts[key], 0);
}

// Guards against a withdrawn request that comes back with a restart, told by a
// daemon that the store has turned away since before the withdrawal.
TEST_F(EvacuationFleetTest, Withdrawn_FleetRestarts_RequestStaysWithdrawn) {
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  fleet_.daemon("d2n1").store->reachable = false;
  for (const auto& name : fleet_.Names()) {
    if (name != "d2n1") {
      fleet_.Kill(name);
    }
  }
  Withdraw("d1");
  fleet_.rows.DiscardHistory();
  fleet_.loop.RunFor(absl::Seconds(1));
  for (const auto& name : fleet_.Names()) {
    if (name != "d2n1") {
      fleet_.StartDaemon(name);
    }
  }
  fleet_.loop.RunFor(absl::Seconds(10));
  EXPECT_GT(StartsDuringLoad("d1", {"d1n0", "d2n1"}), 0);
  EXPECT_EQ(KnownEvacuations("d2n1"), 0);
}

// Guards against evacuations in each status message, although all daemons know
// them: the cost would grow with the square of the fleet.
TEST_F(EvacuationFleetTest, Evacuation_KnownToAll_IsNotPassedOn) {
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  const auto states_sent = [this] {
    size_t states = 0;
    for (const auto& name : fleet_.Names()) {
      states += fleet_.daemon(name).transport->evacuations_sent;
    }
    return states;
  };
  const size_t before = states_sent();
  EXPECT_GT(before, 0u);
  fleet_.loop.RunFor(absl::Seconds(10));
  EXPECT_EQ(states_sent(), before);
}

// Guards against a metric that does not show what a daemon knows.
TEST_F(EvacuationFleetTest, Evacuation_BegunAndWithdrawn_IsShownByAllDaemons) {
  Evacuate("d1");
  fleet_.loop.RunFor(kEffect);
  for (const auto& name : fleet_.Names()) {
    EXPECT_EQ(KnownEvacuations(name), 1) << name;
  }
  Withdraw("d1");
  fleet_.loop.RunFor(kEffect);
  for (const auto& name : fleet_.Names()) {
    EXPECT_EQ(KnownEvacuations(name), 0) << name;
  }
}

// Guards against a cold runner that gets as many tasks as the warm ones, and
// against one that gets few when it is warm.
TEST_F(EvacuationFleetTest, ColdRunner_UnderLoad_GetsLessUntilWarm) {
  constexpr absl::Duration kColdTime = absl::Seconds(8);
  FakeRunner& cold = *fleet_.runners["d1r0"];
  cold.cold_until = fleet_.clock.Monotonic() + kColdTime;
  fleet_.PutRunner("d1r0", "ready");
  fleet_.loop.RunFor(absl::Seconds(1));
  for (int i = 0; i < 50; ++i) {
    fleet_.Submit(fleet_.OwnerOf("d1"), 5);
    fleet_.loop.RunFor(absl::Milliseconds(120));
  }
  EXPECT_LE(cold.starts * 4, StartsIn("d1"));
  EXPECT_LE(cold.starts, 6) << "more than one at a time";
  fleet_.loop.RunFor(kColdTime);
  const int before = cold.starts;
  for (int i = 0; i < 50; ++i) {
    fleet_.Submit(fleet_.OwnerOf("d1"), 8);
    fleet_.loop.RunFor(absl::Milliseconds(120));
  }
  EXPECT_GE(cold.starts - before, 50) << "the runner is not used when warm";
  fleet_.loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(fleet_.answers[JobStatus::kComplete], 100);
}

}  // namespace
}  // namespace radishrail
