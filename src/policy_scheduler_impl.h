#ifndef RADISHRAIL_SRC_POLICY_SCHEDULER_IMPL_H_
#define RADISHRAIL_SRC_POLICY_SCHEDULER_IMPL_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/time/time.h"
#include "admission_ledger.h"
#include "admission_shares.h"
#include "rack_room.h"
#include "radishrail/clock.h"
#include "radishrail/policy_scheduler.h"
#include "radishrail/scheduler.h"
#include "run_time_table.h"
#include "tournament_tree.h"
#include "upstream_pools.h"

namespace radishrail {

namespace scheduling {
using internal::KindId;
using internal::PoolId;
using internal::RackId;
using JobIndex = uint32_t;
using TeamId = uint32_t;
using LaneId = uint32_t;

// A heap is rebuilt without its stale entries when they outnumber the live
// ones by more than this, so that removal costs amortised constant time.
constexpr size_t kMaxExcessStaleEntries = 64;
constexpr uint32_t kNoTicket = 0;
// Keys of urgent jobs are lower than all others by this.
constexpr double kUrgentKeyOffset = 1e9;
// Admission with `kReserved`: a few tasks that run many times longer would
// otherwise raise the expected run time of their kind by a fifth.
constexpr double kReservedOutlierFactor = 2;

// Number of buckets of the histogram of queued work. A job belongs to the
// bucket of its remaining work; bucket bounds are powers of two.
constexpr int kWorkBuckets = 40;

inline int WorkBucket(double work_s) {
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
  int32_t end_bucket = 0;   // running, with `kReserved`
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
  // With `AdmissionPolicy::kReserved`:
  uint32_t ledger = 0;
  internal::AdmissionLedger::Bucket due_bucket = 0;
  double latest_start_s = 0;  // of its last task, to keep the promise
  int queued_slots = 0;
  bool in_ledger = false;  // its queued tasks are
  int priority = 0;        // 0 is served first
  bool wide = false;       // among the widest of its environment
  bool advanced = false;   // goes first, since it has started
  bool urgent = false;     // has no slack left
  bool late = false;       // has started and cannot keep its promise
  uint64_t domains = 0;    // failure domains used; see `DomainBit`
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

// The promises to jobs of a list of upstream classes. Lists that share classes
// are counted apart.
struct ClassLedger {
  std::vector<std::string> classes;
  PoolId pool = 0;  // all upstreams of the classes
  internal::AdmissionLedger ledger;
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

}  // namespace scheduling

// The state of the scheduler. Its functions are in policy_admission.cc,
// policy_order.cc, policy_shares.cc, policy_racks.cc and policy_placement.cc.
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
               absl::ToDoubleSeconds(settings.min_long_run),
               settings.admission == AdmissionPolicy::kReserved
                   ? scheduling::kReservedOutlierFactor
                   : std::numeric_limits<double>::infinity()),
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
  std::vector<RoomForSize> room() { return pools_.Room(Now()); }
  size_t queued_tasks() const { return queued_; }
  size_t running_tasks() const { return running_; }

