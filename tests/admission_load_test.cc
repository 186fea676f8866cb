#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gtest/gtest.h"
#include "radishrail/policy_scheduler.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

// A kind of job as in the users' sheets.
struct JobKind {
  std::string name;
  int tasks = 1;
  double estimate_s = 0;
  double rate = 0;  // relative
};

struct LoadOptions {
  double load = 1;  // multiple of the capacity
  double seconds = 40;
  uint64_t seed = 1;
  // Factors of the rates of kinds; `load` is that without them.
  std::map<std::string, double> factors = {};
  // Whether each kind has a queue (environment) of its own.
  bool queue_per_kind = true;
  std::string urgent_kind = {};  // empty: all alike
  SharePolicy shares = SharePolicy::kAdmission;
};

struct KindResult {
  int jobs = 0;
  int in_time = 0;
  int served = 0;  // within the time limit

  void Add(const KindResult& other) {
    jobs += other.jobs;
    served += other.served;
    in_time += other.in_time;
  }
  double Share() const { return static_cast<double>(in_time) / jobs; }
  double ServedShare() const { return static_cast<double>(served) / jobs; }
};

struct LoadResult {
  int jobs = 0;
  int refused = 0;
  // Refused after a quarter of the promised time, and of the time limit.
  int late_by_promise = 0;
  int late_by_limit = 0;
  int in_time = 0;   // completed within the promised time
  int served = 0;    // completed within the time limit
  int given_up = 0;  // not completed within the time limit
  double work_in_time = 0;
  std::map<std::string, KindResult> kinds;
  std::map<std::string, KindResult> largest;  // tenth of each kind, by work
  std::vector<double> response_s;             // of completed jobs

  void Add(const LoadResult& other) {
    jobs += other.jobs;
    refused += other.refused;
    late_by_promise += other.late_by_promise;
    late_by_limit += other.late_by_limit;
    in_time += other.in_time;
    served += other.served;
    given_up += other.given_up;
    work_in_time += other.work_in_time;
    for (const auto& [name, it] : other.kinds) {
      kinds[name].Add(it);
    }
    for (const auto& [name, it] : other.largest) {
      largest[name].Add(it);
    }
    response_s.insert(response_s.end(), other.response_s.begin(),
                      other.response_s.end());
  }

  void Print(const std::string& title) {
    std::printf(
        "%s: %d jobs, %d in time (work %.0f), %d served, %d given up, "
        "%d refused (%d after a quarter of the promise, %d of the limit), "
        "p50 %.3f s, p90 %.3f s",
        title.c_str(), jobs, in_time, work_in_time, served, given_up, refused,
        late_by_promise, late_by_limit, Percentile(0.5), Percentile(0.9));
    for (const auto& [name, it] : kinds) {
      std::printf("; %s %.3f, largest %.3f", name.c_str(), it.Share(),
                  largest[name].Share());
    }
    std::printf("\n");
  }

  double Percentile(double share) {
    std::sort(response_s.begin(), response_s.end());
    return response_s[static_cast<size_t>(
        share * static_cast<double>(response_s.size() - 1))];
  }
};

constexpr double kLimitSeconds = 1.5;
constexpr double kTickSeconds = 0.01;
constexpr int kUpstreams = 48;

// Plays arriving jobs against a scheduler in virtual time, with the calls that
// `JobController` makes. Estimates are off by up to 40%, and 3% of the tasks
// run 7 times longer.
class AdmissionLoad {
 public:
  AdmissionLoad(const PolicySchedulerSettings& settings,
                const LoadOptions& options)
      : options_(options),
        random_(options.seed),
        start_(clock_.Monotonic()),
        scheduler_(clock_, settings) {
    for (UpstreamId i = 0; i < kUpstreams; ++i) {
      SetUpstream(i, true);
    }
  }

