#include "radishrail/policy_scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "run_time_table.h"
#include "tournament_tree.h"
#include "upstream_pools.h"

namespace radishrail {

namespace {

using internal::KindId;
using internal::PoolId;
using internal::RackId;
using JobIndex = uint32_t;
using TeamId = uint32_t;
using LaneId = uint32_t;

// A heap is rebuilt without its stale entries when they outnumber the live
// ones by more than this, so that removal costs amortised constant time.
constexpr size_t kMaxExcessStaleEntries = 64;
// Delay of a task while the only upstream with free slots is the one to avoid.
constexpr double kAvoidDelaySeconds = 0.005;
// Interval at which tasks that wait for a rack decide again; less than the
// shortest tasks take.
constexpr double kRackReviewSeconds = 0.01;
// Time constant with which the peak capacity decays.
constexpr double kPeakDecaySeconds = 30;
constexpr uint32_t kNoTicket = 0;

// Number of buckets of the histogram of queued work. A job belongs to the
// bucket of its remaining work; bucket bounds are powers of two.
constexpr int kWorkBuckets = 40;

int WorkBucket(double work_s) {
  // Bucket 0 holds jobs with less than about 2 ms of work.
  return std::clamp(std::ilogb(std::max(work_s, 1e-4)) + 10, 0,
                    kWorkBuckets - 1);
}

template <typename Entry>
void PushHeap(std::vector<Entry>* heap, const Entry& entry) {
  heap->push_back(entry);
  std::push_heap(heap->begin(), heap->end(), std::greater<>());
}

template <typename Entry>
void PopHeap(std::vector<Entry>* heap) {
  std::pop_heap(heap->begin(), heap->end(), std::greater<>());
  heap->pop_back();
}

enum class TaskState : uint8_t { kQueued, kDelayed, kRunning, kEnded };

struct Task {
  KindId kind = 0;
  UpstreamId upstream = 0;  // running: its upstream; queued: the one to avoid
  float expected_s = 0;     // on the preferred rack, if there is one
  float run_factor = 1;     // of the present run
  uint16_t slots = 1;
  TaskState state = TaskState::kQueued;
  bool avoids_upstream = false;  // `upstream` is to be avoided
  RackId preferred_rack = internal::kNoRack;
  RackId rack = internal::kNoRack;  // of the present run
  double expected_end_s = 0;        // of the present run
  double rack_wait_since_s = -1;    // negative: it has not waited

