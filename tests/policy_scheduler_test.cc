#include "radishrail/policy_scheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gtest/gtest.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

class PolicySchedulerTest : public ::testing::Test {
 protected:
  PolicySchedulerTest() { scheduler_.emplace(clock_, settings_); }

  // Replaces the scheduler by a new one with the current `settings_`.
  void Restart() { scheduler_.emplace(clock_, settings_); }

  void AddUpstream(UpstreamId id,
                   int slots,
                   double speed = 1,
                   const std::string& domain = "fd-0") {
    UpstreamCapacity capacity;
    capacity.upstream = id;
    capacity.upstream_class = "runner";
    capacity.failure_domain = domain;
    capacity.same_failure_domain = domain == "fd-0";
    capacity.slots = slots;
    capacity.speed = speed;
    scheduler_->SetUpstream(capacity);
  }

  JobDemand MakeJob(uint64_t id,
                    int tasks,
                    double declared_s = 0.1,
                    const std::string& kind = "kind") const {
    JobDemand demand;
    demand.job = id;
    demand.environment = "booking";
    demand.team = "counter";
    demand.upstream_classes = {"runner"};
    demand.promise_by = clock_.Monotonic() + absl::Seconds(100);
    demand.start_by = clock_.Monotonic() + absl::Seconds(500);
    for (int i = 0; i < tasks; ++i) {
      demand.tasks.push_back({kind, absl::Seconds(declared_s), 1});
    }
    return demand;
  }

  // Runs `count` tasks of a kind, so that its run time is learned.
  void Learn(const std::string& kind, double run_s, int count = 5) {
    for (int i = 0; i < count; ++i) {
      ASSERT_FALSE(
          scheduler_->Admit(MakeJob(++last_learning_job_, 1, 0.1, kind)));
      const auto placement = scheduler_->Next();
      ASSERT_TRUE(placement);
      scheduler_->Finish(placement->task, absl::Seconds(run_s));
    }
  }

  std::vector<Placement> PlaceAll() {
    std::vector<Placement> list;
    while (const auto it = scheduler_->Next()) {
      list.push_back(*it);
    }
    return list;
  }

  FakeClock clock_;
  PolicySchedulerSettings settings_;
  std::optional<PolicyScheduler> scheduler_;
  uint64_t last_learning_job_ = 1'000'000;
};

// Guards against scheduling in order of arrival, in which small jobs wait for
// large ones.
TEST_F(PolicySchedulerTest, Next_TwoJobsQueued_SmallerJobFirst) {
  AddUpstream(0, 1);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 50)));
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 2)));
  EXPECT_EQ(scheduler_->Next()->task.job, 2u);
}

// Guards against starvation of a large job by a stream of small ones.
TEST_F(PolicySchedulerTest, Next_LargeJobHasWaited_GoesBeforeNewSmallJob) {
  AddUpstream(0, 1);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 50)));
  clock_.Advance(absl::Seconds(20));
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 2)));
  EXPECT_EQ(scheduler_->Next()->task.job, 1u);
}

// Guards against a job that ends late because its longest task started last.
TEST_F(PolicySchedulerTest, Next_JobOfUnequalTasks_LongestTaskFirst) {
  AddUpstream(0, 1);
  JobDemand demand = MakeJob(1, 3);
  demand.tasks[1].kind = "other";
  demand.tasks[1].declared_run = absl::Milliseconds(500);
  ASSERT_FALSE(scheduler_->Admit(demand));
  EXPECT_EQ(scheduler_->Next()->task.task, 1u);
}

// Guards against the use of declared run times once learned ones exist.
TEST_F(PolicySchedulerTest, Next_DeclarationWrong_LearnedRunTimeDecides) {
  AddUpstream(0, 1);
  Learn("slow", 0.9);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 1, 0.001, "slow")));
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 1, 0.5, "unknown")));
  EXPECT_EQ(scheduler_->Next()->task.job, 2u);
}

