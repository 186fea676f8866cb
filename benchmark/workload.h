#ifndef RADISHRAIL_BENCHMARK_WORKLOAD_H_
#define RADISHRAIL_BENCHMARK_WORKLOAD_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "radishrail/random.h"

namespace radishrail::benchmark {

using Nanos = int64_t;
inline constexpr Nanos kMillisecond = 1'000'000;
inline constexpr Nanos kSecond = 1'000 * kMillisecond;
inline constexpr int kRunners = 48;
inline constexpr int kSlotsPerRunner = 8;

// Fixed properties of one deployment (docs/design.md, section 1.1).
struct Deployment {
  std::string name;
  int failure_domains = 0;
  Nanos cross_domain_latency = 0;
  std::vector<int> daemon_weights;
};

inline std::vector<Deployment> Deployments() {
  return {{"cascade", 4, 3 * kMillisecond / 2, {4, 2, 1, 3, 1, 2, 4, 1}},
          {"valdivia", 3, kMillisecond, {3, 1, 2, 3, 2, 1}}};
}

inline constexpr Nanos kClientLatency = kMillisecond;
// Assumed, since the requirements state no latency within a failure domain.
inline constexpr Nanos kLocalLatency = kMillisecond / 4;

struct Runner {
  int failure_domain = 0;
  double speed = 1.0;
};

struct SimTask {
  int kind = 0;
  double run_s = 0;       // at speed 1
  double declared_s = 0;  // 0: not declared
};

struct SimJob {
  Nanos arrival = 0;
  int daemon = 0;
  std::string environment;
  std::string team;
  int share = 1;
  Nanos promised = 0;
  bool is_short = true;
  std::vector<SimTask> tasks;
};

struct Scenario {
  double load = 0.7;
  bool alternating_load = true;
  bool long_jobs = true;
  double seconds = 120;
  // Team shares of 3:2:1 at equal demand. The ideal ignores shares, so this
  // measures the cost of fairness.
  bool unequal_shares = false;
  // Overrides the promised response time of all environments if positive.
  Nanos promised = 0;
};

struct Workload {
  std::vector<Runner> runners;
  std::vector<SimJob> jobs;
};

// Generates jobs and runners. The same seed yields the same short jobs with
// and without long ones, so that both runs can be compared.
class WorkloadGenerator {
 public:
  WorkloadGenerator(const Deployment& deployment,
                    const Scenario& scenario,
                    uint64_t seed)
      : deployment_(deployment),
        scenario_(scenario),
        short_random_(seed),
        long_random_(seed + 1),
        runner_random_(seed + 2) {}

  Workload Generate() {
    Workload workload;
    MakeRunners(&workload);
    for (int i = 0; i < kKinds; ++i) {
      kinds_.push_back(MakeKind(i));
    }
    const double capacity = kRunners * kSlotsPerRunner;
    // The load of the short jobs is the same with and without long jobs, which
    // add to it.
    MakeJobs(&workload, &short_random_, false,
             scenario_.load * capacity * (1 - kLongLoadShare));
    if (scenario_.long_jobs) {
      MakeJobs(&workload, &long_random_, true,
               scenario_.load * capacity * kLongLoadShare);
    }
    std::stable_sort(
        workload.jobs.begin(), workload.jobs.end(),
        [](const SimJob& a, const SimJob& b) { return a.arrival < b.arrival; });
    return workload;
  }

 private:
  static constexpr int kShortKinds = 20;
  static constexpr int kMediumKinds = 2;
  static constexpr int kLongKinds = 2;
  static constexpr int kKinds = kShortKinds + kMediumKinds + kLongKinds;
  static constexpr double kLongLoadShare = 0.1;

  struct Kind {
    double mean_s = 0;
    double declared_s = 0;
  };

  static double LogUniform(Random* random, double low, double high) {
    return low * std::pow(high / low, random->Unit());
  }

  // Speeds spread over a factor of 4 and are normalised to a mean of 1.
  void MakeRunners(Workload* workload) {
    double sum = 0;
    for (int i = 0; i < kRunners; ++i) {
      const double speed = LogUniform(&runner_random_, 0.5, 2.0);
      workload->runners.push_back({i % deployment_.failure_domains, speed});
      sum += speed;
    }
    for (auto& it : workload->runners) {
      it.speed *= kRunners / sum;
    }
  }