 private:
  using JobIndex = scheduling::JobIndex;
  using TeamId = scheduling::TeamId;
  using LaneId = scheduling::LaneId;
  using PoolId = internal::PoolId;
  using Task = scheduling::Task;
  using JobLane = scheduling::JobLane;
  using Job = scheduling::Job;
  using HeapEntry = scheduling::HeapEntry;
  using DelayedTask = scheduling::DelayedTask;
  using RackWaiter = scheduling::RackWaiter;
  using RackQueue = scheduling::RackQueue;
  using TeamLane = scheduling::TeamLane;
  using Team = scheduling::Team;
  using Environment = scheduling::Environment;
  using ClassLedger = scheduling::ClassLedger;
  using Lane = scheduling::Lane;

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
  std::optional<Refusal> CheckQueuedWork(const Job& job, double now);
  std::optional<Refusal> CheckReserved(const Job& job, double now);
  bool reserves() const {
    return settings_.admission == AdmissionPolicy::kReserved;
  }
  void RefuseForShortage(double now);
  void LearnEfficiency();
  double LatestStart(const Job& job) const;
  internal::AdmissionShares::Group ShareGroup(const Job& job) const {
    return {teams_[job.team].environment, job.tasks.front().kind};
  }
  uint32_t FindLedger(const std::vector<std::string>& classes);
  double MeanSpeed(const ClassLedger& ledger) const {
    const int slots = pools_.capable_slots(ledger.pool);
    return slots > 0 ? pools_.capacity(ledger.pool) / slots : 1;
  }
  bool shares_admission() const {
    return settings_.shares == SharePolicy::kAdmission;
  }
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
  void AdjustWorkTotals(Job* job, int sign);
  JobLane* FindOrAddJobLane(Job* job, LaneId lane);
  double PriorityKey(const Job& job) const;
  double ReservedKey(const Job& job) const;
  void Push(JobIndex index, JobLane* job_lane);
  void PushAll(JobIndex index);
  void PushUrgent(JobIndex index, double now);
  void PromoteUrgent(double now);
  void Compact(LaneId lane, TeamLane* team_lane);
  bool IsValid(const HeapEntry& entry, LaneId lane) const;
  void DropInvalidTop(LaneId lane, TeamLane* team_lane);
  void Invalidate(JobIndex index, JobLane* job_lane);

  // Placement.
  bool IsTooSlow(const Job& job,
                 const Task& task,
                 UpstreamId upstream,
                 double now) const;
  void ForgoPromise(JobIndex index);
  void ReleaseDelayed(double now);
  bool LongTaskLimitReached(int slots, double now) const;
  void ReserveIfBlocked(Lane* lane, double now);
  bool OverShare(const Team& team) const;
  static bool IsAtQuota(const Team& team) {
    return team.max_running > 0 && team.running >= team.max_running;
  }
  void UpdateShares();
  void RefreshTeam(TeamId team, LaneId lane);
  void RefreshAllLanes(TeamId team);
  std::optional<Candidate> Select(double now);
  std::optional<Candidate> SelectInLane(LaneId lane);
  std::optional<Placement> TryPlace(const Candidate& candidate, double now);
  // The other queued work exceeds the job's own.
  bool HasCompetition(const Job& job) const {
    return queued_work_s_ - job.queued_work_s > job.queued_work_s;
  }
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
  // The job of a running task; nullopt if the task is not running.
  std::optional<JobIndex> FindRunning(TaskRef ref) const;
  void ReleaseSlots(Job* job, Task* task, double run_s);
  void FreeIfEnded(JobIndex index);

  bool IsLong(const Task& task, double now) {
    return kinds_.ClassifyLong(
        task.kind, kinds_.Expected(task.kind, task.expected_s, now));
  }
  // Racks.
  RackChoice ChooseRack(const Job& job,
                        const Task& task,
                        PoolId pool,
                        double now) const;
  // Expected run time of the task there, as a multiple of that on its rack.
  double RunFactor(const Task& task, UpstreamId upstream) const;
  double WaitForRack(const Task& task, PoolId pool, double now) const;
  void AddRackWaiter(JobIndex index, uint32_t task, PoolId pool, double now);
  void DropFirstRackWaiter(RackQueue* queue);
  std::optional<Placement> PlaceRackWaiter(double now);
  void ReviewRackWaiters(double now);
  bool IsWaiting(const RackWaiter& waiter) const;
  Placement MakePlacement(Job* job, uint32_t task, PoolId pool, double now);

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
  // With `AdmissionPolicy::kReserved`:
  std::vector<HeapEntry> urgent_starts_;  // heap by the time of urgency
  std::vector<ClassLedger> ledgers_;
  bool lacks_room_ =
      false;  // a queued task found no upstream with enough slots
  internal::AdmissionShares admission_shares_;
  std::vector<std::pair<JobIndex, uint32_t>> hopeless_;
  uint32_t next_ticket_ = scheduling::kNoTicket;
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
  std::array<double, scheduling::kWorkBuckets> work_by_size_{};
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

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_POLICY_SCHEDULER_IMPL_H_