TEST_F(PolicySchedulerTest, Next_UpstreamsOfUnequalSpeed_FastestFirst) {
  AddUpstream(0, 1, 0.5);
  AddUpstream(1, 1, 2.0);
  AddUpstream(2, 1, 1.0);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 2)));
  EXPECT_EQ(scheduler_->Next()->upstream, 1u);
  EXPECT_EQ(scheduler_->Next()->upstream, 2u);
}

// Guards against queueing at home while other failure domains have free slots.
TEST_F(PolicySchedulerTest, Next_HomeFull_SpillsToOtherFailureDomain) {
  settings_.spill = SpillPolicy::kHomeFirst;
  Restart();
  AddUpstream(0, 1, 0.5);
  AddUpstream(1, 1, 2.0, "fd-1");
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 3)));
  EXPECT_EQ(scheduler_->Next()->upstream, 0u);
  EXPECT_EQ(scheduler_->Next()->upstream, 1u);
  EXPECT_FALSE(scheduler_->Next());
}

// Guards against a job spread over more failure domains than it needs.
TEST_F(PolicySchedulerTest, Next_FewestDomains_StaysInDomainAlreadyUsed) {
  settings_.spill = SpillPolicy::kFewestDomains;
  Restart();
  AddUpstream(0, 2, 1.0, "fd-1");
  AddUpstream(1, 1, 1.0, "fd-1");
  AddUpstream(2, 2, 2.0, "fd-2");
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 3)));
  for (const auto& it : PlaceAll()) {
    EXPECT_NE(it.upstream, 2u);
  }
}

// Guards against placements on an upstream whose withdrawn slots are still in
// use.
TEST_F(PolicySchedulerTest, SetUpstream_SlotsWithdrawn_RunningTasksStillCount) {
  AddUpstream(0, 4);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 10)));
  const auto placed = PlaceAll();
  ASSERT_EQ(placed.size(), 4u);
  AddUpstream(0, 2);
  scheduler_->Finish(placed[0].task, absl::Milliseconds(100));
  scheduler_->Finish(placed[1].task, absl::Milliseconds(100));
  EXPECT_FALSE(scheduler_->Next());
  scheduler_->Finish(placed[2].task, absl::Milliseconds(100));
  EXPECT_TRUE(scheduler_->Next());
  EXPECT_FALSE(scheduler_->Next());
}

// Guards against placements on a removed upstream.
TEST_F(PolicySchedulerTest, RemoveUpstream_TasksQueued_PlacesNothingThere) {
  AddUpstream(0, 4);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 10)));
  const auto placed = scheduler_->Next();
  scheduler_->RemoveUpstream(0);
  EXPECT_FALSE(scheduler_->Next());
  scheduler_->Finish(placed->task, std::nullopt);
  EXPECT_FALSE(scheduler_->Next());
  EXPECT_EQ(scheduler_->queued_tasks(), 9u);
}

// Guards against immediate retries of a refused task.
TEST_F(PolicySchedulerTest, Requeue_BackoffNotOver_TaskIsNotPlaced) {
  AddUpstream(0, 1);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 1)));
  const auto placed = scheduler_->Next();
  scheduler_->Requeue(placed->task, clock_.Monotonic() + absl::Milliseconds(50),
                      std::nullopt);
  EXPECT_FALSE(scheduler_->Next());
  clock_.Advance(absl::Milliseconds(51));
  EXPECT_EQ(scheduler_->Next()->task, placed->task);
}

TEST_F(PolicySchedulerTest, Requeue_AvoidedUpstreamIsFastest_UsesOther) {
  AddUpstream(0, 1, 2.0);
  AddUpstream(1, 1, 1.0);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 1)));
  const auto placed = scheduler_->Next();
  ASSERT_EQ(placed->upstream, 0u);
  scheduler_->Requeue(placed->task, clock_.Monotonic(), 0);
  EXPECT_EQ(scheduler_->Next()->upstream, 1u);
}

