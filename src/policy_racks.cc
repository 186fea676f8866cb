#include <cmath>
#include <limits>
#include <utility>

#include "policy_scheduler_impl.h"

namespace radishrail {

using internal::RackId;
using scheduling::RackQueue;
using scheduling::RackWaiter;
using scheduling::TaskState;

namespace {

// Interval at which tasks that wait for a rack decide again; less than the
// shortest tasks take.
constexpr double kRackReviewSeconds = 0.01;

}  // namespace

// Tasks without a preference are placed as if their rack were far.
RackChoice PolicyScheduler::Impl::ChooseRack(const Job& job,
                                             const Task& task,
                                             PoolId pool,
                                             double now) const {
  if (task.preferred_rack == internal::kNoRack ||
      settings_.rack_policy == nullptr) {
    return RackChoice::kFar;
  }
  const double speed = pools_.top_speed();
  RackOptions options;
  options.near_wait_s = WaitForRack(task, pool, now);
  options.near_run_s = task.expected_s / speed;
  options.far_run_s = options.near_run_s * settings_.remote_run_factor;
  options.far_has_room = pools_.HasFree(pool);
  options.time_left_s = job.promise_by_s - now;
  options.waited_s =
      task.rack_wait_since_s < 0 ? 0 : now - task.rack_wait_since_s;
  options.others_wait = queued_ > job.queued + rack_waiters_;
  return settings_.rack_policy->Choose(options);
}

double PolicyScheduler::Impl::RunFactor(const Task& task,
                                        UpstreamId upstream) const {
  const bool is_remote = settings_.rack_policy != nullptr &&
                         task.preferred_rack != internal::kNoRack &&
                         task.preferred_rack != pools_.rack(upstream);
  return is_remote ? settings_.remote_run_factor : 1;
}

// Tasks that decided earlier to wait for the rack go first.
double PolicyScheduler::Impl::WaitForRack(const Task& task,
                                          PoolId pool,
                                          double now) const {
  const RackId rack = task.preferred_rack;
  if (!pools_.IsRackCapable(pool, rack)) {
    return std::numeric_limits<double>::infinity();
  }
  const int slots_ahead =
      rack < rack_queues_.size() ? rack_queues_[rack].slots : 0;
  if (slots_ahead == 0 && pools_.ChooseOnRack(pool, rack, std::nullopt)) {
    return 0;
  }
  return rack_room_.WaitForSlots(rack, slots_ahead + task.slots, now);
}

bool PolicyScheduler::Impl::IsWaiting(const RackWaiter& waiter) const {
  const Job& job = jobs_[waiter.job];
  return job.live && job.generation == waiter.generation && !job.removed &&
         !job.hopeless && job.tasks[waiter.task].state == TaskState::kDelayed;
}

void PolicyScheduler::Impl::AddRackWaiter(JobIndex index,
                                          uint32_t number,
                                          PoolId pool,
                                          double now) {
  Job& job = jobs_[index];
  Task& task = job.tasks[number];
  task.state = TaskState::kDelayed;
  if (task.rack_wait_since_s < 0) {
    task.rack_wait_since_s = now;
  }
  if (task.preferred_rack >= rack_queues_.size()) {
    rack_queues_.resize(task.preferred_rack + 1);
  }
  RackQueue& queue = rack_queues_[task.preferred_rack];
  queue.waiters.push_back({index, job.generation, number, pool, task.slots});
  queue.slots += task.slots;
  ++rack_waiters_;
}

void PolicyScheduler::Impl::DropFirstRackWaiter(RackQueue* queue) {
  queue->slots -= queue->waiters.front().slots;
  queue->waiters.pop_front();
  --rack_waiters_;
}

// Room on a rack goes to the tasks that wait for it before all others. Only the
// first waiter of each rack is tried.
std::optional<Placement> PolicyScheduler::Impl::PlaceRackWaiter(double now) {
  if (rack_waiters_ == 0) {
    return std::nullopt;
  }
  if (next_rack_review_s_ <= now) {
    next_rack_review_s_ = now + kRackReviewSeconds;
    ReviewRackWaiters(now);
  }
  for (RackId rack = 0; rack < rack_queues_.size(); ++rack) {
    RackQueue& queue = rack_queues_[rack];
    while (!queue.waiters.empty() && !IsWaiting(queue.waiters.front())) {
      DropFirstRackWaiter(&queue);
    }
    if (queue.waiters.empty()) {
      continue;
    }
    const RackWaiter waiter = queue.waiters.front();
    Job& job = jobs_[waiter.job];
    const auto upstream = pools_.ChooseOnRack(waiter.pool, rack, std::nullopt);
    if (upstream.has_value() && now <= job.start_by_s &&
        !IsAtQuota(teams_[job.team])) {
      DropFirstRackWaiter(&queue);
      Place(waiter.job, waiter.task, *upstream, now);
      RefreshAllLanes(job.team);
      return MakePlacement(&job, waiter.task, waiter.pool, now);
    }
  }
  return std::nullopt;
}

// Decides again, since estimates change and racks are lost.
void PolicyScheduler::Impl::ReviewRackWaiters(double now) {
  for (auto& queue : rack_queues_) {
    const RackQueue reviewed = std::exchange(queue, {});
    rack_waiters_ -= reviewed.waiters.size();
    for (const auto& it : reviewed.waiters) {
      if (!IsWaiting(it)) {
        continue;
      }
      Task& task = jobs_[it.job].tasks[it.task];
      if (ChooseRack(jobs_[it.job], task, it.pool, now) == RackChoice::kFar) {
        task.state = TaskState::kQueued;
        Enqueue(it.job, it.task, IsLong(task, now));
      } else {
        AddRackWaiter(it.job, it.task, it.pool, now);
      }
    }
  }
}

Placement PolicyScheduler::Impl::MakePlacement(Job* job,
                                               uint32_t number,
                                               PoolId pool,
                                               double now) {
  Task& task = job->tasks[number];
  Placement placement{{job->id, number}, task.upstream};
  if (task.preferred_rack == internal::kNoRack ||
      settings_.rack_policy == nullptr) {
    return placement;
  }
  placement.run_factor = task.run_factor;
  if (task.rack == task.preferred_rack) {
    placement.rack = RackOutcome::kNear;
  } else {
    placement.rack = pools_.IsRackCapable(pool, task.preferred_rack)
                         ? RackOutcome::kFarByChoice
                         : RackOutcome::kFarNoRoom;
  }
  if (task.rack_wait_since_s >= 0) {
    placement.rack_wait = absl::Seconds(now - task.rack_wait_since_s);
    task.rack_wait_since_s = -1;
  }
  return placement;
}

}  // namespace radishrail