  LoadResult Run() {
    ScheduleArrivals();
    At(kTickSeconds, [this] { Tick(); });
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      clock_.Advance(start_ + absl::Seconds(event.at_s) - clock_.Monotonic());
      now_s_ = event.at_s;
      event.action();
      PlaceTasks();
    }
    return std::move(result_);
  }

  // Takes upstreams `first` to `last` away at a time.
  void RemoveUpstreams(double at_s, UpstreamId first, UpstreamId last) {
    At(at_s, [this, first, last] {
      for (UpstreamId i = first; i <= last; ++i) {
        SetUpstream(i, false);
      }
    });
  }

 private:
  struct Event {
    double at_s = 0;
    uint64_t number = 0;  // events at the same time keep their order
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at_s, number) > std::pair(other.at_s, other.number);
    }
  };
  struct Job {
    const JobKind* kind = nullptr;
    double arrival_s = 0;
    double promise_s = 0;
    double work = 0;
    int left = 0;
    bool largest = false;
    bool ended = false;
    std::vector<double> runs_s;  // at speed 1
  };

  static double Speed(UpstreamId upstream) {
    return upstream % 3 == 2 ? 1.7 : 0.7;
  }
  static int Slots(UpstreamId upstream) { return upstream % 3 == 2 ? 96 : 64; }

  void SetUpstream(UpstreamId id, bool accepting) {
    UpstreamCapacity capacity;
    capacity.upstream = id;
    capacity.upstream_class = "runner";
    capacity.failure_domain = "fd-0";
    capacity.slots = Slots(id);
    capacity.speed = Speed(id);
    capacity.accepting = accepting;
    scheduler_.SetUpstream(capacity);
  }

  void At(double at_s, std::function<void()> action) {
    events_.push({at_s, ++event_number_, std::move(action)});
  }

  void ScheduleArrivals() {
    double work_rate = 0;
    for (const JobKind& it : kinds_) {
      work_rate += it.rate * it.tasks * it.estimate_s * kMeanSlots;
    }
    double capacity = 0;
    for (UpstreamId i = 0; i < kUpstreams; ++i) {
      capacity += Slots(i) * Speed(i);
    }
    // Mean of the run times of a task per its estimate, with the tail.
    constexpr double kMeanRun = 0.97 + 0.03 * 7;
    const double scale = options_.load * capacity / (work_rate * kMeanRun);
    for (const JobKind& it : kinds_) {
      const auto factor = options_.factors.find(it.name);
      const double rate =
          it.rate * scale *
          (factor == options_.factors.end() ? 1 : factor->second);
      double at_s = 0;
      while (rate > 0) {
        at_s += -std::log(1 - random_.Unit()) / rate;
        if (at_s > options_.seconds) {
          break;
        }
        At(at_s, [this, &it] { Arrive(it); });
      }
    }
  }

  // The number of tasks is spread from a half to twice that of the kind.
  void Arrive(const JobKind& kind) {
    const uint64_t id = ++last_job_;
    Job& job = jobs_[id];
    job.kind = &kind;
    job.arrival_s = now_s_;
    const double width = random_.Unit();
    job.largest = width > 0.9;
    const double factor = 0.5 + 1.5 * width * width;
    job.left = std::max(1, static_cast<int>(std::lround(kind.tasks * factor)));
    JobDemand demand;
    demand.job = id;
    demand.environment = options_.queue_per_kind ? kind.name : "queue";
    demand.priority =
        options_.urgent_kind.empty() || options_.urgent_kind == kind.name ? 0
                                                                          : 1;
    demand.team = "team";
    demand.upstream_classes = {"runner"};
    double longest_s = 0;
    for (int i = 0; i < job.left; ++i) {
      const double run_s = kind.estimate_s * (0.8 + 0.4 * random_.Unit());
      const double estimate_s = run_s * (0.6 + 0.8 * random_.Unit());
      const int slots = 24 + 8 * static_cast<int>(random_.Below(3));
      job.runs_s.push_back(run_s * (random_.Unit() < 0.03 ? 7 : 1));
      job.work += run_s * slots;
      longest_s = std::max(longest_s, estimate_s);
      demand.tasks.push_back({kind.name, absl::Seconds(estimate_s), slots});
    }
    job.promise_s = 0.06 + 1.6 * longest_s;
    const absl::Time now = clock_.Monotonic();
    demand.promise_by = now + absl::Seconds(job.promise_s);
    demand.start_by = now + absl::Seconds(kLimitSeconds);
    ++result_.jobs;
    ++result_.kinds[kind.name].jobs;
    result_.largest[kind.name].jobs += job.largest ? 1 : 0;
    if (scheduler_.Admit(demand).has_value()) {
      Refuse(&job);
      return;
    }
    At(now_s_ + kLimitSeconds, [this, id] { GiveUp(id); });
  }

  void Refuse(Job* job) {
    const double after_s = now_s_ - job->arrival_s;
    job->ended = true;
    ++result_.refused;
    result_.late_by_promise += after_s > job->promise_s / 4 ? 1 : 0;
    result_.late_by_limit += after_s > kLimitSeconds / 4 ? 1 : 0;
  }

  void GiveUp(uint64_t id) {
    Job& job = jobs_[id];
    if (!job.ended) {
      job.ended = true;
      ++result_.given_up;
      scheduler_.Remove(id);
    }
  }

  void Tick() {
    for (const uint64_t id : scheduler_.TakeHopeless()) {
      Refuse(&jobs_[id]);
      scheduler_.Remove(id);
    }
    if (now_s_ < options_.seconds + 10) {
      At(now_s_ + kTickSeconds, [this] { Tick(); });
    }
  }

  void PlaceTasks() {
    while (const auto placement = scheduler_.Next()) {
      const double run_s =
          jobs_[placement->task.job].runs_s[placement->task.task] /
          Speed(placement->upstream);
      At(now_s_ + run_s,
         [this, ref = placement->task, run_s] { End(ref, run_s); });
    }
  }

  void End(TaskRef ref, double run_s) {
    scheduler_.Finish(ref, absl::Seconds(run_s));
    Job& job = jobs_[ref.job];
    if (--job.left > 0 || job.ended) {
      return;
    }
    job.ended = true;
    const double response_s = now_s_ - job.arrival_s;
    ++result_.served;
    ++result_.kinds[job.kind->name].served;
    result_.largest[job.kind->name].served += job.largest ? 1 : 0;
    result_.response_s.push_back(response_s);
    if (response_s <= job.promise_s) {
      ++result_.in_time;
      result_.work_in_time += job.work;
      ++result_.kinds[job.kind->name].in_time;
      result_.largest[job.kind->name].in_time += job.largest ? 1 : 0;
    }
  }

  static constexpr int kMeanSlots = 32;
  // Clock-in, payroll check, approval; rates of the sheets.
  const std::vector<JobKind> kinds_ = {{"short", 8, 0.051, 181},
                                       {"long", 4, 0.76, 33},
                                       {"middle", 2, 0.17, 528}};
  const LoadOptions options_;
  SeededRandom random_;
  FakeClock clock_;
  const absl::Time start_;
  PolicyScheduler scheduler_;
  std::priority_queue<Event> events_;
  uint64_t event_number_ = 0;
  uint64_t last_job_ = 0;
  double now_s_ = 0;
  std::map<uint64_t, Job> jobs_;
  LoadResult result_;
};