// Guards against a task that waits forever because its only upstream is
// avoided.
TEST_F(PolicySchedulerTest, Requeue_NoOtherUpstream_UsesAvoidedOne) {
  AddUpstream(0, 1);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 1)));
  const auto placed = scheduler_->Next();
  scheduler_->Requeue(placed->task, clock_.Monotonic(), 0);
  EXPECT_EQ(scheduler_->Next()->upstream, 0u);
}

// Guards against a task that cannot use the free upstream and blocks the tasks
// queued behind it.
TEST_F(PolicySchedulerTest, Requeue_OnlyAvoidedOneIsFree_OtherTasksGoOn) {
  AddUpstream(0, 1, 2.0);
  AddUpstream(1, 1, 1.0);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 1)));
  const auto first = scheduler_->Next();
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 2)));
  ASSERT_EQ(scheduler_->Next()->upstream, 1u);
  scheduler_->Requeue(first->task, clock_.Monotonic(), 0);
  EXPECT_EQ(scheduler_->Next()->task.job, 2u);
}

TEST_F(PolicySchedulerTest, Admit_UnknownClass_RefusesAsInfeasible) {
  AddUpstream(0, 1);
  JobDemand demand = MakeJob(1, 1);
  demand.upstream_classes = {"gpu"};
  const auto refusal = scheduler_->Admit(demand);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error.code, ErrorCode::kInfeasible);
  EXPECT_NE(refusal->error.detail.find("gpu"), std::string::npos);
}

TEST_F(PolicySchedulerTest, Admit_MoreSlotsThanAnyUpstream_IsInfeasible) {
  AddUpstream(0, 4);
  JobDemand demand = MakeJob(1, 1);
  demand.tasks[0].slots = 9;
  const auto refusal = scheduler_->Admit(demand);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error.code, ErrorCode::kInfeasible);
}

// Guards against partially admitted jobs.
TEST_F(PolicySchedulerTest, Admit_QueueLimitOfEnvironment_RefusesWholeJob) {
  AddUpstream(0, 1);
  JobDemand demand = MakeJob(1, 5);
  demand.max_queued_tasks = 8;
  ASSERT_FALSE(scheduler_->Admit(demand));
  demand.job = 2;
  const auto refusal = scheduler_->Admit(demand);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error.code, ErrorCode::kQuotaExceeded);
  EXPECT_GT(refusal->retry_after, absl::ZeroDuration());
  EXPECT_EQ(scheduler_->queued_tasks(), 5u);
}

// Guards against admitting a job that cannot meet its promised response time:
// the work ahead of it alone takes longer.
TEST_F(PolicySchedulerTest, Admit_BacklogExceedsPromise_RefusesWithRetryTime) {
  AddUpstream(0, 1);
  for (uint64_t i = 1; i <= 100; ++i) {
    ASSERT_FALSE(scheduler_->Admit(MakeJob(i, 1)));
  }
  JobDemand demand = MakeJob(200, 5);
  demand.promise_by = clock_.Monotonic() + absl::Seconds(2);
  const auto refusal = scheduler_->Admit(demand);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error.code, ErrorCode::kOverloaded);
  EXPECT_GT(refusal->retry_after, absl::Seconds(1));
}

// Guards against refusing a job whose run time alone exceeds the promised
// response time: no schedule can meet it, so the job must still run.
TEST_F(PolicySchedulerTest, Admit_RunTimeExceedsPromise_JobRunsNevertheless) {
  AddUpstream(0, 1);
  Learn("slow", 5);
  JobDemand demand = MakeJob(1, 1, 0, "slow");
  demand.promise_by = clock_.Monotonic() + absl::Seconds(1);
  ASSERT_FALSE(scheduler_->Admit(demand));
  EXPECT_TRUE(scheduler_->TakeHopeless().empty());
  EXPECT_TRUE(scheduler_->Next());
}

