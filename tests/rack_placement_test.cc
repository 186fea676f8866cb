// Plays jobs whose data lies on racks in virtual time and checks what callers
// get. Policies without a wait and with a fixed one are the comparison.
#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gtest/gtest.h"
#include "radishrail/policy_scheduler.h"
#include "radishrail/rack_policy.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

constexpr int kRacks = 6;
constexpr int kUpstreamsPerRack = 8;
constexpr int kSlotsPerUpstream = 2;
constexpr int kTasksPerJob = 2;
// Run times on the preferred rack. Elsewhere, a short task still meets its
// promised response time and a long one does not.
constexpr double kShortRunSeconds = 0.06;
constexpr double kLongRunSeconds = 0.2;
constexpr double kMeanRunSeconds = (kShortRunSeconds + kLongRunSeconds) / 2;
constexpr double kRemoteFactor = 2;
constexpr double kBaseSeconds = 0.06;
constexpr double kStretch = 1.6;
constexpr double kLengthSeconds = 20;

class NeverWait : public RackPolicy {
 public:
  RackChoice Choose(const RackOptions& options) const override {
    return options.near_wait_s <= 0 ? RackChoice::kNear : RackChoice::kFar;
  }
};

class FixedWait : public RackPolicy {
 public:
  explicit FixedWait(double wait_s) : wait_s_(wait_s) {}
  RackChoice Choose(const RackOptions& options) const override {
    if (options.near_wait_s <= 0) {
      return RackChoice::kNear;
    }
    return std::isinf(options.near_wait_s) || options.waited_s >= wait_s_
               ? RackChoice::kFar
               : RackChoice::kWait;
  }

 private:
  const double wait_s_;
};

struct Load {
  double utilization = 0.7;  // with all tasks on their racks
  double hot_share = 0;      // of the tasks that prefer the first rack
  double rack_lost_at_s = std::numeric_limits<double>::infinity();
};

struct Result {
  int jobs = 0;
  int in_time = 0;
  double response_s = 0;  // sum over the jobs that ended
  int ended = 0;
  std::map<RackOutcome, int> outcomes;

  double in_time_share() const { return static_cast<double>(in_time) / jobs; }
  double mean_response_s() const { return response_s / std::max(ended, 1); }
};

// Submits jobs at random times and ends tasks when their runs are over.
class Player {
 public:
  Player(std::shared_ptr<const RackPolicy> policy, const Load& load)
      : load_(load), random_(7) {
    PolicySchedulerSettings settings;
    settings.rack_policy = std::move(policy);
    settings.remote_run_factor = kRemoteFactor;
    settings.largest_upstream_slots = kSlotsPerUpstream;
    scheduler_.emplace(clock_, settings);
    for (int i = 0; i < kRacks * kUpstreamsPerRack; ++i) {
      SetUpstream(i, /*accepting=*/true);
    }
  }

  Result Play() {
    const double rate = load_.utilization * kRacks * kUpstreamsPerRack *
                        kSlotsPerUpstream / (kTasksPerJob * kMeanRunSeconds);
    double next_s = 0;
    while (next_s < kLengthSeconds || !jobs_.empty()) {
      if (now_s_ >= load_.rack_lost_at_s) {
        LoseRack();
      }
      if (next_s <= now_s_ && next_s < kLengthSeconds) {
        Submit();
        next_s += -std::log(1 - random_.Unit()) / rate;
      }
      EndRuns();
      for (const uint64_t it : scheduler_->TakeHopeless()) {
        scheduler_->Remove(it);
        jobs_.erase(it);
      }
      PlaceTasks();
      Advance(kStepSeconds);
    }
    return result_;
  }

 private:
  static constexpr double kStepSeconds = 0.001;

  struct Job {
    double arrived_s = 0;
    double promise_by_s = 0;
    double run_s = 0;
    int left = kTasksPerJob;
    std::vector<std::string> racks;
  };
  struct Run {
    double end_s = 0;
    double run_s = 0;
    TaskRef task;
    bool operator>(const Run& other) const { return end_s > other.end_s; }
  };

  static std::string RackName(int rack) { return absl::StrCat("rack-", rack); }

  void SetUpstream(int id, bool accepting) {
    UpstreamCapacity capacity;
    capacity.upstream = static_cast<UpstreamId>(id);
    capacity.upstream_class = "runner";
    capacity.failure_domain = "fd";
    capacity.slots = accepting ? kSlotsPerUpstream : 0;
    capacity.accepting = accepting;
    capacity.rack = RackName(id / kUpstreamsPerRack);
    scheduler_->SetUpstream(capacity);
  }

  void LoseRack() {
    load_.rack_lost_at_s = std::numeric_limits<double>::infinity();
    for (int i = 0; i < kUpstreamsPerRack; ++i) {
      SetUpstream(i, /*accepting=*/false);
    }
  }

