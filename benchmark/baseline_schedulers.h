#ifndef RADISHRAIL_BENCHMARK_BASELINE_SCHEDULERS_H_
#define RADISHRAIL_BENCHMARK_BASELINE_SCHEDULERS_H_

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "radishrail/random.h"
#include "radishrail/scheduler.h"

namespace radishrail::benchmark {

enum class BaselineChoice { kRandom, kRoundRobin, kPowerOfTwo };

// Assigns each task to an upstream on arrival and keeps one first-in-first-out
// queue per upstream. Admits every job and never sheds load.
class BaselineScheduler : public Scheduler {
 public:
  BaselineScheduler(BaselineChoice choice, uint64_t seed)
      : choice_(choice), random_(seed) {}

  std::optional<Refusal> Admit(const JobDemand& demand) override {
    for (uint32_t i = 0; i < demand.tasks.size(); ++i) {
      Assign({demand.job, i});
    }
    return std::nullopt;
  }

  std::optional<Placement> Next() override {
    while (!ready_upstreams_.empty()) {
      const UpstreamId id = ready_upstreams_.front();
      Upstream& upstream = upstreams_[id];
      if (upstream.queue.empty() || upstream.running >= upstream.slots) {
        ready_upstreams_.pop_front();
        upstream.ready = false;
        continue;
      }
      const TaskRef task = upstream.queue.front();
      upstream.queue.pop_front();
      --queued_;
      if (removed_.contains(task.job)) {
        continue;
      }
      ++upstream.running;
      running_[{task.job, task.task}] = id;
      return Placement{task, id};
    }
    return std::nullopt;
  }

  void Requeue(TaskRef task,
               absl::Time /*not_before*/,
               std::optional<UpstreamId> /*avoid*/) override {
    Release(task);
    Assign(task);
  }
  void Finish(TaskRef task,
              std::optional<absl::Duration> /*run_time*/) override {
    Release(task);
  }
  void Remove(uint64_t job) override { removed_.insert(job); }
  std::vector<uint64_t> TakeHopeless() override { return {}; }

  void SetUpstream(const UpstreamCapacity& capacity) override {
    Upstream& upstream = upstreams_[capacity.upstream];
    upstream.slots = capacity.accepting ? capacity.slots : 0;
    usable_upstreams_.clear();
    for (const auto& [id, it] : upstreams_) {
      if (it.slots > 0) {
        usable_upstreams_.push_back(id);
      }
    }
    MarkReady(capacity.upstream);
  }
  void RemoveUpstream(UpstreamId upstream) override {
    UpstreamCapacity capacity;
    capacity.upstream = upstream;
    SetUpstream(capacity);
  }
  size_t queued_tasks() const override { return queued_; }
  size_t running_tasks() const override { return running_.size(); }

 private:
  struct Upstream {
    int slots = 0;
    int running = 0;
    bool ready = false;
    std::deque<TaskRef> queue;
  };

  UpstreamId Choose() {
    const auto any = [this] {
      return usable_upstreams_[random_.Below(usable_upstreams_.size())];
    };
    if (choice_ == BaselineChoice::kRandom) {
      return any();
    }
    if (choice_ == BaselineChoice::kRoundRobin) {
      return usable_upstreams_[next_index_++ % usable_upstreams_.size()];
    }
    const UpstreamId a = any();
    const UpstreamId b = any();
    return TasksPerSlot(a) <= TasksPerSlot(b) ? a : b;
  }
  double TasksPerSlot(UpstreamId id) {
    const Upstream& it = upstreams_[id];
    return static_cast<double>(it.queue.size() + it.running) / it.slots;
  }
  void Assign(TaskRef task) {
    const UpstreamId id = Choose();
    upstreams_[id].queue.push_back(task);
    ++queued_;
    MarkReady(id);
  }
  void Release(TaskRef task) {
    const auto it = running_.find({task.job, task.task});
    const UpstreamId id = it->second;
    running_.erase(it);
    --upstreams_[id].running;
    MarkReady(id);
  }
  void MarkReady(UpstreamId id) {
    Upstream& upstream = upstreams_[id];
    if (!upstream.ready) {
      upstream.ready = true;
      ready_upstreams_.push_back(id);
    }
  }

  const BaselineChoice choice_;
  SeededRandom random_;
  std::map<UpstreamId, Upstream> upstreams_;
  std::vector<UpstreamId> usable_upstreams_;
  std::deque<UpstreamId> ready_upstreams_;
  absl::flat_hash_map<std::pair<uint64_t, uint32_t>, UpstreamId> running_;
  absl::flat_hash_set<uint64_t> removed_;
  size_t next_index_ = 0;
  size_t queued_ = 0;
};

}  // namespace radishrail::benchmark

#endif  // RADISHRAIL_BENCHMARK_BASELINE_SCHEDULERS_H_