// Guards against slots wasted on jobs that can no longer meet their promised
// response time.
TEST_F(PolicySchedulerTest, TakeHopeless_PromiseLost_ReportsUnstartedJobOnce) {
  AddUpstream(0, 1);
  JobDemand demand = MakeJob(1, 2, 0.5);
  demand.promise_by = clock_.Monotonic() + absl::Seconds(2);
  ASSERT_FALSE(scheduler_->Admit(demand));
  ASSERT_TRUE(scheduler_->Next());
  demand.job = 2;
  ASSERT_FALSE(scheduler_->Admit(demand));
  EXPECT_TRUE(scheduler_->TakeHopeless().empty());
  clock_.Advance(absl::Seconds(2));
  EXPECT_EQ(scheduler_->TakeHopeless(), std::vector<uint64_t>{2});
  EXPECT_TRUE(scheduler_->TakeHopeless().empty());
  scheduler_->Remove(2);
  EXPECT_EQ(scheduler_->queued_tasks(), 1u);
}

// Guards against placement of tasks after their start-by time.
TEST_F(PolicySchedulerTest, Next_StartByPassed_PlacesNothing) {
  AddUpstream(0, 1);
  JobDemand demand = MakeJob(1, 2);
  demand.start_by = clock_.Monotonic() + absl::Seconds(1);
  ASSERT_FALSE(scheduler_->Admit(demand));
  const auto placed = scheduler_->Next();
  clock_.Advance(absl::Seconds(2));
  scheduler_->Finish(placed->task, absl::Seconds(1));
  EXPECT_FALSE(scheduler_->Next());
}

// Guards against long tasks that occupy every slot while short ones arrive.
TEST_F(PolicySchedulerTest, Next_LongTasksQueued_LeavesSlotsForShortTasks) {
  AddUpstream(0, 10);
  Learn("short", 0.1);
  Learn("long", 30);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 20, 0, "long")));
  EXPECT_LT(PlaceAll().size(), 10u);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 1, 0, "short")));
  EXPECT_EQ(scheduler_->Next()->task.job, 2u);
}

// Guards against long tasks that are limited to few slots although no short
// ones arrive.
TEST_F(PolicySchedulerTest, Next_OnlyLongTasks_UseMostSlots) {
  AddUpstream(0, 10);
  Learn("long", 30);
  clock_.Advance(absl::Seconds(60));
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 20, 0, "long")));
  EXPECT_EQ(PlaceAll().size(), 9u);
}

// Guards against long tasks that pass as short because of a wrong declaration.
TEST_F(PolicySchedulerTest, Next_KindRunsPastDeclaration_CountsAsLong) {
  AddUpstream(0, 10);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 1, 0.1, "unknown")));
  ASSERT_EQ(PlaceAll().size(), 1u);
  clock_.Advance(absl::Seconds(30));
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 20, 0.1, "unknown")));
  EXPECT_LT(PlaceAll().size(), 9u);
}

// Guards against a team that uses the share of others under a backlog.
TEST_F(PolicySchedulerTest, Next_TwoTeamsBackedUp_SlotsFollowShares) {
  AddUpstream(0, 40);
  JobDemand demand = MakeJob(1, 2000);
  demand.team_share = 3;
  ASSERT_FALSE(scheduler_->Admit(demand));
  demand = MakeJob(2, 1000);
  demand.team = "yard";
  ASSERT_FALSE(scheduler_->Admit(demand));
  std::map<uint64_t, int> running;
  for (const auto& it : PlaceAll()) {
    ++running[it.task.job];
  }
  EXPECT_EQ(running[1], 30);
  EXPECT_EQ(running[2], 10);
}

// Guards against idle slots while a team has work.
TEST_F(PolicySchedulerTest, Next_OtherTeamIdle_UnusedShareIsLent) {
  AddUpstream(0, 40);
  JobDemand demand = MakeJob(1, 2);
  demand.team = "yard";
  demand.team_share = 9;
  ASSERT_FALSE(scheduler_->Admit(demand));
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 2000)));
  EXPECT_EQ(PlaceAll().size(), 40u);
}

TEST_F(PolicySchedulerTest, Next_QuotaReached_PlacesOtherTeams) {
  AddUpstream(0, 10);
  JobDemand demand = MakeJob(1, 8);
  demand.team_max_running_tasks = 3;
  ASSERT_FALSE(scheduler_->Admit(demand));
  EXPECT_EQ(PlaceAll().size(), 3u);
  demand = MakeJob(2, 50);
  demand.team = "yard";
  ASSERT_FALSE(scheduler_->Admit(demand));
  EXPECT_EQ(PlaceAll().size(), 7u);
}