  void Submit() {
    JobDemand demand;
    demand.job = ++last_job_;
    demand.environment = "env";
    demand.upstream_classes = {"runner"};
    const bool is_long = random_.Unit() < 0.5;
    const double run_s = is_long ? kLongRunSeconds : kShortRunSeconds;
    const double promised_s = kBaseSeconds + kStretch * run_s;
    demand.promise_by = clock_.Monotonic() + absl::Seconds(promised_s);
    demand.start_by = clock_.Monotonic() + absl::Seconds(5 * promised_s);
    Job job;
    job.arrived_s = now_s_;
    job.promise_by_s = now_s_ + promised_s;
    job.run_s = run_s;
    for (int i = 0; i < kTasksPerJob; ++i) {
      const bool hot = random_.Unit() < load_.hot_share;
      job.racks.push_back(
          RackName(hot ? 0 : static_cast<int>(random_.Below(kRacks))));
      demand.tasks.push_back({is_long ? "long" : "short", absl::Seconds(run_s),
                              1, job.racks.back()});
    }
    ++result_.jobs;
    if (!scheduler_->Admit(demand).has_value()) {
      jobs_[demand.job] = std::move(job);
    }
  }

  void PlaceTasks() {
    while (const auto placement = scheduler_->Next()) {
      const Job& job = jobs_.at(placement->task.job);
      const bool near =
          job.racks[placement->task.task] ==
          RackName(static_cast<int>(placement->upstream) / kUpstreamsPerRack);
      EXPECT_EQ(near, placement->rack == RackOutcome::kNear);
      ++result_.outcomes[placement->rack];
      const double run_s =
          job.run_s * (0.8 + 0.4 * random_.Unit()) * (near ? 1 : kRemoteFactor);
      runs_.push({now_s_ + run_s, run_s, placement->task});
    }
  }

  void EndRuns() {
    while (!runs_.empty() && runs_.top().end_s <= now_s_) {
      const Run run = runs_.top();
      runs_.pop();
      scheduler_->Finish(run.task, absl::Seconds(run.run_s));
      const auto it = jobs_.find(run.task.job);
      if (it != jobs_.end() && --it->second.left == 0) {
        ++result_.ended;
        result_.response_s += now_s_ - it->second.arrived_s;
        result_.in_time += now_s_ <= it->second.promise_by_s ? 1 : 0;
        scheduler_->Remove(run.task.job);
        jobs_.erase(it);
      }
    }
  }

  void Advance(double seconds) {
    now_s_ += seconds;
    clock_.Advance(absl::Seconds(seconds));
  }

  Load load_;
  SeededRandom random_;
  FakeClock clock_;
  std::optional<PolicyScheduler> scheduler_;
  double now_s_ = 0;
  uint64_t last_job_ = 0;
  std::map<uint64_t, Job> jobs_;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> runs_;
  Result result_;
};

enum class Policy { kNever, kFixed, kAdaptive };

Result Play(Policy policy, const Load& load) {
  constexpr double kFixedWaitSeconds = 0.1;
  switch (policy) {
    case Policy::kNever:
      return Player(std::make_shared<NeverWait>(), load).Play();
    case Policy::kFixed:
      return Player(std::make_shared<FixedWait>(kFixedWaitSeconds), load)
          .Play();
    case Policy::kAdaptive:
      break;
  }
  return Player(std::make_shared<AdaptiveRackPolicy>(), load).Play();
}

class RackPlacementTest : public ::testing::TestWithParam<Load> {};

INSTANTIATE_TEST_SUITE_P(
    Loads,
    RackPlacementTest,
    ::testing::Values(Load{0.3, 0},
                      Load{0.3, 0.6},
                      Load{0.7, 0},
                      Load{0.7, 0.6},
                      Load{0.9, 0},
                      Load{0.9, 0.6},
                      Load{1.2, 0},
                      Load{1.2, 0.6},
                      Load{0.7, 0.6, 8}),
    [](const auto& info) {
      return absl::StrCat(
          "Load", static_cast<int>(info.param.utilization * 100), "Hot",
          static_cast<int>(info.param.hot_share * 100),
          std::isinf(info.param.rack_lost_at_s) ? "" : "RackLost");
    });

// Guards against a wait that costs callers more than the longer run would, and
// against tasks that wait for a rack that was lost.
TEST_P(RackPlacementTest, Adaptive_AnyLoad_ServesNoFewerThanOtherPolicies) {
  constexpr double kNoise = 0.01;
  const Result never = Play(Policy::kNever, GetParam());
  const Result fixed = Play(Policy::kFixed, GetParam());
  const Result adaptive = Play(Policy::kAdaptive, GetParam());
  for (const auto& [name, it] :
       {std::pair<const char*, const Result&>{"never", never},
        {"fixed", fixed},
        {"adaptive", adaptive}}) {
    std::printf("%-9s in time %.3f mean response %.3f s near %d of %d\n", name,
                it.in_time_share(), it.mean_response_s(),
                it.outcomes.contains(RackOutcome::kNear)
                    ? it.outcomes.at(RackOutcome::kNear)
                    : 0,
                it.ended * kTasksPerJob);
  }
  EXPECT_GE(adaptive.in_time_share(), never.in_time_share() - kNoise);
  EXPECT_GE(adaptive.in_time_share(), fixed.in_time_share() - kNoise);
}

}  // namespace
}  // namespace radishrail
