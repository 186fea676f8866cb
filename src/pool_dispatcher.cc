#include "radishrail/pool_dispatcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "radishrail/job_answers.h"
#include "radishrail/log.h"

namespace radishrail {

namespace {

// Interval of checks of deadlines and delayed tasks while jobs are in progress.
constexpr absl::Duration kBusyTick = absl::Milliseconds(10);
// Interval without jobs; bounds how late the end of an ejection is noticed.
constexpr absl::Duration kIdleTick = absl::Milliseconds(500);
// The process counts as paused if the last tick is older. The node's normal
// tick interval is several times shorter.
constexpr absl::Duration kMaxTickAge = absl::Milliseconds(400);
// Slots of an upstream on probation: enough for one large task.
constexpr int kProbationSlots = 40;
constexpr int kEjectionFailures = 3;
constexpr absl::Duration kEjectionTime = absl::Seconds(3);
// A submission of a cancelled job is logged within this time.
constexpr absl::Duration kRecentlyCancelled = absl::Seconds(10);
constexpr size_t kMaxRecentlyCancelledKeys = 10000;

UpstreamSettings MakeUpstreamSettings(const std::string& failure_domain) {
  UpstreamSettings settings;
  settings.failure_domain = failure_domain;
  settings.probation_slots = kProbationSlots;
  settings.ejection_failures = kEjectionFailures;
  settings.ejection_time = kEjectionTime;
  return settings;
}

ErrorCode CodeOf(CrashVerdict verdict) {
  return verdict == CrashVerdict::kGiveUp ? ErrorCode::kUpstreamFailed
                                          : ErrorCode::kOutcomeUnknown;
}

// Runs of the job have been started before, so it is not refused as not run.
JobAnswer GivenUpAnswer(const JobSpec& job, CrashVerdict verdict) {
  JobAnswer answer = UnknownAnswer(
      job, {CodeOf(verdict), Step::kExecution, "",
            verdict == CrashVerdict::kGiveUp
                ? "upstreams crashed under a task of the job before"
                : "upstreams may have crashed under a task of the job before"});
  answer.status = JobStatus::kFailed;
  return answer;
}

}  // namespace

bool PoolDispatcher::PlacingUpstreamClient::CanStart(
    const std::string& vm,
    const JobLease& lease) const {
  return dispatcher_.client_.CanStart(vm, lease);
}

void PoolDispatcher::PlacingUpstreamClient::Start(TaskStart start,
                                                  Callback callback) {
  if (dispatcher_.paused()) {
    TaskResult result;
    result.outcome = TaskOutcome::kNotStarted;
    result.error = {ErrorCode::kNotReady, Step::kHandOver, "",
                    "the process was paused"};
    callback(std::move(result));
    return;
  }
  dispatcher_.client_.Start(
      std::move(start),
      [this, callback = std::move(callback)](TaskResult result) {
        callback(std::move(result));
        dispatcher_.PlaceTasks();
      });
}

void PoolDispatcher::PlacingUpstreamClient::StopRun(const std::string& job_key,
                                                    const std::string& task_id,
                                                    int attempt) {
  dispatcher_.client_.StopRun(job_key, task_id, attempt);
}

PoolDispatcher::PoolDispatcher(
    const std::string& failure_domain,
    const LeaseSettings& lease,
    const Clock& clock,
    Random& random,
    RunnerTransport& transport,
    std::unique_ptr<Scheduler> scheduler,
    Metrics& metrics,
    Timeline& timeline,
    DecisionLog& log,
    std::function<void(const std::string& pool)> on_fenced)
    : clock_(clock),
      scheduler_(std::move(scheduler)),
      registry_(MakeUpstreamSettings(failure_domain), clock),
      crashes_(clock),
      cancelled_(clock),
      recently_cancelled_(clock, kRecentlyCancelled, kMaxRecentlyCancelledKeys),
      given_up_(metrics.counter(
          "radishrail_pool_jobs_given_up_total",
          "Submissions of jobs under whose tasks runners were lost")),
      log_(log),
      run_trace_(clock, timeline, log),
      client_(
          clock,
          transport,
          lease,
          metrics,
          std::move(on_fenced),
          [this] { list_changed_ = true; },
          [this](const RunFate& fate) { OnFate(fate); },
          run_trace_),
      placing_upstream_client_(*this),
      jobs_(clock,
            random,
            *scheduler_,
            registry_,
            placing_upstream_client_,
            metrics,
            timeline) {}

void PoolDispatcher::SetRunners(
    std::vector<LeasedUpstreamClient::OwnedRunner> runners) {
  runners_ = std::move(runners);
  // Set before, since runs on removed runners end within the call.
  list_changed_ = true;
  client_.SetRunners(runners_);
}

// A task that is placed on a runner that is no longer usable counts as a retry,
// so a few of them would exhaust the retry budgets.
void PoolDispatcher::PlaceTasks() {
  EndAffectedJobs();
  if (list_changed_) {
    UpdateList();
  }
  jobs_.PlaceTasks();
}

void PoolDispatcher::UpdateList() {
  list_changed_ = false;
  std::vector<VmInfo> usable;
  usable.reserve(runners_.size());
  for (const auto& it : runners_) {
    if (it.accepting && client_.Usable(it.info.vm)) {
      usable.push_back(it.info);
    }
  }
  registry_.OnVmList(usable);
  ApplyChanges();
}

void PoolDispatcher::ApplyChanges() {
  for (const auto& it : registry_.TakeChanges()) {
    if (registry_.Find(it.upstream).has_value()) {
      scheduler_->SetUpstream(it);
    } else {
      scheduler_->RemoveUpstream(it.upstream);
    }
  }
}

void PoolDispatcher::Submit(JobSpec job,
                            std::shared_ptr<const VersionedDocument> document,
                            JobController::AnswerCallback callback) {
  if (recently_cancelled_.Contains(job.key)) {
    log_.Write(Decision::kJobRepeated, job.key, "was cancelled here before");
  }
  if (cancelled_.Contains(job.key)) {
    callback(NotRunAnswer(job,
                          {ErrorCode::kCancelled, Step::kQueue, "",
                           "the caller cancelled the job before"},
                          absl::ZeroDuration(), TaskErrors::kOmitted));
    return;
  }
  const CrashVerdict verdict = crashes_.Judge(job.key);
  if (verdict != CrashVerdict::kRun) {
    given_up_.Add();
    callback(GivenUpAnswer(job, verdict));
    return;
  }
  jobs_.Accept(std::move(job), std::move(document), std::move(callback));
  PlaceTasks();
}

bool PoolDispatcher::Cancel(const std::string& key,
                            ErrorCode reason,
                            const CancelCause& cause) {
  // Jobs that are cancelled for other reasons may be submitted again.
  if (reason == ErrorCode::kCancelled) {
    cancelled_.Add(key);
  }
  if (jobs_.IsCancellable(key)) {
    LogCancel(key, cause);
    recently_cancelled_.Add(key);
  }
  return jobs_.Cancel(key, reason, cause.reason);
}

void PoolDispatcher::OnPeerCancelledKeys(
    const std::vector<CancelledKey>& keys) {
  cancelled_.AddFromPeer(keys);
  for (const auto& it : keys) {
    if (jobs_.IsCancellable(it.key)) {
      Cancel(it.key, ErrorCode::kCancelled,
             {"a peer knows that a client cancelled the job"});
    }
  }
}

void PoolDispatcher::LogCancel(const std::string& key,
                               const CancelCause& cause) {
  const auto number = [](uint64_t n) {
    return n == 0 ? std::string() : absl::StrCat(n);
  };
  log_.Write(
      Decision::kJobCancelled, key, cause.reason,
      {{"entry", std::string(cause.entry)},
       {"entry_request", number(cause.request)},
       {"oldest_request", number(cause.oldest_request)},
       {"entry_silence_ms",
        cause.entry_silence.has_value()
            ? absl::StrCat(absl::ToInt64Milliseconds(*cause.entry_silence))
            : ""}});
}

// The jobs are ended later, since the client may be within a change of its
// state.
void PoolDispatcher::OnFate(const RunFate& fate) {
  Log(LogLevel::kInfo, "upstream lost under a task",
      {{"request", fate.job_key},
       {"task", fate.task_id},
       {"upstream", fate.vm},
       {"fate", std::string(UpstreamFateName(fate.fate))}});
  crashes_.Record(fate);
  affected_jobs_.push_back(fate.job_key);
}

void PoolDispatcher::EndAffectedJobs() {
  for (const auto& it : std::exchange(affected_jobs_, {})) {
    const CrashVerdict verdict = crashes_.Judge(it);
    if (verdict != CrashVerdict::kRun) {
      Cancel(it, CodeOf(verdict), {"upstreams crashed under a task"});
    }
  }
}

bool PoolDispatcher::paused() const {
  return clock_.Monotonic() - last_tick_ > kMaxTickAge;
}

absl::Time PoolDispatcher::Tick() {
  last_tick_ = clock_.Monotonic();
  absl::Time due = client_.Tick();
  crashes_.Tick();
  cancelled_.RemoveExpired();
  recently_cancelled_.RemoveExpired();
  EndAffectedJobs();
  registry_.Tick();
  if (list_changed_) {
    UpdateList();
  }
  ApplyChanges();
  jobs_.Tick();
  due = std::min(due, client_.Tick());
  const absl::Time now = clock_.Monotonic();
  return std::min(due,
                  now + (jobs_.jobs_in_progress() > 0 ? kBusyTick : kIdleTick));
}

}  // namespace radishrail
