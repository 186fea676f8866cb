#include "policy_scheduler_impl.h"

#include <algorithm>
#include <cmath>

namespace radishrail {

using scheduling::kMaxExcessStaleEntries;
using scheduling::TaskState;

namespace {

// Delay of a task while the only upstreams with free slots are the one to avoid
// or too slow.
constexpr double kAvoidDelaySeconds = 0.005;

}  // namespace

std::optional<Placement> PolicyScheduler::Impl::Next() {
  if (queued_ == 0) {
    return std::nullopt;
  }
  const double now = Now();
  UpdatePeakCapacity(now);
  ReleaseDelayed(now);
  PromoteUrgent(now);
  lacks_room_ = false;
  if (auto placement = PlaceRackWaiter(now)) {
    return placement;
  }
  while (const auto candidate = Select(now)) {
    if (auto placement = TryPlace(*candidate, now)) {
      return placement;
    }
  }
  if (reserves() && lacks_room_) {
    LearnEfficiency();
  }
  return std::nullopt;
}

// On this upstream, the fastest that has room, the task would end too late,
// while others could use the room.
bool PolicyScheduler::Impl::IsTooSlow(const Job& job,
                                      const Task& task,
                                      UpstreamId upstream,
                                      double now) const {
  return reserves() && job.promise_was_achievable && !job.late &&
         (job.started || HasCompetition(job)) &&
         now + task.expected_s * RunFactor(task, upstream) /
                     pools_.speed(upstream) >
             job.promise_by_s;
}

// A job that has started goes on behind all others, so that it does not take
// the room of jobs that can keep their promise.
void PolicyScheduler::Impl::ForgoPromise(JobIndex index) {
  Job& job = jobs_[index];
  AdjustWorkTotals(&job, -1);
  job.late = true;
  job.urgent = false;
  job.in_ledger = false;
  AdjustWorkTotals(&job, 1);
  PushAll(index);
}

// Short tasks need `rate` slots on average. For Poisson arrivals, the standard
// deviation is its square root; twice that is added as headroom.
bool PolicyScheduler::Impl::LongTaskLimitReached(int slots, double now) const {
  const double total = pools_.total_slots();
  const double rate = ShortWorkRate(now);
  const double kept_free = std::clamp(rate + 2 * std::sqrt(rate),
                                      settings_.min_short_task_share * total,
                                      settings_.max_short_task_share * total);
  return kinds_.long_slots() > 0 &&
         kinds_.long_slots() + slots > total - kept_free;
}

// Multi-slot tasks would starve if each slot were reused as soon as it becomes
// free, so an upstream is reserved for a lane blocked for `reserve_after`.
void PolicyScheduler::Impl::ReserveIfBlocked(Lane* lane, double now) {
  if (lane->blocked_since_s < 0) {
    lane->blocked_since_s = now;
  }
  if (lane->slots > 1 && !pools_.reserved() &&
      now - lane->blocked_since_s >=
          absl::ToDoubleSeconds(settings_.reserve_after)) {
    pools_.Reserve(lane->pool);
    reserved_lane_ = static_cast<LaneId>(lane - lanes_.data());
  }
}

std::optional<Placement> PolicyScheduler::Impl::TryPlace(
    const Candidate& candidate,
    double now) {
  TeamLane& team_lane = teams_[candidate.team].lanes[candidate.lane];
  const JobIndex index = team_lane.heap.front().job;
  Job& job = jobs_[index];
  JobLane* job_lane = FindOrAddJobLane(&job, candidate.lane);
  if (now > job.start_by_s) {
    // The caller of the scheduler ends the job; until then its tasks count as
    // queued.
    for (auto& it : job.lanes) {
      Invalidate(index, &it);
    }
    return std::nullopt;
  }
  if (!job.started && job.promise_was_achievable &&
      CannotMeetPromise(job, now)) {
    MarkHopeless(index);
    return std::nullopt;
  }
  if (MoveIfReclassified(index, job_lane, now)) {
    return std::nullopt;
  }
  const uint32_t number = job_lane->tasks.back();
  const Task& task = job.tasks[number];
  const PoolId pool = lanes_[candidate.lane].pool;
  const RackChoice choice = ChooseRack(job, task, pool, now);
  if (choice == RackChoice::kWait) {
    job_lane->tasks.pop_back();
    AddRackWaiter(index, number, pool, now);
    UpdateHeapsAfterPop(index, candidate.lane);
    return std::nullopt;
  }
  std::optional<UpstreamId> avoid;
  if (task.avoids_upstream && pools_.HasOther(pool, task.upstream)) {
    avoid = task.upstream;
  }
  auto upstream = choice == RackChoice::kNear
                      ? pools_.ChooseOnRack(pool, task.preferred_rack, avoid)
                      : pools_.Choose(pool, job.domains, avoid);
  if (upstream && IsTooSlow(job, task, *upstream, now)) {
    if (now + task.expected_s / pools_.top_speed() <= job.promise_by_s) {
      upstream.reset();  // a faster one may have room soon
    } else if (job.started) {
      ForgoPromise(index);
      return std::nullopt;
    } else {
      MarkHopeless(index);
      return std::nullopt;
    }
  }
  job_lane->tasks.pop_back();
  if (!upstream) {
    Delay(index, number, now + kAvoidDelaySeconds);
    UpdateHeapsAfterPop(index, candidate.lane);
    return std::nullopt;
  }
  Place(index, number, *upstream, now);
  UpdateHeapsAfterPop(index, candidate.lane);
  return MakePlacement(&job, number, pool, now);
}

void PolicyScheduler::Impl::Place(JobIndex index,
                                  uint32_t number,
                                  UpstreamId upstream,
                                  double now) {
  Job& job = jobs_[index];
  Task& task = job.tasks[number];
  Team& team = teams_[job.team];
  AdjustWorkTotals(&job, -1);
  job.queued_work_s = std::max(0.0, job.queued_work_s - task.work_s());
  job.queued_slots -= task.slots;
  AdjustQueuedCount(&job, -1);
  AdjustWorkTotals(&job, 1);
  unstarted_ -= job.started ? 0 : 1;
  job.started = true;
  ++job.running;
  ++running_;
  ++team.running;
  team.running_slots += task.slots;
  job.domains |= pools_.DomainBit(upstream);
  task.state = TaskState::kRunning;
  task.upstream = upstream;
  task.avoids_upstream = false;
  task.rack = pools_.rack(upstream);
  task.run_factor = static_cast<float>(RunFactor(task, upstream));
  task.expected_end_s =
      now + task.expected_s * task.run_factor / pools_.speed(upstream);
  rack_room_.OnPlaced(task.rack, task.slots, task.expected_end_s);
  pools_.Occupy(upstream, task.slots);
  kinds_.OnPlaced(task.kind, task.slots, now);
  if (reserves()) {
    internal::AdmissionLedger& ledger = ledgers_[job.ledger].ledger;
    ledger.Advance(now);
    task.end_bucket = static_cast<int32_t>(
        ledger.AddRunning(task.expected_end_s, task.slots));
  }
  if (pools_.reserved() && task.slots > 1) {
    pools_.EndReservation();
    reserved_lane_.reset();
  }
}

void PolicyScheduler::Impl::ReleaseSlots(Job* job, Task* task, double run_s) {
  Team& team = teams_[job->team];
  if (reserves()) {
    ledgers_[job->ledger].ledger.RemoveRunning(task->end_bucket, task->slots,
                                               last_now_s_);
  }
  --job->running;
  --running_;
  --team.running;
  team.running_slots -= task->slots;
  pools_.Occupy(task->upstream, -task->slots);
  rack_room_.OnEnded(task->rack, task->slots, task->expected_end_s);
  RefreshAllLanes(job->team);
  kinds_.OnEnded(task->kind, task->slots, run_s);
}

std::optional<PolicyScheduler::Impl::JobIndex>
PolicyScheduler::Impl::FindRunning(TaskRef ref) const {
  const auto it = job_ids_.find(ref.job);
  if (it == job_ids_.end()) {
    return std::nullopt;
  }
  const Job& job = jobs_[it->second];
  if (ref.task >= job.tasks.size() ||
      job.tasks[ref.task].state != TaskState::kRunning) {
    return std::nullopt;
  }
  return it->second;
}

void PolicyScheduler::Impl::Requeue(TaskRef ref,
                                    absl::Time not_before,
                                    std::optional<UpstreamId> avoid) {
  const auto running = FindRunning(ref);
  if (!running.has_value()) {
    return;
  }
  const JobIndex index = *running;
  Job& job = jobs_[index];
  const double now = Now();
  Task& task = job.tasks[ref.task];
  ReleaseSlots(&job, &task, -1);
  if (job.removed) {
    task.state = TaskState::kEnded;
    kinds_.Release(task.kind, now);
    FreeIfEnded(index);
    return;
  }
  task.avoids_upstream = avoid.has_value();
  task.upstream = avoid.value_or(0);
  AdjustWorkTotals(&job, -1);
  job.queued_work_s += task.work_s();
  job.queued_slots += task.slots;
  AdjustQueuedCount(&job, 1);
  AdjustWorkTotals(&job, 1);
  Delay(index, ref.task, Seconds(not_before));
}

void PolicyScheduler::Impl::Finish(TaskRef ref,
                                   std::optional<absl::Duration> run_time) {
  const auto running = FindRunning(ref);
  if (!running.has_value()) {
    return;
  }
  const JobIndex index = *running;
  Job& job = jobs_[index];
  Task& task = job.tasks[ref.task];
  const double run_s = run_time
                           ? absl::ToDoubleSeconds(*run_time) *
                                 pools_.speed(task.upstream) / task.run_factor
                           : -1;
  ReleaseSlots(&job, &task, run_s);
  task.state = TaskState::kEnded;
  if (reserves() && run_time && job.queued == 0 && job.running == 0 &&
      !job.removed && Now() <= job.promise_by_s) {
    admission_shares_.Kept(ShareGroup(job), job.wide, last_now_s_);
  }
  kinds_.Release(task.kind, last_now_s_);
  FreeIfEnded(index);
}

void PolicyScheduler::Impl::Remove(uint64_t id) {
  const auto it = job_ids_.find(id);
  if (it == job_ids_.end() || jobs_[it->second].removed) {
    return;
  }
  const JobIndex index = it->second;
  Job& job = jobs_[index];
  const double now = Now();
  for (auto& lane : job.lanes) {
    Invalidate(index, &lane);
  }
  for (auto& task : job.tasks) {
    if (task.state == TaskState::kQueued || task.state == TaskState::kDelayed) {
      task.state = TaskState::kEnded;
      kinds_.Release(task.kind, now);
    }
  }
  AdjustWorkTotals(&job, -1);
  job.queued_work_s = 0;
  job.queued_slots = 0;
  AdjustQueuedCount(&job, -static_cast<int>(job.queued));
  job.removed = true;
  FreeIfEnded(index);
}

void PolicyScheduler::Impl::FreeIfEnded(JobIndex index) {
  Job& job = jobs_[index];
  if (job.queued > 0 || job.running > 0) {
    return;
  }
  unstarted_ -= job.started ? 0 : 1;
  job_ids_.erase(job.id);
  job = Job();
  free_jobs_.push_back(index);
  if (urgent_starts_.size() > 2 * job_ids_.size() + kMaxExcessStaleEntries) {
    std::erase_if(urgent_starts_, [this](const HeapEntry& it) {
      return jobs_[it.job].generation != it.ticket;
    });
    std::make_heap(urgent_starts_.begin(), urgent_starts_.end(),
                   std::greater<>());
  }
  if (latest_starts_.size() > 2 * unstarted_ + kMaxExcessStaleEntries) {
    std::erase_if(latest_starts_, [this](const HeapEntry& it) {
      const Job& other = jobs_[it.job];
      return other.generation != it.ticket || other.started;
    });
    std::make_heap(latest_starts_.begin(), latest_starts_.end(),
                   std::greater<>());
  }
}

}  // namespace radishrail