PolicySchedulerSettings MakeSettings(
    AdmissionPolicy admission,
    SharePolicy shares = SharePolicy::kAdmission) {
  PolicySchedulerSettings settings;
  settings.admission = admission;
  settings.shares = shares;
  // As `PlatformDaemon` sets them for tasks of many slots.
  settings.aging *= 27;
  settings.reserve_after = absl::Seconds(60);
  settings.largest_upstream_slots = 96;
  return settings;
}

// Three seeds, since one differs from another by 3%.
LoadResult RunSeeds(AdmissionPolicy admission, LoadOptions options) {
  LoadResult sum;
  for (const uint64_t seed : {1, 2, 3}) {
    options.seed = seed;
    sum.Add(
        AdmissionLoad(MakeSettings(admission, options.shares), options).Run());
  }
  return sum;
}

LoadResult RunSeeds(AdmissionPolicy admission,
                    double load,
                    const std::map<std::string, double>& factors = {},
                    const std::string& urgent = {}) {
  LoadOptions options;
  options.load = load;
  options.factors = factors;
  options.urgent_kind = urgent;
  return RunSeeds(admission, options);
}

struct LoadCase {
  double load = 1;
  // Measured with the code before `AdmissionPolicy::kReserved`.
  int in_time_before = 0;
};

class AdmissionLoadTest : public ::testing::TestWithParam<LoadCase> {
 protected:
  static void ExpectBetter(LoadResult before, LoadResult after) {
    EXPECT_LT(after.late_by_limit, 0.05 * after.refused);
    EXPECT_GE(after.in_time, GetParam().in_time_before);
    EXPECT_GE(after.in_time, before.in_time);
    EXPECT_GE(after.work_in_time, before.work_in_time);
    EXPECT_LT(after.given_up, before.given_up);
    EXPECT_LE(after.Percentile(0.9), before.Percentile(0.9));
  }
};

// Guards against admitting jobs that are refused late or end late: callers
// could have gone elsewhere in time.
TEST_P(AdmissionLoadTest, Reserved_Overload_RefusesEarlyAndServesNoFewer) {
  LoadOptions options;
  options.load = GetParam().load;
  // One queue: shares between queues move room from kinds of little work to
  // kinds of much, so that fewer jobs do more work.
  options.queue_per_kind = false;
  LoadResult before = RunSeeds(AdmissionPolicy::kQueuedWork, options);
  LoadResult after = RunSeeds(AdmissionPolicy::kReserved, options);
  before.Print("queued work");
  after.Print("reserved");
  ExpectBetter(before, after);
  options.shares = SharePolicy::kBacklog;
  after = RunSeeds(AdmissionPolicy::kReserved, options);
  after.Print("reserved, shares by backlog");
  ExpectBetter(before, after);
}