  double work_s() const { return static_cast<double>(expected_s) * slots; }
};

// The queued tasks of a job in one lane. `ticket` identifies the valid entry of
// the job in the lane's heap; other entries are stale.
struct JobLane {
  LaneId lane = 0;
  uint32_t ticket = kNoTicket;
  double pushed_work_s = 0;
  absl::InlinedVector<uint32_t, 2> tasks;  // the next one to place is last
};

struct Job {
  uint64_t id = 0;
  uint32_t generation = 0;
  TeamId team = 0;
  bool live = false;
  bool started = false;
  bool hopeless = false;
  bool removed = false;
  // The promised response time was achievable when the job was admitted.
  bool promise_was_achievable = false;
  uint32_t queued = 0;
  uint32_t running = 0;
  double promise_by_s = 0;
  double start_by_s = 0;
  double queued_work_s = 0;
  double longest_s = 0;
  uint64_t domains = 0;  // failure domains used; see `DomainBit`
  absl::InlinedVector<Task, 1> tasks;
  absl::InlinedVector<JobLane, 1> lanes;
};

struct HeapEntry {
  double key = 0;
  JobIndex job = 0;
  uint32_t ticket = 0;  // of the `JobLane`; in `latest_starts_`: job generation
  bool operator>(const HeapEntry& other) const { return key > other.key; }
};

// A task that waits for room on its preferred rack.
struct RackWaiter {
  JobIndex job = 0;
  uint32_t generation = 0;
  uint32_t task = 0;
  PoolId pool = 0;
  int slots = 0;
};

struct RackQueue {
  std::deque<RackWaiter> waiters;  // in the order of their decision
  int slots = 0;                   // of all waiters
};

struct DelayedTask {
  double due_s = 0;
  JobIndex job = 0;
  uint32_t generation = 0;
  uint32_t task = 0;
  bool operator>(const DelayedTask& other) const { return due_s > other.due_s; }
};

struct TeamLane {
  std::vector<HeapEntry> heap;
  size_t live = 0;
  std::optional<uint32_t> leaf;  // of the team in both trees of the lane
};

// A team of an environment.
struct Team {
  uint32_t environment = 0;
  int share = 1;
  int max_running = 0;
  uint32_t queued = 0;
  int running = 0;
  int running_slots = 0;
  std::vector<TeamLane> lanes;
};

struct Environment {
  uint32_t queued = 0;
  int active_shares = 0;  // of teams with queued tasks
};

// Tasks that compete for the same upstreams: they have the same upstream
// classes and number of slots, and are either all long or all short.
struct Lane {
  PoolId pool = 0;
  int slots = 1;
  bool is_long = false;
  // Teams by the negated key of their first job. A team has a value in one of
  // the trees, depending on whether it is within or over its share, and in none
  // while it has no queued task here or is at its quota.
  std::vector<TeamId> teams;  // by leaf
  internal::TournamentTree teams_within_share;
  internal::TournamentTree teams_over_share;
  uint64_t shares_version = 0;  // version of the shares used in the trees
  double blocked_since_s = -1;
};

}  // namespace

class PolicyScheduler::Impl {
 public:
  Impl(const Clock& clock, const PolicySchedulerSettings& settings)
      : clock_(clock),
        settings_(settings),
        epoch_(clock.Monotonic()),
        fair_share_backlog_s_(
            absl::ToDoubleSeconds(settings.fair_share_backlog)),
        kinds_(settings.max_kinds,
               settings.long_factor,
               absl::ToDoubleSeconds(settings.min_long_run)),
        pools_(settings.spill, settings.home_preference) {}

  std::optional<Refusal> Admit(const JobDemand& demand);
  std::optional<Placement> Next();
  void Requeue(TaskRef ref,
               absl::Time not_before,
               std::optional<UpstreamId> avoid);
  void Finish(TaskRef ref, std::optional<absl::Duration> run_time);
  void Remove(uint64_t id);
  std::vector<uint64_t> TakeHopeless();
  void SetUpstream(const UpstreamCapacity& capacity) {
    pools_.Set(capacity, rack_room_.FindOrAdd(capacity.rack));
  }
  void RemoveUpstream(UpstreamId upstream) { pools_.Remove(upstream); }
  SchedulerLoad load() const {
    SchedulerLoad load;
    load.slots = pools_.total_slots();
    for (const auto& it : teams_) {
      load.busy_slots += it.running_slots;
    }
    load.backlog = absl::Seconds(queued_work_s_ / Capacity());
    return load;
  }
  size_t queued_tasks() const { return queued_; }
  size_t running_tasks() const { return running_; }

 private:
  struct Candidate {
    LaneId lane = 0;
    TeamId team = 0;
    bool over_share = false;
    double key = 0;
  };

  double Seconds(absl::Time time) const {
    // Cheaper than absl::ToDoubleSeconds.
    return static_cast<double>(absl::ToInt64Nanoseconds(time - epoch_)) * 1e-9;
  }
  double Now() {
    last_now_s_ = Seconds(clock_.Monotonic());
    return last_now_s_;
  }

  // Admission.
  std::optional<Refusal> CheckFeasible(const JobDemand& demand, double now);
  Refusal Refuse(ErrorCode code, std::string detail, double retry_s) const;
  double WorkAhead(double work_s) const;
  double Capacity() const;
  void UpdatePeakCapacity(double now);
  JobIndex NewJob(uint64_t id);
  void AddTasks(const JobDemand& demand, Job* job, double now);

  // Teams and lanes.
  uint32_t FindEnvironment(const std::string& name);
  TeamId FindTeam(uint32_t environment, const JobDemand& demand);
  LaneId FindLane(PoolId pool, int slots, bool is_long);
  void AdjustQueuedCount(Job* job, int change);
  void AdjustWorkTotals(const Job& job, int sign);
  JobLane* FindOrAddJobLane(Job* job, LaneId lane);
  double PriorityKey(const Job& job) const;
  void Push(JobIndex index, JobLane* job_lane);
  void Compact(LaneId lane, TeamLane* team_lane);
  bool IsValid(const HeapEntry& entry, LaneId lane) const;
  void DropInvalidTop(LaneId lane, TeamLane* team_lane);
  void Invalidate(JobIndex index, JobLane* job_lane);

