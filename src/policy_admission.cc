#include "policy_scheduler_impl.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace radishrail {

using scheduling::JobIndex;
using scheduling::WorkBucket;

namespace {

// Time constant with which the peak capacity decays.
constexpr double kPeakDecaySeconds = 30;
// Part of the mean speed that admission expects of a task's upstream.
constexpr double kSpeedMargin = 0.8;
// Part of the slots that may be missing before admitted jobs must yield; less
// is within the error of estimates.
constexpr double kToleratedShortage = 0.03;

}  // namespace

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
  if (reserves()) {
    // Runs are stopped at the caller's limit, whatever was promised.
    job.promise_by_s = std::min(job.promise_by_s, job.start_by_s);
  }
  AddTasks(demand, &job, now);
  const double shortest = job.longest_s / pools_.top_speed();
  job.promise_was_achievable = now + shortest <= job.promise_by_s;
  if (reserves()) {
    job.ledger = FindLedger(demand.upstream_classes);
    job.latest_start_s = LatestStart(job);
    job.in_ledger = job.promise_was_achievable;
    job.wide = admission_shares_.Offer(ShareGroup(job), job.queued_work_s, now);
    job.priority = demand.priority;
  }
  if (auto refusal =
          reserves() ? CheckReserved(job, now) : CheckQueuedWork(job, now)) {
    for (const auto& it : job.tasks) {
      kinds_.Release(it.kind, now);
    }
    job = Job();
    free_jobs_.push_back(index);
    return refusal;
  }
  job_ids_.emplace(demand.job, index);
  AdjustQueuedCount(&job, static_cast<int>(job.tasks.size()));
  AdjustWorkTotals(&job, 1);
  for (auto& it : job.lanes) {
    // The longest task is placed first (the vector is consumed from its end),
    // since a job ends with its last task.
    std::stable_sort(it.tasks.begin(), it.tasks.end(),
                     [&job](uint32_t a, uint32_t b) {
                       return job.tasks[a].expected_s < job.tasks[b].expected_s;
                     });
    Push(index, &it);
  }
  if (reserves() && job.promise_was_achievable) {
    PushUrgent(index, now);
  }
  ++unstarted_;
  PushHeap(&latest_starts_,
           {job.promise_was_achievable
                ? std::min(job.promise_by_s - shortest, job.start_by_s)
                : job.start_by_s,
            index, job.generation});
  return std::nullopt;
}

uint32_t PolicyScheduler::Impl::FindLedger(
    const std::vector<std::string>& classes) {
  for (uint32_t i = 0; i < ledgers_.size(); ++i) {
    if (ledgers_[i].classes == classes) {
      return i;
    }
  }
  ledgers_.emplace_back();
  ledgers_.back().classes = classes;
  ledgers_.back().pool = pools_.FindPool(classes, 1);
  return static_cast<uint32_t>(ledgers_.size() - 1);
}

// Tasks that found no room although slots were free show how much of the slots
// their sizes can use.
void PolicyScheduler::Impl::LearnEfficiency() {
  for (auto& it : ledgers_) {
    if (it.ledger.queued_slots() > 0) {
      it.ledger.LearnEfficiency(it.ledger.running_slots() /
                                std::max(pools_.capable_slots(it.pool), 1));
    }
  }
}

double PolicyScheduler::Impl::LatestStart(const Job& job) const {
  return job.promise_by_s -
         job.longest_s / (kSpeedMargin * MeanSpeed(ledgers_[job.ledger]));
}

std::optional<Refusal> PolicyScheduler::Impl::CheckQueuedWork(const Job& job,
                                                              double now) {
  const double shortest = job.longest_s / pools_.top_speed();
  const double excess = now + WorkAhead(job.queued_work_s) / Capacity() +
                        shortest - job.promise_by_s;
  if (!job.promise_was_achievable || excess <= 0) {
    return std::nullopt;
  }
  return Refuse(
      ErrorCode::kOverloaded,
      "queued work ahead of the job exceeds its promised response time",
      excess);
}

std::optional<Refusal> PolicyScheduler::Impl::CheckReserved(const Job& job,
                                                            double now) {
  if (!job.promise_was_achievable) {
    return std::nullopt;
  }
  ClassLedger& it = ledgers_[job.ledger];
  it.ledger.Advance(now);
  const auto group = ShareGroup(job);
  const double headroom =
      shares_admission()
          ? admission_shares_.Headroom(
                group, job.wide,
                pools_.capacity(it.pool) * it.ledger.efficiency(), now)
          : 0;
  const auto shortage = it.ledger.Check(
      now,
      {job.latest_start_s, static_cast<double>(job.queued_slots),
       job.queued_work_s},
      {pools_.capable_slots(it.pool), MeanSpeed(it)});
  if (shortage.slots + headroom * pools_.capable_slots(it.pool) <= 0) {
    admission_shares_.Admitted(group, job.queued_work_s, now);
    return std::nullopt;
  }
  admission_shares_.Refused(group, now);
  return Refuse(ErrorCode::kOverloaded,
                "the job does not fit beside admitted jobs within its promised "
                "response time",
                shortage.start_s - now);
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
    job->queued_slots += task.slots;
    job->longest_s = std::max(job->longest_s, expected);
    FindOrAddJobLane(job, FindLane(pool, spec.slots, is_long))
        ->tasks.push_back(i);
    short_work_s += is_long ? 0 : task.work_s();
  }
  AddShortWork(short_work_s, now);
}

// The last task of a job starts only after the others have been placed. A job
// of many tasks that starts too late would waste slots that other jobs can use.
// The time to place the others counts only if the other queued work, which
// could use the slots, exceeds the job's own; otherwise the job may try.
bool PolicyScheduler::Impl::CannotMeetPromise(const Job& job,
                                              double now) const {
  double need_s = job.longest_s / pools_.top_speed();
  if (HasCompetition(job)) {
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

// After a loss of capacity or wrong estimates, the admitted jobs do not all
// fit. Those that lack the most time yield, one at a time until the others fit.
// Jobs that have started are not refused.
void PolicyScheduler::Impl::RefuseForShortage(double now) {
  while (!latest_starts_.empty()) {
    const HeapEntry entry = latest_starts_.front();
    Job& job = jobs_[entry.job];
    if (job.generation == entry.ticket && !job.started && !job.hopeless &&
        !job.removed) {
      ClassLedger& it = ledgers_[job.ledger];
      it.ledger.Advance(now);
      const int total = pools_.capable_slots(it.pool);
      const auto shortage =
          it.ledger.Check(now, {now, 0, 0}, {total, MeanSpeed(it)});
      if (shortage.slots <= kToleratedShortage * total ||
          entry.key > shortage.start_s) {
        return;
      }
      MarkHopeless(entry.job);
      AdjustWorkTotals(&job, -1);
      job.in_ledger = false;
      AdjustWorkTotals(&job, 1);
    }
    PopHeap(&latest_starts_);
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
  if (reserves()) {
    RefuseForShortage(now);
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

}  // namespace radishrail