  // A third of the kinds declares no run time, a third the mean, and a third is
  // off by a factor of up to 10.
  Kind MakeKind(int i) {
    Kind kind;
    kind.mean_s = i < kShortKinds ? LogUniform(&runner_random_, 0.05, 1.0)
                  : i < kShortKinds + kMediumKinds
                      ? LogUniform(&runner_random_, 2, 6)
                      : LogUniform(&runner_random_, 20, 40);
    if (i % 3 == 1) {
      kind.declared_s = kind.mean_s;
    } else if (i % 3 == 2) {
      kind.declared_s = kind.mean_s * LogUniform(&runner_random_, 0.1, 10);
    }
    return kind;
  }

  static int DrawTaskCount(Random* random) {
    const double u = random->Unit();
    if (u < 0.40) {
      return 1;
    }
    if (u < 0.75) {
      return 2 + static_cast<int>(random->Below(7));
    }
    if (u < 0.95) {
      return 9 + static_cast<int>(random->Below(32));
    }
    if (u < 0.995) {
      return 41 + static_cast<int>(random->Below(80));
    }
    return 121 + static_cast<int>(random->Below(250));
  }

  int PickDaemon(Random* random) {
    int sum = 0;
    for (const int it : deployment_.daemon_weights) {
      sum += it;
    }
    int n = static_cast<int>(random->Below(sum));
    for (size_t i = 0;; ++i) {
      n -= deployment_.daemon_weights[i];
      if (n < 0) {
        return static_cast<int>(i);
      }
    }
  }

  SimJob MakeJob(Random* random, bool is_long, Nanos arrival) {
    SimJob job;
    job.arrival = arrival;
    job.daemon = PickDaemon(random);
    const int team = static_cast<int>(random->Below(3));
    job.team = absl::StrCat("team-", team);
    job.share = scenario_.unequal_shares ? 3 - team : 1;
    int first = 0;
    int count = kShortKinds;
    int task_count = 1;
    if (is_long) {
      first = kShortKinds + kMediumKinds;
      count = kLongKinds;
      job.environment = "batch";
      job.promised = 300 * kSecond;
      job.is_short = false;
      task_count = 1 + static_cast<int>(random->Below(3));
    } else if (random->Unit() < 0.02) {
      first = kShortKinds;
      count = kMediumKinds;
      job.environment = "reports";
      job.promised = 20 * kSecond;
      job.is_short = false;
      task_count = 1 + static_cast<int>(random->Below(4));
    } else {
      job.environment = random->Below(2) == 0 ? "desk" : "web";
      job.promised = 2 * kSecond;
      task_count = DrawTaskCount(random);
    }
    if (scenario_.promised > 0) {
      job.promised = scenario_.promised;
    }
    const int kinds[2] = {first + static_cast<int>(random->Below(count)),
                          first + static_cast<int>(random->Below(count))};
    for (int i = 0; i < task_count; ++i) {
      const int kind = kinds[random->Below(2)];
      const double run = kinds_[kind].mean_s * (0.7 + 0.6 * random->Unit());
      job.tasks.push_back({kind, run, kinds_[kind].declared_s});
    }
    return job;
  }

  // Poisson arrivals. An alternating load switches between a third of the
  // capacity and twice the capacity in phases of 0.5 to 1.5 s; the next phase
  // is a peak if the mean so far is below the target load.
  void MakeJobs(Workload* workload,
                Random* random,
                bool is_long,
                double work_per_s) {
    // The mean work of a job is taken from a sample, so that the offered load
    // is accurate.
    SeededRandom sample(7);
    double work = 0;
    constexpr int kSamples = 20000;
    for (int i = 0; i < kSamples; ++i) {
      for (const auto& it : MakeJob(&sample, is_long, 0).tasks) {
        work += it.run_s;
      }
    }
    const double jobs_per_s = work_per_s / (work / kSamples);
    const double low = 1.0 / 3;
    const double high = 2.0;
    double now = 0;
    double phase_end = 0;
    double factor = 1;
    double offered = 0;  // sum of load * seconds over the phases so far
    while (true) {
      if (scenario_.alternating_load && now >= phase_end) {
        const double load = offered < scenario_.load * phase_end ? high : low;
        factor = load / scenario_.load;
        const double length = 0.5 + random->Unit();
        offered += load * length;
        phase_end += length;
      }
      now += -std::log(1 - random->Unit()) / (jobs_per_s * factor);
      if (now >= scenario_.seconds) {
        return;
      }
      workload->jobs.push_back(
          MakeJob(random, is_long, static_cast<Nanos>(now * kSecond)));
    }
  }

  const Deployment& deployment_;
  const Scenario scenario_;
  SeededRandom short_random_;
  SeededRandom long_random_;
  SeededRandom runner_random_;
  std::vector<Kind> kinds_;
};

}  // namespace radishrail::benchmark

#endif  // RADISHRAIL_BENCHMARK_WORKLOAD_H_