// Guards against starvation of tasks that need several slots of one upstream.
TEST_F(PolicySchedulerTest, Next_MultiSlotTaskBlocked_GetsAnUpstream) {
  AddUpstream(0, 4);
  AddUpstream(1, 4);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 400)));
  auto running = PlaceAll();
  JobDemand demand = MakeJob(2, 1);
  demand.tasks[0].slots = 4;
  demand.team = "yard";
  ASSERT_FALSE(scheduler_->Admit(demand));
  bool placed = false;
  for (int i = 0; i < 40 && !placed; ++i) {
    clock_.Advance(absl::Milliseconds(100));
    const Placement oldest = running.front();
    running.erase(running.begin());
    scheduler_->Finish(oldest.task, absl::Milliseconds(100));
    for (const auto& it : PlaceAll()) {
      placed = placed || it.task.job == 2;
      running.push_back(it);
    }
  }
  EXPECT_TRUE(placed);
}

// Guards against cancelled tasks that still start, and against slots that are
// freed while a task of a cancelled job runs.
TEST_F(PolicySchedulerTest, Remove_JobPartlyPlaced_KeepsOnlyOccupiedSlots) {
  AddUpstream(0, 2);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 10)));
  const auto placed = PlaceAll();
  scheduler_->Remove(1);
  EXPECT_EQ(scheduler_->queued_tasks(), 0u);
  EXPECT_EQ(scheduler_->running_tasks(), 2u);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 1)));
  EXPECT_FALSE(scheduler_->Next());
  scheduler_->Requeue(placed[0].task, clock_.Monotonic(), std::nullopt);
  EXPECT_EQ(scheduler_->Next()->task.job, 2u);
  scheduler_->Finish(placed[1].task, std::nullopt);
  EXPECT_EQ(scheduler_->running_tasks(), 1u);
}

TEST_F(PolicySchedulerTest, Finish_UnknownOrQueuedTask_IsIgnored) {
  AddUpstream(0, 1);
  ASSERT_FALSE(scheduler_->Admit(MakeJob(1, 2)));
  scheduler_->Finish({7, 0}, std::nullopt);
  scheduler_->Finish({1, 0}, std::nullopt);
  scheduler_->Requeue({1, 9}, clock_.Monotonic(), std::nullopt);
  EXPECT_EQ(scheduler_->queued_tasks(), 2u);
  EXPECT_EQ(PlaceAll().size(), 1u);
}

