#ifndef RADISHRAIL_BENCHMARK_IDEAL_H_
#define RADISHRAIL_BENCHMARK_IDEAL_H_

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "driver.h"
#include "workload.h"

namespace radishrail::benchmark {

// The ideal that policies are compared with: one central queue with exact run
// times. It places tasks on the fastest free slot without delay; the only
// overhead is the latency between client, daemon and runner. The job with the
// least remaining work goes first, and its longest task first. Jobs that can no
// longer meet their promised response time are dropped before they start.
class IdealQueue {
 public:
  explicit IdealQueue(const Workload& workload) : workload_(workload) {
    jobs_.resize(workload.jobs.size());
    responses_.assign(workload.jobs.size(), -1);
    for (int r = 0; r < kRunners; ++r) {
      for (int i = 0; i < kSlotsPerRunner; ++i) {
        free_slots_.insert(
            {-workload.runners[r].speed, r * kSlotsPerRunner + i});
      }
    }
    top_speed_ = -free_slots_.begin()->first;
  }

  std::vector<double> Run() {
    for (size_t i = 0; i < workload_.jobs.size(); ++i) {
      loop_.At(workload_.jobs[i].arrival + kClientLatency + kLocalLatency,
               [this, i] { Submit(i); });
    }
    loop_.Run(workload_.jobs.back().arrival + 2000 * kSecond);
    return std::move(responses_);
  }

 private:
  struct Job {
    std::vector<double> run_times;  // of tasks not yet started, ascending
    double remaining = 0;
    int unfinished = 0;
    bool started = false;
  };

  void Submit(size_t i) {
    Job& job = jobs_[i];
    for (const auto& it : workload_.jobs[i].tasks) {
      job.run_times.push_back(it.run_s);
      job.remaining += it.run_s;
    }
    std::sort(job.run_times.begin(), job.run_times.end());
    job.unfinished = static_cast<int>(job.run_times.size());
    queue_.insert({job.remaining, i});
    Place();
  }

  bool Hopeless(size_t i) const {
    const Job& job = jobs_[i];
    const Nanos end =
        loop_.now() +
        static_cast<Nanos>(job.run_times.back() / top_speed_ * kSecond) +
        kLocalLatency + kClientLatency;
    return !job.started &&
           end > workload_.jobs[i].arrival + workload_.jobs[i].promised;
  }

  void Place() {
    while (!free_slots_.empty() && !queue_.empty()) {
      const size_t i = queue_.begin()->second;
      queue_.erase(queue_.begin());
      if (Hopeless(i)) {
        continue;
      }
      Job& job = jobs_[i];
      job.started = true;
      const double run = job.run_times.back();
      job.run_times.pop_back();
      job.remaining -= run;
      const auto slot = *free_slots_.begin();
      free_slots_.erase(free_slots_.begin());
      loop_.After(static_cast<Nanos>(run / -slot.first * kSecond),
                  [this, i, slot] { Finish(i, slot); });
      if (!job.run_times.empty()) {
        queue_.insert({job.remaining, i});
      }
    }
  }

  void Finish(size_t i, std::pair<double, int> slot) {
    free_slots_.insert(slot);
    if (--jobs_[i].unfinished == 0) {
      responses_[i] =
          static_cast<double>(loop_.now() + kLocalLatency + kClientLatency -
                              workload_.jobs[i].arrival) /
          kSecond;
    }
    Place();
  }

  const Workload& workload_;
  EventLoop loop_;
  std::vector<Job> jobs_;
  std::set<std::pair<double, int>> free_slots_;
  std::set<std::pair<double, size_t>> queue_;
  std::vector<double> responses_;
  double top_speed_ = 1;
};

}  // namespace radishrail::benchmark

#endif  // RADISHRAIL_BENCHMARK_IDEAL_H_
