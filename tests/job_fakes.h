#ifndef RADISHRAIL_TESTS_JOB_FAKES_H_
#define RADISHRAIL_TESTS_JOB_FAKES_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "radishrail/clock.h"
#include "radishrail/document_controller.h"
#include "radishrail/job.h"
#include "radishrail/scheduler.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

// FIFO scheduler over upstreams with a fixed number of slots each.
class FakeScheduler : public Scheduler {
 public:
  FakeScheduler(const Clock& clock, UpstreamId upstreams, int slots)
      : clock_(clock), free_(upstreams, slots) {}

  std::optional<Refusal> Admit(const JobDemand& demand) override {
    if (refusal.has_value()) {
      return refusal;
    }
    last_demand = demand;
    for (uint32_t i = 0; i < demand.tasks.size(); ++i) {
      queue_.push_back({demand.job, i});
    }
    return std::nullopt;
  }

  std::optional<Placement> Next() override {
    if (forced_placement.has_value()) {
      return std::exchange(forced_placement, std::nullopt);
    }
    while (!delayed_.empty() && delayed_.begin()->first <= clock_.Monotonic()) {
      queue_.push_back(delayed_.begin()->second);
      delayed_.erase(delayed_.begin());
    }
    while (!queue_.empty() && removed_.contains(queue_.front().job)) {
      queue_.pop_front();
    }
    for (size_t n = 0; n < free_.size() && !queue_.empty(); ++n) {
      const auto id = static_cast<UpstreamId>(next_upstream_++ % free_.size());
      if (free_[id] > 0) {
        const Placement placement{queue_.front(), id};
        queue_.pop_front();
        --free_[id];
        placed_[Key(placement.task)] = id;
        return placement;
      }
    }
    return std::nullopt;
  }

  void Requeue(TaskRef task,
               absl::Time not_before,
               std::optional<UpstreamId> /*avoid*/) override {
    Release(task);
    delayed_.emplace(not_before, task);
    last_not_before = not_before;
  }
  void Finish(TaskRef task, std::optional<absl::Duration> run_time) override {
    run_times += run_time.has_value() ? 1 : 0;
    Release(task);
  }
  void Remove(uint64_t job) override { removed_.insert(job); }
  std::vector<uint64_t> TakeHopeless() override {
    return std::exchange(hopeless, {});
  }
  void SetUpstream(const UpstreamCapacity& /*capacity*/) override {}
  void RemoveUpstream(UpstreamId /*upstream*/) override {}
  size_t queued_tasks() const override { return queue_.size(); }
  size_t running_tasks() const override { return placed_.size(); }

  std::optional<Refusal> refusal;
  std::vector<uint64_t> hopeless;
  // Returned once by `Next`, even if the task is not queued.
  std::optional<Placement> forced_placement;
  JobDemand last_demand;
  absl::Time last_not_before;
  int invalid_releases = 0;  // releases of tasks that hold no slot
  int run_times = 0;         // ends of tasks with a run time

 private:
  static std::pair<uint64_t, uint32_t> Key(TaskRef task) {
    return {task.job, task.task};
  }
  void Release(TaskRef task) {
    const auto it = placed_.find(Key(task));
    if (it == placed_.end()) {
      ++invalid_releases;
      return;
    }
    ++free_[it->second];
    placed_.erase(it);
  }

  const Clock& clock_;
  std::vector<int> free_;
  uint64_t next_upstream_ = 0;
  std::deque<TaskRef> queue_;
  std::multimap<absl::Time, TaskRef> delayed_;
  absl::flat_hash_map<std::pair<uint64_t, uint32_t>, UpstreamId> placed_;
  absl::flat_hash_set<uint64_t> removed_;
};

// Records started tasks; the test invokes their callbacks.
class FakeUpstreamClient : public UpstreamClient {
 public:
  struct Call {
    TaskStart start;
    Callback callback;
  };

  bool CanStart(const std::string& /*vm*/,
                const JobLease& /*lease*/) const override {
    return can_start;
  }
  void Start(TaskStart start, Callback callback) override {
    if (on_start) {
      on_start(start);
    }
    calls.push_back({std::move(start), std::move(callback)});
  }

  bool can_start = true;
  std::function<void(const TaskStart&)> on_start;
  std::vector<Call> calls;
};

// Completes each task before `Start` returns.
class ImmediateUpstreamClient : public UpstreamClient {
 public:
  void Start(TaskStart /*start*/, Callback callback) override {
    callback(result);
  }
  TaskResult result{TaskOutcome::kDone, "output", {}, absl::Milliseconds(1)};
};

inline std::vector<VmInfo> TestVms(int count, int slots = 8) {
  std::vector<VmInfo> vms;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    vms.push_back({"w" + number, VmRole::kUpstream, "127.0.0.1:" + number,
                   "fd-a", VmState::kLive, "runner", slots});
  }
  return vms;
}

inline JobSpec TestJob(const std::string& key,
                       int tasks,
                       absl::Duration deadline = absl::Seconds(5)) {
  JobSpec job;
  job.key = key;
  job.environment = "booking";
  job.team = "counter";
  job.deadline = deadline;
  job.body_hash = 7;
  for (int i = 0; i < tasks; ++i) {
    TaskSpec task;
    task.id = "t" + std::to_string(i);
    task.kind = "quote";
    task.payload = "p";
    job.tasks.push_back(std::move(task));
  }
  return job;
}

inline std::shared_ptr<VersionedDocument> TestDocument() {
  auto document = std::make_shared<VersionedDocument>();
  document->document.environment = "booking";
  document->document.teams = {{"counter", 3, 20}};
  document->version = 4;
  return document;
}

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_JOB_FAKES_H_