// Compares the scheduler under random events with a simple reference model of
// which placements are allowed.
class PolicySchedulerConsistencyTest
    : public ::testing::TestWithParam<uint64_t> {
 protected:
  struct ModelJob {
    int team = 0;
    std::vector<int> slots;
    std::set<uint32_t> queued;
  };
  static constexpr int kUpstreams = 6;
  static constexpr int kQuotas[] = {0, 7, 3};

  PolicySchedulerConsistencyTest() : random_(GetParam()) {
    for (int i = 0; i < kUpstreams; ++i) {
      SetSlots(i, 4);
    }
  }

  void SetSlots(UpstreamId id, int slots) {
    UpstreamCapacity capacity;
    capacity.upstream = id;
    capacity.upstream_class = "runner";
    capacity.failure_domain = absl::StrCat("fd-", id % 3);
    capacity.same_failure_domain = id % 3 == 0;
    capacity.slots = slots;
    capacity.speed = 0.5 + 0.25 * id + 0.01 * random_.Unit();
    scheduler_.SetUpstream(capacity);
    slots_[id] = slots;
  }

  void Admit() {
    JobDemand demand;
    demand.job = ++last_job_;
    ModelJob job;
    job.team = static_cast<int>(random_.Below(3));
    demand.environment = absl::StrCat("environment-", random_.Below(2));
    // The name contains the environment, since quotas apply per team and
    // environment.
    demand.team = absl::StrCat(demand.environment, "-team-", job.team);
    demand.team_max_running_tasks = kQuotas[job.team];
    demand.team_share = job.team + 1;
    demand.promise_by =
        clock_.Monotonic() + absl::Milliseconds(500 + random_.Below(20000));
    demand.start_by = clock_.Monotonic() + absl::Seconds(5000);
    const uint64_t width = 1 + random_.Below(12);
    for (uint32_t i = 0; i < width; ++i) {
      job.slots.push_back(random_.Below(10) == 0 ? 3 : 1);
      demand.tasks.push_back({absl::StrCat("kind-", random_.Below(6)),
                              absl::Milliseconds(random_.Below(3000)),
                              job.slots.back()});
      job.queued.insert(i);
    }
    team_names_[demand.job] = demand.team;
    if (!scheduler_.Admit(demand)) {
      jobs_[demand.job] = job;
    }
  }

  void Place() {
    while (const auto it = scheduler_.Next()) {
      ModelJob& job = jobs_.at(it->task.job);
      ASSERT_EQ(job.queued.erase(it->task.task), 1u) << "placed twice";
      const int slots = job.slots[it->task.task];
      used_[it->upstream] += slots;
      ASSERT_LE(used_[it->upstream], slots_[it->upstream]);
      const int running = ++team_running_[team_names_[it->task.job]];
      if (kQuotas[job.team] > 0) {
        ASSERT_LE(running, kQuotas[job.team]);
      }
      running_.push_back(*it);
    }
  }

  void End(bool requeue) {
    if (running_.empty()) {
      return;
    }
    const size_t n = random_.Below(running_.size());
    const Placement placement = running_[n];
    running_[n] = running_.back();
    running_.pop_back();
    const TaskRef task = placement.task;
    used_[placement.upstream] -= jobs_.at(task.job).slots[task.task];
    --team_running_[team_names_[task.job]];
    if (requeue) {
      if (!removed_.contains(task.job)) {
        jobs_.at(task.job).queued.insert(task.task);
      }
      scheduler_.Requeue(
          task, clock_.Monotonic() + absl::Milliseconds(random_.Below(50)),
          random_.Below(2) == 0 ? std::optional(placement.upstream)
                                : std::nullopt);
    } else {
      scheduler_.Finish(task, absl::Milliseconds(1 + random_.Below(3000)));
    }
  }

  void Remove(uint64_t id) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) {
      it->second.queued.clear();
      removed_.insert(id);
    }
    scheduler_.Remove(id);
  }

  void TakeHopeless() {
    for (const uint64_t id : scheduler_.TakeHopeless()) {
      const ModelJob& job = jobs_.at(id);
      ASSERT_EQ(job.queued.size(), job.slots.size()) << "had started";
      Remove(id);
    }
  }

  size_t ModelQueued() const {
    size_t n = 0;
    for (const auto& [id, job] : jobs_) {
      n += job.queued.size();
    }
    return n;
  }

  SeededRandom random_;
  FakeClock clock_;
  PolicyScheduler scheduler_{clock_};
  std::map<uint64_t, ModelJob> jobs_;
  std::map<uint64_t, std::string> team_names_;
  std::set<uint64_t> removed_;
  std::vector<Placement> running_;
  std::map<UpstreamId, int> slots_;
  std::map<UpstreamId, int> used_;
  std::map<std::string, int> team_running_;
  uint64_t last_job_ = 0;
};