  // Placement.
  void ReleaseDelayed(double now);
  bool LongTaskLimitReached(int slots, double now) const;
  void ReserveIfBlocked(Lane* lane, double now);
  bool OverShare(const Team& team) const;
  void UpdateShares();
  void RefreshTeam(TeamId team, LaneId lane);
  void RefreshAllLanes(TeamId team);
  std::optional<Candidate> Select(double now);
  std::optional<Candidate> SelectInLane(LaneId lane);
  std::optional<Placement> TryPlace(const Candidate& candidate, double now);
  RackChoice ChooseRack(const Job& job,
                        const Task& task,
                        PoolId pool,
                        double now) const;
  double WaitForRack(const Task& task, PoolId pool, double now) const;
  void AddRackWaiter(JobIndex index, uint32_t task, PoolId pool, double now);
  std::optional<Placement> PlaceRackWaiter(double now);
  void ReviewRackWaiters(double now);
  bool IsWaiting(const RackWaiter& waiter) const;
  void DropFirstRackWaiter(RackQueue* queue);
  Placement MakePlacement(Job* job, uint32_t task, PoolId pool, double now);
  bool CannotMeetPromise(const Job& job, double now) const;
  void MarkHopeless(JobIndex index);
  bool MoveIfReclassified(JobIndex index, JobLane* job_lane, double now);
  void Place(JobIndex index, uint32_t task, UpstreamId upstream, double now);
  void UpdateHeapsAfterPop(JobIndex index, LaneId lane);
  // With a million single-task jobs, cache misses on the job's record dominate
  // the cost of a placement, so the record of the team's next job is
  // prefetched.
  void PrefetchJob(JobIndex index) const {
    const char* record = reinterpret_cast<const char*>(&jobs_[index]);
    for (size_t i = 0; i < sizeof(Job); i += 64) {
      __builtin_prefetch(record + i);
    }
  }
  void Enqueue(JobIndex index, uint32_t task, bool is_long);
  void Delay(JobIndex index, uint32_t task, double due);
  void ReleaseSlots(Job* job, Task* task, double run_s);
  void FreeIfEnded(JobIndex index);

  bool IsLong(const Task& task, double now) {
    return kinds_.ClassifyLong(
        task.kind, kinds_.Expected(task.kind, task.expected_s, now));
  }
  void AddShortWork(double work_s, double now);
  double ShortWorkRate(double now) const;

  const Clock& clock_;
  const PolicySchedulerSettings settings_;
  const absl::Time epoch_;
  // Last reading of the clock, for uses that do not need the exact time.
  double last_now_s_ = 0;
  const double fair_share_backlog_s_;
  internal::RunTimeTable kinds_;
  internal::UpstreamPools pools_;
  internal::RackRoom rack_room_;
  std::vector<RackQueue> rack_queues_;  // by rack
  size_t rack_waiters_ = 0;
  double next_rack_review_s_ = 0;

  std::vector<Job> jobs_;
  std::vector<JobIndex> free_jobs_;
  absl::flat_hash_map<uint64_t, JobIndex> job_ids_;
  std::vector<Team> teams_;
  absl::flat_hash_map<std::pair<uint32_t, std::string>, TeamId> team_ids_;
  std::vector<Environment> environments_;
  absl::flat_hash_map<std::string, uint32_t> environment_ids_;
  int active_environments_ = 0;
  std::vector<Lane> lanes_;
  std::vector<DelayedTask> delayed_;
  std::vector<HeapEntry> latest_starts_;  // heap by latest start time
  size_t unstarted_ = 0;
  std::vector<std::pair<JobIndex, uint32_t>> hopeless_;
  uint32_t next_ticket_ = kNoTicket;
  uint32_t next_generation_ = 0;

  // Inputs of the shares. The trees of a lane are recomputed when the version
  // changes.
  uint64_t shares_version_ = 0;
  bool shares_apply_ = false;
  bool shares_changed_ = false;
  int shares_slots_ = 0;