// The same with a queue for each kind: fewer jobs may be in time, but their
// work is more.
TEST_P(AdmissionLoadTest, Reserved_OverloadOfThreeQueues_DoesMoreWorkInTime) {
  LoadResult before = RunSeeds(AdmissionPolicy::kQueuedWork, GetParam().load);
  LoadResult after = RunSeeds(AdmissionPolicy::kReserved, GetParam().load);
  before.Print("queued work, three queues");
  after.Print("reserved, three queues");
  EXPECT_LT(after.late_by_limit, 0.05 * after.refused);
  EXPECT_LT(after.given_up, before.given_up);
  EXPECT_GT(after.work_in_time, 1.2 * before.work_in_time);
  EXPECT_GT(after.in_time, 0.75 * before.in_time);
}

// Guards against an overload in which wide jobs, which need room on many
// upstreams at once, are refused for small ones.
TEST_P(AdmissionLoadTest, Reserved_OverloadOfThreeQueues_ServesWideJobs) {
  LoadOptions options;
  options.load = GetParam().load;
  LoadResult result;
  // The widest tenth of the long kind is 50 jobs a seed.
  for (options.seed = 1; options.seed <= 10; ++options.seed) {
    result.Add(
        AdmissionLoad(MakeSettings(AdmissionPolicy::kReserved), options).Run());
  }
  for (const auto& [name, it] : result.kinds) {
    const KindResult& largest = result.largest[name];
    std::printf("%s: %.3f served, largest tenth %.3f\n", name.c_str(),
                it.ServedShare(), largest.ServedShare());
    EXPECT_GE(largest.ServedShare(), 0.8 * it.ServedShare()) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         AdmissionLoadTest,
                         ::testing::Values(LoadCase{1.3, 24250},
                                           LoadCase{2.0, 24511}));

// Guards against an admission that refuses jobs while there is room for all.
TEST(AdmissionLoadTest, Reserved_RoomForAll_ServesAsMany) {
  const LoadResult before = RunSeeds(AdmissionPolicy::kQueuedWork, 0.7);
  const LoadResult after = RunSeeds(AdmissionPolicy::kReserved, 0.7);
  EXPECT_LT(after.refused, 0.005 * after.jobs);
  EXPECT_GT(after.in_time, 0.995 * before.in_time);
}

// Guards against a queue whose peak takes the room of the others. Each has a
// third of the room and needs less while calm; half of the promises that it
// keeps then is what was reached, for tasks that need fast upstreams.
TEST(AdmissionLoadTest, Reserved_PeakOfOneQueue_OthersKeepTheirPromises) {
  LoadResult calm = RunSeeds(AdmissionPolicy::kReserved, 0.6);
  calm.Print("calm");
  for (const char* peak : {"short", "long", "middle"}) {
    LoadResult before =
        RunSeeds(AdmissionPolicy::kQueuedWork, 0.6, {{peak, 6}});
    LoadResult after = RunSeeds(AdmissionPolicy::kReserved, 0.6, {{peak, 6}});
    before.Print(absl::StrCat("queued work, peak of ", peak));
    after.Print(absl::StrCat("reserved, peak of ", peak));
    EXPECT_GE(after.work_in_time, before.work_in_time);
    for (const auto& [name, it] : calm.kinds) {
      EXPECT_GT(after.kinds[name].Share(), 0.35 * it.Share()) << peak << name;
      if (name != peak) {
        EXPECT_GT(after.kinds[name].Share(), 0.5 * it.Share()) << peak << name;
      }
    }
  }
}

// Guards against urgent jobs that wait behind less urgent ones.
TEST(AdmissionLoadTest, Reserved_UrgentQueue_IsServedBeforeOthers) {
  for (const char* urgent : {"short", "long", "middle"}) {
    LoadResult equal = RunSeeds(AdmissionPolicy::kReserved, 2);
    LoadResult result = RunSeeds(AdmissionPolicy::kReserved, 2, {}, urgent);
    result.Print(absl::StrCat("urgent: ", urgent));
    EXPECT_GE(result.kinds[urgent].Share(), equal.kinds[urgent].Share())
        << urgent;
  }
}

// Guards against admitting by capacity that is gone, and against telling the
// jobs that no longer fit only when their time has passed.
TEST(AdmissionLoadTest, Reserved_ThirdOfUpstreamsLost_RefusesEarly) {
  int refused = 0;
  int late = 0;
  for (const uint64_t seed : {1, 2, 3}) {
    AdmissionLoad load(MakeSettings(AdmissionPolicy::kReserved),
                       {0.9, 10, seed});
    load.RemoveUpstreams(5, 0, kUpstreams / 3);
    const LoadResult result = load.Run();
    refused += result.refused;
    late += result.late_by_limit;
  }
  EXPECT_GT(refused, 0);
  EXPECT_LT(late, 0.05 * refused);
}

}  // namespace
}  // namespace radishrail