// Guards against lost, repeated or excess placements in any order of events,
// and against tasks that are never placed.
TEST_P(PolicySchedulerConsistencyTest, RandomEvents_MatchModel_AndQueueDrains) {
  for (int i = 0; i < 4000; ++i) {
    SCOPED_TRACE(absl::StrCat("event ", i));
    clock_.Advance(absl::Milliseconds(random_.Below(40)));
    const uint64_t event = random_.Below(100);
    if (event < 15) {
      Admit();
    } else if (event < 60) {
      End(false);
    } else if (event < 70) {
      End(true);
    } else if (event < 73 && last_job_ > 0) {
      Remove(1 + random_.Below(last_job_));
    } else if (event < 80) {
      SetSlots(random_.Below(kUpstreams), static_cast<int>(random_.Below(6)));
    } else if (event < 82) {
      const auto id = static_cast<UpstreamId>(random_.Below(kUpstreams));
      scheduler_.RemoveUpstream(id);
      slots_[id] = 0;
    } else if (event < 90) {
      TakeHopeless();
    } else {
      Place();
    }
    if (HasFatalFailure()) {
      return;
    }
    ASSERT_EQ(scheduler_.queued_tasks(), ModelQueued());
    ASSERT_EQ(scheduler_.running_tasks(), running_.size());
  }
  for (UpstreamId id = 0; id < kUpstreams; ++id) {
    SetSlots(id, 4);
  }
  for (int i = 0; i < 20000 && ModelQueued() + running_.size() > 0; ++i) {
    clock_.Advance(absl::Milliseconds(20));
    TakeHopeless();
    Place();
    End(false);
    if (HasFatalFailure()) {
      return;
    }
  }
  EXPECT_EQ(scheduler_.queued_tasks(), 0u);
  EXPECT_EQ(scheduler_.running_tasks(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         PolicySchedulerConsistencyTest,
                         ::testing::Range<uint64_t>(1, 21));

class PolicySchedulerRackTest : public PolicySchedulerTest {
 protected:
  PolicySchedulerRackTest() {
    settings_.rack_policy = std::make_shared<AdaptiveRackPolicy>();
    settings_.remote_run_factor = 2;
    Restart();
    AddUpstreamOnRack(0, "near");
    AddUpstreamOnRack(1, "far");
  }

  void AddUpstreamOnRack(UpstreamId id, const std::string& rack) {
    UpstreamCapacity capacity;
    capacity.upstream = id;
    capacity.upstream_class = "runner";
    capacity.failure_domain = "fd-0";
    capacity.slots = 1;
    capacity.rack = rack;
    scheduler_->SetUpstream(capacity);
  }

  JobDemand MakeRackJob(uint64_t id, double run_s, const std::string& rack) {
    JobDemand demand = MakeJob(id, 1, run_s, absl::StrCat("run-", run_s));
    demand.tasks[0].preferred_rack = rack;
    return demand;
  }

  // Occupies the upstream of the rack "near" for `run_s`.
  Placement OccupyNear(double run_s) {
    EXPECT_FALSE(scheduler_->Admit(MakeRackJob(100, run_s, "near")));
    const auto placement = scheduler_->Next();
    EXPECT_EQ(placement->upstream, 0u);
    EXPECT_EQ(placement->rack, RackOutcome::kNear);
    return *placement;
  }
};

// Guards against a longer run elsewhere although the rack has room soon.
TEST_F(PolicySchedulerRackTest, Next_RackHasRoomSoon_TaskWaitsForIt) {
  const Placement first = OccupyNear(0.05);
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "near")));
  EXPECT_FALSE(scheduler_->Next());
  clock_.Advance(absl::Milliseconds(50));
  scheduler_->Finish(first.task, absl::Milliseconds(50));
  const auto placement = scheduler_->Next();
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->upstream, 0u);
  EXPECT_EQ(placement->rack, RackOutcome::kNear);
  EXPECT_EQ(placement->rack_wait, absl::Milliseconds(50));
  EXPECT_EQ(placement->run_factor, 1);
}

// Guards against a wait that costs more than the longer run elsewhere.
TEST_F(PolicySchedulerRackTest, Next_RackIsBusyForLong_TaskRunsElsewhere) {
  OccupyNear(5);
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "near")));
  const auto placement = scheduler_->Next();
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->upstream, 1u);
  EXPECT_EQ(placement->rack, RackOutcome::kFarByChoice);
  EXPECT_EQ(placement->run_factor, 2);
}