  size_t queued_ = 0;
  size_t running_ = 0;
  double queued_work_s_ = 0;
  std::array<double, kWorkBuckets> work_by_size_{};
  // Short work that arrived, decaying with the time constant
  // `short_work_decay_time`.
  double short_work_s_ = 0;
  double short_work_time_s_ = 0;
  // Highest recent capacity. Slots are lent on demand, so the current capacity
  // understates what is available to a burst.
  double peak_capacity_ = 0;
  double peak_time_s_ = 0;
  std::optional<LaneId> reserved_lane_;
};

// --- Admission ---

std::optional<Refusal> PolicyScheduler::Impl::Admit(const JobDemand& demand) {
  const double now = Now();
  if (job_ids_.contains(demand.job)) {
    return Refuse(ErrorCode::kConflict, "job number is in use", 0);
  }
  if (auto refusal = CheckFeasible(demand, now)) {
    return refusal;
  }
  const uint32_t environment = FindEnvironment(demand.environment);
  const size_t queued = environments_[environment].queued;
  if (demand.max_queued_tasks > 0 &&
      queued + demand.tasks.size() >
          static_cast<size_t>(demand.max_queued_tasks)) {
    return Refuse(ErrorCode::kQuotaExceeded,
                  absl::StrCat(queued, " tasks of the environment are queued, ",
                               demand.max_queued_tasks, " are allowed"),
                  queued_work_s_ / Capacity());
  }
  const JobIndex index = NewJob(demand.job);
  Job& job = jobs_[index];
  job.team = FindTeam(environment, demand);
  job.promise_by_s = Seconds(demand.promise_by) -
                     absl::ToDoubleSeconds(settings_.promise_margin);
  job.start_by_s = Seconds(demand.start_by);
  AddTasks(demand, &job, now);
  const double shortest = job.longest_s / pools_.top_speed();
  job.promise_was_achievable = now + shortest <= job.promise_by_s;
  const double wait = WorkAhead(job.queued_work_s) / Capacity();
  if (job.promise_was_achievable && now + wait + shortest > job.promise_by_s) {
    const double excess = now + wait + shortest - job.promise_by_s;
    for (const auto& it : job.tasks) {
      kinds_.Release(it.kind, now);
    }
    job = Job();
    free_jobs_.push_back(index);
    return Refuse(
        ErrorCode::kOverloaded,
        "queued work ahead of the job exceeds its promised response time",
        excess);
  }
  job_ids_.emplace(demand.job, index);
  AdjustQueuedCount(&job, static_cast<int>(job.tasks.size()));
  AdjustWorkTotals(job, 1);
  for (auto& it : job.lanes) {
    // The longest task is placed first (the vector is consumed from its end),
    // since a job ends with its last task.
    std::stable_sort(it.tasks.begin(), it.tasks.end(),
                     [&job](uint32_t a, uint32_t b) {
                       return job.tasks[a].expected_s < job.tasks[b].expected_s;
                     });
    Push(index, &it);
  }
  ++unstarted_;
  PushHeap(&latest_starts_,
           {job.promise_was_achievable
                ? std::min(job.promise_by_s - shortest, job.start_by_s)
                : job.start_by_s,
            index, job.generation});
  return std::nullopt;
}

std::optional<Refusal> PolicyScheduler::Impl::CheckFeasible(
    const JobDemand& demand,
    double now) {
  if (demand.tasks.empty()) {
    return Refuse(ErrorCode::kInfeasible, "the job has no tasks", 0);
  }
  if (!pools_.HasSeenClass(demand.upstream_classes)) {
    return Refuse(ErrorCode::kInfeasible,
                  absl::StrCat("no upstream of class ",
                               absl::StrJoin(demand.upstream_classes, ", ")),
                  0);
  }
  const int largest =
      std::max(settings_.largest_upstream_slots, pools_.largest_slots());
  for (size_t i = 0; i < demand.tasks.size(); ++i) {
    if (demand.tasks[i].slots < 1 || demand.tasks[i].slots > largest) {
      return Refuse(
          ErrorCode::kInfeasible,
          absl::StrCat("task ", i, " declares ", demand.tasks[i].slots,
                       " slots, an upstream has 1 to ", largest),
          0);
    }
    if (demand.team_max_running_tasks < 0) {
      return Refuse(ErrorCode::kInfeasible, "the team may run no tasks", 0);
    }
  }
  if (Seconds(demand.start_by) <= now) {
    return Refuse(ErrorCode::kInfeasible, "the start-by time has passed", 0);
  }
  return std::nullopt;
}

Refusal PolicyScheduler::Impl::Refuse(ErrorCode code,
                                      std::string detail,
                                      double retry_s) const {
  Refusal refusal;
  refusal.error = {code, Step::kAdmission, "", std::move(detail)};
  // Retrying is pointless for an infeasible job or a conflict.
  if (code != ErrorCode::kInfeasible && code != ErrorCode::kConflict) {
    refusal.retry_after = std::clamp(absl::Seconds(retry_s),
                                     settings_.min_retry, settings_.max_retry);
  }
  return refusal;
}

// Queued work of the jobs that are placed before a job with this much remaining
// work. Jobs in the same bucket count half.
double PolicyScheduler::Impl::WorkAhead(double work_s) const {
  const int bucket = WorkBucket(work_s);
  double sum = work_by_size_[bucket] / 2;
  for (int i = 0; i < bucket; ++i) {
    sum += work_by_size_[i];
  }
  return std::max(sum, 0.0);
}

double PolicyScheduler::Impl::Capacity() const {
  return std::max({pools_.capacity(), peak_capacity_, 1.0});
}

void PolicyScheduler::Impl::UpdatePeakCapacity(double now) {
  peak_capacity_ *= std::exp((peak_time_s_ - now) / kPeakDecaySeconds);
  peak_time_s_ = now;
  peak_capacity_ = std::max(peak_capacity_, pools_.capacity());
}

JobIndex PolicyScheduler::Impl::NewJob(uint64_t id) {
  JobIndex index = 0;
  if (free_jobs_.empty()) {
    index = static_cast<JobIndex>(jobs_.size());
    jobs_.emplace_back();
  } else {
    index = free_jobs_.back();
    free_jobs_.pop_back();
  }
  jobs_[index].id = id;
  jobs_[index].live = true;
  jobs_[index].generation = ++next_generation_;
  return index;
}

void PolicyScheduler::Impl::AddTasks(const JobDemand& demand,
                                     Job* job,
                                     double now) {
  const uint32_t environment = teams_[job->team].environment;
  job->tasks.resize(demand.tasks.size());
  PoolId pool = 0;
  int pool_slots = 0;
  double short_work_s = 0;
  for (uint32_t i = 0; i < demand.tasks.size(); ++i) {
    const TaskDemand& spec = demand.tasks[i];
    Task& task = job->tasks[i];
    task.kind = kinds_.Acquire(environment, spec.kind, now);
    const double expected = kinds_.Expected(
        task.kind, absl::ToDoubleSeconds(spec.declared_run), now);
    task.expected_s = static_cast<float>(expected);
    task.slots = static_cast<uint16_t>(spec.slots);
    task.preferred_rack = rack_room_.Find(spec.preferred_rack);
    if (pool_slots != spec.slots) {
      pool = pools_.FindPool(demand.upstream_classes, spec.slots);
      pool_slots = spec.slots;
    }
    const bool is_long = kinds_.ClassifyLong(task.kind, expected);
    job->queued_work_s += task.work_s();
    job->longest_s = std::max(job->longest_s, expected);
    FindOrAddJobLane(job, FindLane(pool, spec.slots, is_long))
        ->tasks.push_back(i);
    short_work_s += is_long ? 0 : task.work_s();
  }
  AddShortWork(short_work_s, now);
}

// --- Teams and lanes ---

uint32_t PolicyScheduler::Impl::FindEnvironment(const std::string& name) {
  const auto [it, added] = environment_ids_.try_emplace(
      name, static_cast<uint32_t>(environments_.size()));
  if (added) {
    environments_.emplace_back();
  }
  return it->second;
}

TeamId PolicyScheduler::Impl::FindTeam(uint32_t environment,
                                       const JobDemand& demand) {
  const auto [it, added] = team_ids_.try_emplace(
      std::pair(environment, demand.team), static_cast<TeamId>(teams_.size()));
  if (added) {
    teams_.emplace_back();
    teams_.back().environment = environment;
  }
  Team& team = teams_[it->second];
  const int share = std::max(demand.team_share, 1);
  if (team.queued > 0) {
    environments_[environment].active_shares += share - team.share;
    shares_changed_ = shares_changed_ || share != team.share;
  }
  team.share = share;
  if (team.max_running != demand.team_max_running_tasks) {
    team.max_running = demand.team_max_running_tasks;
    RefreshAllLanes(it->second);
  }
  return it->second;
}

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

void PolicyScheduler::Impl::AdjustQueuedCount(Job* job, int change) {
  Team& team = teams_[job->team];
  Environment& environment = environments_[team.environment];
  const bool team_was_active = team.queued > 0;
  const bool environment_was_active = environment.queued > 0;
  job->queued += change;
  team.queued += change;
  environment.queued += change;
  queued_ += change;
  if (team_was_active != (team.queued > 0)) {
    shares_changed_ = true;
    environment.active_shares += team.queued > 0 ? team.share : -team.share;
  }
  if (environment_was_active != (environment.queued > 0)) {
    active_environments_ += environment.queued > 0 ? 1 : -1;
  }
}

void PolicyScheduler::Impl::AdjustWorkTotals(const Job& job, int sign) {
  work_by_size_[WorkBucket(job.queued_work_s)] += sign * job.queued_work_s;
  queued_work_s_ += sign * job.queued_work_s;
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
  return job.queued_work_s + settings_.aging * job.promise_by_s;
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

// --- Placement ---

std::optional<Placement> PolicyScheduler::Impl::Next() {
  if (queued_ == 0) {
    return std::nullopt;
  }
  const double now = Now();
  UpdatePeakCapacity(now);
  ReleaseDelayed(now);
  if (auto placement = PlaceRackWaiter(now)) {
    return placement;
  }
  while (const auto candidate = Select(now)) {
    if (auto placement = TryPlace(*candidate, now)) {
      return placement;
    }
  }
  return std::nullopt;
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
      ReserveIfBlocked(&lane, now);
    } else if ((!lane.is_long || !LongTaskLimitReached(lane.slots, now)) &&
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

// Recomputes the value of a team in the trees of a lane. Required after a
// change of its first job, its running tasks, its quota or its share.
void PolicyScheduler::Impl::RefreshTeam(TeamId id, LaneId lane_id) {
  Team& team = teams_[id];
  TeamLane& team_lane = team.lanes[lane_id];
  Lane& lane = lanes_[lane_id];
  if (!team_lane.leaf) {
    team_lane.leaf = lane.teams_within_share.Add();
    lane.teams_over_share.Add();
    lane.teams.push_back(id);
  }
  const bool at_quota =
      team.max_running > 0 && team.running >= team.max_running;
  const double value = at_quota || team_lane.heap.empty()
                           ? internal::TournamentTree::kNone
                           : -team_lane.heap.front().key;
  const bool is_over_share = OverShare(team);
  lane.teams_within_share.Set(
      *team_lane.leaf, is_over_share ? internal::TournamentTree::kNone : value);
  lane.teams_over_share.Set(
      *team_lane.leaf, is_over_share ? value : internal::TournamentTree::kNone);
}

void PolicyScheduler::Impl::RefreshAllLanes(TeamId id) {
  for (LaneId i = 0; i < teams_[id].lanes.size(); ++i) {
    if (teams_[id].lanes[i].leaf) {
      RefreshTeam(id, i);
    }
  }
}

// Shares are enforced only while there is a backlog; otherwise they would
// merely disturb the order of jobs. The threshold has hysteresis (off at half
// the backlog that turns them on), so that they do not toggle with every task.
void PolicyScheduler::Impl::UpdateShares() {
  const double limit = fair_share_backlog_s_ * Capacity();
  const bool apply = queued_work_s_ > (shares_apply_ ? limit / 2 : limit);
  if (apply != shares_apply_ ||
      (apply && (shares_changed_ || pools_.total_slots() != shares_slots_))) {
    ++shares_version_;
  }
  shares_apply_ = apply;
  shares_changed_ = false;
  shares_slots_ = pools_.total_slots();
}

// Teams over their share are served after the others.
bool PolicyScheduler::Impl::OverShare(const Team& team) const {
  const Environment& environment = environments_[team.environment];
  if (!shares_apply_ || team.queued == 0 ||
      (active_environments_ <= 1 && environment.active_shares <= team.share)) {
    return false;
  }
  const double entitled = static_cast<double>(shares_slots_) * team.share /
                          (active_environments_ * environment.active_shares);
  return team.running_slots >= entitled;
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
  const auto upstream =
      choice == RackChoice::kNear
          ? pools_.ChooseOnRack(pool, task.preferred_rack, avoid)
          : pools_.Choose(pool, job.domains, avoid);
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

// --- Racks ---

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

// Room on a rack goes to the tasks that wait for it before all others.
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
    if (upstream.has_value() && now <= job.start_by_s) {
      DropFirstRackWaiter(&queue);
      Place(waiter.job, waiter.task, *upstream, now);
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

// The last task of a job starts only after the others have been placed. A job
// of many tasks that starts too late would waste slots that other jobs can use.
// The time to place the others counts only if the other queued work, which
// could use the slots, exceeds the job's own; otherwise the job may try.
bool PolicyScheduler::Impl::CannotMeetPromise(const Job& job,
                                              double now) const {
  double need_s = job.longest_s / pools_.top_speed();
  if (queued_work_s_ - job.queued_work_s > job.queued_work_s) {
    need_s += settings_.start_factor * job.queued_work_s /
              std::max(pools_.capacity(), 1.0);
  }
  return now + need_s > job.promise_by_s;
}

void PolicyScheduler::Impl::MarkHopeless(JobIndex index) {
  Job& job = jobs_[index];
  job.hopeless = true;
  for (auto& it : job.lanes) {
    Invalidate(index, &it);
  }
  hopeless_.emplace_back(index, job.generation);
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

void PolicyScheduler::Impl::Place(JobIndex index,
                                  uint32_t number,
                                  UpstreamId upstream,
                                  double now) {
  Job& job = jobs_[index];
  Task& task = job.tasks[number];
  Team& team = teams_[job.team];
  AdjustWorkTotals(job, -1);
  job.queued_work_s = std::max(0.0, job.queued_work_s - task.work_s());
  AdjustQueuedCount(&job, -1);
  AdjustWorkTotals(job, 1);
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
  const bool is_remote = settings_.rack_policy != nullptr &&
                         task.preferred_rack != internal::kNoRack &&
                         task.rack != task.preferred_rack;
  task.run_factor =
      is_remote ? static_cast<float>(settings_.remote_run_factor) : 1;
  task.expected_end_s =
      now + task.expected_s * task.run_factor / pools_.speed(upstream);
  rack_room_.OnPlaced(task.rack, task.slots, task.expected_end_s);
  pools_.Occupy(upstream, task.slots);
  kinds_.OnPlaced(task.kind, task.slots, now);
  if (pools_.reserved() && task.slots > 1) {
    pools_.EndReservation();
    reserved_lane_.reset();
  }
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

void PolicyScheduler::Impl::ReleaseSlots(Job* job, Task* task, double run_s) {
  Team& team = teams_[job->team];
  --job->running;
  --running_;
  --team.running;
  team.running_slots -= task->slots;
  pools_.Occupy(task->upstream, -task->slots);
  rack_room_.OnEnded(task->rack, task->slots, task->expected_end_s);
  RefreshAllLanes(job->team);
  kinds_.OnEnded(task->kind, task->slots, run_s);
}

void PolicyScheduler::Impl::Requeue(TaskRef ref,
                                    absl::Time not_before,
                                    std::optional<UpstreamId> avoid) {
  const auto it = job_ids_.find(ref.job);
  if (it == job_ids_.end()) {
    return;
  }
  const JobIndex index = it->second;
  Job& job = jobs_[index];
  if (ref.task >= job.tasks.size() ||
      job.tasks[ref.task].state != TaskState::kRunning) {
    return;
  }
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
  AdjustWorkTotals(job, -1);
  job.queued_work_s += task.work_s();
  AdjustQueuedCount(&job, 1);
  AdjustWorkTotals(job, 1);
  Delay(index, ref.task, Seconds(not_before));
}

void PolicyScheduler::Impl::Finish(TaskRef ref,
                                   std::optional<absl::Duration> run_time) {
  const auto it = job_ids_.find(ref.job);
  if (it == job_ids_.end()) {
    return;
  }
  const JobIndex index = it->second;
  Job& job = jobs_[index];
  if (ref.task >= job.tasks.size() ||
      job.tasks[ref.task].state != TaskState::kRunning) {
    return;
  }
  Task& task = job.tasks[ref.task];
  const double run_s = run_time
                           ? absl::ToDoubleSeconds(*run_time) *
                                 pools_.speed(task.upstream) / task.run_factor
                           : -1;
  ReleaseSlots(&job, &task, run_s);
  task.state = TaskState::kEnded;
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
  AdjustWorkTotals(job, -1);
  job.queued_work_s = 0;
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
  if (latest_starts_.size() > 2 * unstarted_ + kMaxExcessStaleEntries) {
    std::erase_if(latest_starts_, [this](const HeapEntry& it) {
      const Job& other = jobs_[it.job];
      return other.generation != it.ticket || other.started;
    });
    std::make_heap(latest_starts_.begin(), latest_starts_.end(),
                   std::greater<>());
  }
}

std::vector<uint64_t> PolicyScheduler::Impl::TakeHopeless() {
  const double now = Now();
  while (!latest_starts_.empty() && latest_starts_.front().key < now) {
    const HeapEntry entry = latest_starts_.front();
    PopHeap(&latest_starts_);
    const Job& job = jobs_[entry.job];
    if (job.generation == entry.ticket && !job.started && !job.hopeless) {
      MarkHopeless(entry.job);
    }
  }
  std::vector<uint64_t> ids;
  for (const auto& [index, generation] : hopeless_) {
    if (jobs_[index].generation == generation) {
      ids.push_back(jobs_[index].id);
    }
  }
  hopeless_.clear();
  return ids;
}

void PolicyScheduler::Impl::AddShortWork(double work_s, double now) {
  const double decay_s = absl::ToDoubleSeconds(settings_.short_work_decay_time);
  short_work_s_ *= std::exp((short_work_time_s_ - now) / decay_s);
  short_work_time_s_ = now;
  short_work_s_ += work_s;
}

double PolicyScheduler::Impl::ShortWorkRate(double now) const {
  const double decay_s = absl::ToDoubleSeconds(settings_.short_work_decay_time);
  return short_work_s_ * std::exp((short_work_time_s_ - now) / decay_s) /
         decay_s;
}

PolicyScheduler::PolicyScheduler(const Clock& clock,
                                 const PolicySchedulerSettings& settings)
    : impl_(std::make_unique<Impl>(clock, settings)) {}
PolicyScheduler::~PolicyScheduler() = default;

std::optional<Refusal> PolicyScheduler::Admit(const JobDemand& demand) {
  return impl_->Admit(demand);
}
std::optional<Placement> PolicyScheduler::Next() {
  return impl_->Next();
}
void PolicyScheduler::Requeue(TaskRef task,
                              absl::Time not_before,
                              std::optional<UpstreamId> avoid) {
  impl_->Requeue(task, not_before, avoid);
}
void PolicyScheduler::Finish(TaskRef task,
                             std::optional<absl::Duration> run_time) {
  impl_->Finish(task, run_time);
}
void PolicyScheduler::Remove(uint64_t job) {
  impl_->Remove(job);
}
std::vector<uint64_t> PolicyScheduler::TakeHopeless() {
  return impl_->TakeHopeless();
}
void PolicyScheduler::SetUpstream(const UpstreamCapacity& capacity) {
  impl_->SetUpstream(capacity);
}
void PolicyScheduler::RemoveUpstream(UpstreamId upstream) {
  impl_->RemoveUpstream(upstream);
}
SchedulerLoad PolicyScheduler::load() const {
  return impl_->load();
}
size_t PolicyScheduler::queued_tasks() const {
  return impl_->queued_tasks();
}
size_t PolicyScheduler::running_tasks() const {
  return impl_->running_tasks();
}

}  // namespace radishrail
