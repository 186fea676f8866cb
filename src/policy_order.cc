#include "policy_scheduler_impl.h"

#include <algorithm>
#include <utility>

namespace radishrail {

using scheduling::JobLane;
using scheduling::kMaxExcessStaleEntries;
using scheduling::kNoTicket;
using scheduling::kUrgentKeyOffset;
using scheduling::LaneId;
using scheduling::TaskState;
using scheduling::WorkBucket;

namespace {

// Factor of `aging` with `AdmissionPolicy::kReserved`. Higher values favour
// early latest starts over short remaining work.
constexpr double kReservedAgingFactor = 3;
// A job that has started is ordered as if it were due this much earlier, since
// it holds slots and its result is lost if its last task is late.
constexpr double kStartedAdvanceSeconds = 1.25;
// A job of a less urgent priority is ordered as if it were due this much later
// for each step. It still goes first when its own slack is used up.
constexpr double kPriorityDelaySeconds = 1;

}  // namespace

LaneId PolicyScheduler::Impl::FindLane(PoolId pool, int slots, bool is_long) {
  for (LaneId i = 0; i < lanes_.size(); ++i) {
    if (lanes_[i].pool == pool && lanes_[i].is_long == is_long) {
      return i;
    }
  }
  Lane lane;
  lane.pool = pool;
  lane.slots = slots;
  lane.is_long = is_long;
  lanes_.push_back(lane);
  return static_cast<LaneId>(lanes_.size() - 1);
}

void PolicyScheduler::Impl::AdjustWorkTotals(Job* job, int sign) {
  const double work = job->queued_work_s;
  work_by_size_[WorkBucket(work)] += sign * work;
  queued_work_s_ += sign * work;
  if (!reserves() || !job->in_ledger) {
    return;
  }
  internal::AdmissionLedger& ledger = ledgers_[job->ledger].ledger;
  if (sign > 0) {
    job->due_bucket =
        ledger.AddQueued(job->latest_start_s, job->queued_slots, work);
  } else {
    ledger.RemoveQueued(job->due_bucket, job->queued_slots, work);
  }
}

JobLane* PolicyScheduler::Impl::FindOrAddJobLane(Job* job, LaneId lane) {
  for (auto& it : job->lanes) {
    if (it.lane == lane) {
      return &it;
    }
  }
  job->lanes.emplace_back();
  job->lanes.back().lane = lane;
  return &job->lanes.back();
}

// All waiting jobs age at the same rate, so the order of two jobs does not
// change while they wait and heaps need no update as time passes.
// `promise_by_s` covers both the time of arrival and the slack until the
// deadline.
double PolicyScheduler::Impl::PriorityKey(const Job& job) const {
  if (reserves()) {
    return ReservedKey(job);
  }
  return job.queued_work_s + settings_.aging * job.promise_by_s;
}

// Least remaining work first while jobs have slack. A job that has started goes
// before those that have not: it holds room for a result that its last task
// decides.
double PolicyScheduler::Impl::ReservedKey(const Job& job) const {
  if (job.urgent) {
    return job.latest_start_s - kUrgentKeyOffset;
  }
  if (job.late) {
    return job.latest_start_s + kUrgentKeyOffset;
  }
  const double advance_s = job.advanced ? kStartedAdvanceSeconds : 0;
  const double delay_s = kPriorityDelaySeconds * job.priority;
  return job.queued_work_s + kReservedAgingFactor * settings_.aging *
                                 (job.latest_start_s + delay_s - advance_s);
}

void PolicyScheduler::Impl::Push(JobIndex index, JobLane* job_lane) {
  Job& job = jobs_[index];
  Team& team = teams_[job.team];
  if (team.lanes.size() < lanes_.size()) {
    team.lanes.resize(lanes_.size());
  }
  TeamLane& team_lane = team.lanes[job_lane->lane];
  team_lane.live += job_lane->ticket == kNoTicket ? 1 : 0;
  next_ticket_ = std::max<uint32_t>(next_ticket_ + 1, kNoTicket + 1);
  job_lane->ticket = next_ticket_;
  job_lane->pushed_work_s = job.queued_work_s;
  PushHeap(&team_lane.heap, {PriorityKey(job), index, job_lane->ticket});
  Compact(job_lane->lane, &team_lane);
  RefreshTeam(job.team, job_lane->lane);
}

void PolicyScheduler::Impl::PushAll(JobIndex index) {
  for (auto& it : jobs_[index].lanes) {
    if (it.ticket != kNoTicket) {
      Push(index, &it);
    }
  }
}

// Enters the time at which the slack of a job is used up on the fastest
// upstream, or at which its latest start comes within the ledger's horizon.
void PolicyScheduler::Impl::PushUrgent(JobIndex index, double now) {
  const Job& job = jobs_[index];
  const double urgent_s = job.promise_by_s - job.longest_s / pools_.top_speed();
  const double near_s =
      job.latest_start_s - internal::AdmissionLedger::kHorizonSeconds;
  PushHeap(&urgent_starts_,
           {now < near_s ? std::min(near_s, urgent_s) : urgent_s, index,
            job.generation});
}

// An admitted job whose slack is used up goes before all that have slack.
void PolicyScheduler::Impl::PromoteUrgent(double now) {
  while (!urgent_starts_.empty() && urgent_starts_.front().key <= now) {
    const HeapEntry entry = urgent_starts_.front();
    PopHeap(&urgent_starts_);
    Job& job = jobs_[entry.job];
    if (job.generation != entry.ticket || job.removed || job.hopeless ||
        job.late) {
      continue;
    }
    AdjustWorkTotals(&job, -1);
    AdjustWorkTotals(&job, 1);
    if (now < job.promise_by_s - job.longest_s / pools_.top_speed()) {
      PushUrgent(entry.job, now);
      continue;
    }
    job.urgent = true;
    PushAll(entry.job);
  }
}

bool PolicyScheduler::Impl::IsValid(const HeapEntry& entry, LaneId lane) const {
  const Job& job = jobs_[entry.job];
  for (const auto& it : job.lanes) {
    if (it.lane == lane) {
      return it.ticket == entry.ticket;
    }
  }
  return false;
}

void PolicyScheduler::Impl::Compact(LaneId lane, TeamLane* team_lane) {
  auto& heap = team_lane->heap;
  if (heap.size() <= 2 * team_lane->live + kMaxExcessStaleEntries) {
    return;
  }
  std::erase_if(
      heap, [this, lane](const HeapEntry& it) { return !IsValid(it, lane); });
  std::make_heap(heap.begin(), heap.end(), std::greater<>());
}

void PolicyScheduler::Impl::DropInvalidTop(LaneId lane, TeamLane* team_lane) {
  while (!team_lane->heap.empty() && !IsValid(team_lane->heap.front(), lane)) {
    PopHeap(&team_lane->heap);
  }
}

// Makes the heap entry of a job's lane stale; it is removed later.
void PolicyScheduler::Impl::Invalidate(JobIndex index, JobLane* job_lane) {
  if (job_lane->ticket == kNoTicket) {
    return;
  }
  job_lane->ticket = kNoTicket;
  TeamLane& team_lane = teams_[jobs_[index].team].lanes[job_lane->lane];
  --team_lane.live;
  Compact(job_lane->lane, &team_lane);
}

std::optional<PolicyScheduler::Impl::Candidate> PolicyScheduler::Impl::Select(
    double now) {
  UpdateShares();
  std::optional<Candidate> best;
  for (LaneId i = 0; i < lanes_.size(); ++i) {
    Lane& lane = lanes_[i];
    const auto candidate = SelectInLane(i);
    if (!candidate || pools_.HasFree(lane.pool)) {
      lane.blocked_since_s = -1;
    }
    if (!candidate) {
      if (reserved_lane_ == i) {
        pools_.EndReservation();
        reserved_lane_.reset();
      }
    } else if (!pools_.HasFree(lane.pool)) {
      lacks_room_ = true;
      ReserveIfBlocked(&lane, now);
    } else if ((!lane.is_long || candidate->key < -kUrgentKeyOffset / 2 ||
                !LongTaskLimitReached(lane.slots, now)) &&
               (!best || std::pair(candidate->over_share, candidate->key) <
                             std::pair(best->over_share, best->key))) {
      best = candidate;
    }
  }
  return best;
}

std::optional<PolicyScheduler::Impl::Candidate>
PolicyScheduler::Impl::SelectInLane(LaneId id) {
  Lane& lane = lanes_[id];
  if (lane.shares_version != shares_version_) {
    lane.shares_version = shares_version_;
    for (const TeamId it : lane.teams) {
      RefreshTeam(it, id);
    }
  }
  while (true) {
    auto leaf = lane.teams_within_share.Best();
    const bool over_share = !leaf.has_value();
    if (over_share) {
      leaf = lane.teams_over_share.Best();
    }
    if (!leaf) {
      return std::nullopt;
    }
    const TeamId team = lane.teams[*leaf];
    TeamLane& team_lane = teams_[team].lanes[id];
    if (IsValid(team_lane.heap.front(), id)) {
      return Candidate{id, team, over_share, team_lane.heap.front().key};
    }
    DropInvalidTop(id, &team_lane);
    RefreshTeam(team, id);
  }
}

// The class of a kind, long or short, may change after its tasks were queued.
// Returns true if the job's next task was moved.
bool PolicyScheduler::Impl::MoveIfReclassified(JobIndex index,
                                               JobLane* job_lane,
                                               double now) {
  Job& job = jobs_[index];
  const uint32_t number = job_lane->tasks.back();
  const Task& task = job.tasks[number];
  const Lane& lane = lanes_[job_lane->lane];
  const bool is_long = IsLong(task, now);
  if (is_long == lane.is_long) {
    return false;
  }
  const LaneId from = job_lane->lane;
  job_lane->tasks.pop_back();
  const LaneId to = FindLane(lane.pool, lane.slots, is_long);
  JobLane* target = FindOrAddJobLane(&job, to);
  target->tasks.push_back(number);
  if (target->ticket == kNoTicket) {
    Push(index, target);
  }
  UpdateHeapsAfterPop(index, from);
  return true;
}

// Restores the heaps after the next task in `lane` was removed from the job,
// whose entry is the top of its heap.
void PolicyScheduler::Impl::UpdateHeapsAfterPop(JobIndex index, LaneId lane) {
  Job& job = jobs_[index];
  for (auto& it : job.lanes) {
    TeamLane& team_lane = teams_[job.team].lanes[it.lane];
    if (it.lane == lane) {
      if (it.tasks.empty()) {
        PopHeap(&team_lane.heap);
        --team_lane.live;
        it.ticket = kNoTicket;
        if (!team_lane.heap.empty()) {
          PrefetchJob(team_lane.heap.front().job);
        }
      } else {
        // The key only decreases here, so the entry remains the top.
        HeapEntry& top = team_lane.heap.front();
        top.key -= it.pushed_work_s - job.queued_work_s;
        it.pushed_work_s = job.queued_work_s;
      }
    } else if (it.ticket != kNoTicket &&
               job.queued_work_s < it.pushed_work_s / 2) {
      Push(index, &it);
    }
  }
  if (reserves() && job.started && !job.advanced) {
    job.advanced = true;
    PushAll(index);
  }
  RefreshAllLanes(job.team);
}

void PolicyScheduler::Impl::Enqueue(JobIndex index,
                                    uint32_t number,
                                    bool is_long) {
  Job& job = jobs_[index];
  const Task& task = job.tasks[number];
  // The task was queued before, so the job has a lane with this number of
  // slots.
  LaneId lane = 0;
  for (const auto& it : job.lanes) {
    if (lanes_[it.lane].slots == task.slots) {
      lane = FindLane(lanes_[it.lane].pool, task.slots, is_long);
    }
  }
  JobLane* job_lane = FindOrAddJobLane(&job, lane);
  job_lane->tasks.push_back(number);
  Push(index, job_lane);
}

void PolicyScheduler::Impl::Delay(JobIndex index, uint32_t number, double due) {
  jobs_[index].tasks[number].state = TaskState::kDelayed;
  PushHeap(&delayed_, {due, index, jobs_[index].generation, number});
}

void PolicyScheduler::Impl::ReleaseDelayed(double now) {
  while (!delayed_.empty() && delayed_.front().due_s <= now) {
    const DelayedTask entry = delayed_.front();
    PopHeap(&delayed_);
    Job& job = jobs_[entry.job];
    if (!job.live || job.generation != entry.generation || job.removed ||
        job.hopeless) {
      continue;
    }
    Task& task = job.tasks[entry.task];
    task.state = TaskState::kQueued;
    Enqueue(entry.job, entry.task, IsLong(task, now));
  }
}

}  // namespace radishrail