// Guards against tasks that wait for a rack that has failed.
TEST_F(PolicySchedulerRackTest,
       Next_RackIsLostWhileTaskWaits_TaskRunsElsewhere) {
  OccupyNear(0.05);
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "near")));
  EXPECT_FALSE(scheduler_->Next());
  scheduler_->RemoveUpstream(0);
  clock_.Advance(absl::Milliseconds(10));
  const auto placement = scheduler_->Next();
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->upstream, 1u);
  EXPECT_EQ(placement->rack, RackOutcome::kFarNoRoom);
}

// Guards against a task that waits for a run that takes far longer than
// expected.
TEST_F(PolicySchedulerRackTest, Next_RunningTaskIsOverdue_TaskRunsElsewhere) {
  OccupyNear(0.05);
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "near")));
  EXPECT_FALSE(scheduler_->Next());
  std::optional<Placement> placement;
  for (int i = 0; i < 60 && !placement; ++i) {
    clock_.Advance(absl::Milliseconds(10));
    placement = scheduler_->Next();
  }
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->upstream, 1u);
}

// Guards against a job that waits for a rack that no upstream reports: callers
// may name any.
TEST_F(PolicySchedulerRackTest, Next_RackIsUnknown_TaskIsPlacedAtOnce) {
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "no such rack")));
  const auto placement = scheduler_->Next();
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->rack, RackOutcome::kNoPreference);
}

// Guards against tasks of a wanted rack that keep others from their room.
TEST_F(PolicySchedulerRackTest, Next_TasksWaitForRack_OthersRunElsewhere) {
  OccupyNear(0.05);
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "near")));
  EXPECT_FALSE(scheduler_->Next());
  ASSERT_FALSE(scheduler_->Admit(MakeJob(2, 1)));
  const auto placement = scheduler_->Next();
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->task.job, 2u);
  EXPECT_EQ(placement->upstream, 1u);
}

// Guards against a removed job whose waiting task is placed later.
TEST_F(PolicySchedulerRackTest, Remove_TaskWaitsForRack_IsNotPlaced) {
  const Placement first = OccupyNear(0.05);
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "near")));
  EXPECT_FALSE(scheduler_->Next());
  scheduler_->Remove(1);
  scheduler_->Finish(first.task, absl::Milliseconds(50));
  EXPECT_FALSE(scheduler_->Next());
  EXPECT_EQ(scheduler_->queued_tasks(), 0u);
}

// Guards against a team that exceeds its quota by tasks that waited for a rack.
TEST_F(PolicySchedulerRackTest, Next_TeamOfWaitingTaskAtQuota_TaskIsNotPlaced) {
  const Placement first = OccupyNear(0.05);
  JobDemand waiting = MakeRackJob(1, 0.2, "near");
  waiting.team = "limited";
  waiting.team_max_running_tasks = 1;
  ASSERT_FALSE(scheduler_->Admit(waiting));
  EXPECT_FALSE(scheduler_->Next());
  JobDemand other = MakeJob(2, 1);
  other.team = "limited";
  other.team_max_running_tasks = 1;
  ASSERT_FALSE(scheduler_->Admit(other));
  const auto running = scheduler_->Next();
  ASSERT_TRUE(running);
  ASSERT_EQ(running->task.job, 2u);
  scheduler_->Finish(first.task, absl::Milliseconds(50));
  EXPECT_FALSE(scheduler_->Next());
  scheduler_->Finish(running->task, absl::Milliseconds(50));
  const auto placement = scheduler_->Next();
  ASSERT_TRUE(placement);
  EXPECT_EQ(placement->task.job, 1u);
}

// Guards against a change for deployments whose settings name no factor.
TEST_F(PolicySchedulerRackTest, Next_NoRackPolicy_RackIsIgnored) {
  settings_.rack_policy = nullptr;
  Restart();
  AddUpstreamOnRack(0, "near");
  AddUpstreamOnRack(1, "far");
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(1, 0.2, "far")));
  ASSERT_FALSE(scheduler_->Admit(MakeRackJob(2, 0.2, "far")));
  EXPECT_EQ(PlaceAll().size(), 2u);
}

}  // namespace
}  // namespace radishrail
