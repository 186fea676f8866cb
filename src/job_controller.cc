#include "radishrail/job_controller.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "job_metrics.h"
#include "job_record.h"
#include "key_table.h"
#include "radishrail/job_answers.h"
#include "radishrail/job_json.h"
#include "retry_budget.h"
#include "run_time_model.h"

namespace radishrail {

namespace {

using internal::Job;
using internal::KeyRecord;
using internal::RetryPermission;
using internal::Task;

// Tasks are not dispatched within this time before their start-by time.
constexpr absl::Duration kTransmissionMargin = absl::Milliseconds(50);
// Requeue delay of a task whose upstream stopped accepting between placement
// and dispatch.
constexpr absl::Duration kPlacementRetryDelay = absl::Milliseconds(10);
constexpr absl::Duration kMaxBackoff = absl::Seconds(2);

// A lease is ending this long before it expires. It allows for a lost stop
// order: if runs go on until then, so does the lease of the other runs on their
// upstreams.
constexpr absl::Duration kLeaseMargin = absl::Milliseconds(300);

// Limits on the work of one Tick.
constexpr size_t kExpiredJobsPerTick = 4096;
constexpr size_t kPlacementsPerTick = 10000;

absl::string_view Absl(std::string_view text) {
  return {text.data(), text.size()};
}

struct Delivery {
  JobController::AnswerCallback callback;
  std::shared_ptr<const JobAnswer> answer;
};

Error ConflictError() {
  // The same text whether the body or the environment differs, so that a key
  // of another environment reveals nothing about its job.
  return {ErrorCode::kConflict, Step::kDeduplication, "",
          "the key was used for another request"};
}

std::string CancelDetail(ErrorCode reason) {
  switch (reason) {
    case ErrorCode::kCancelled:
      return "the caller cancelled the job";
    case ErrorCode::kUpstreamFailed:
      return "upstreams crashed under a task of the job";
    case ErrorCode::kOutcomeUnknown:
      return "upstreams may have crashed under a task of the job";
    default:
      return "the caller disconnected or its entry daemon is unavailable";
  }
}

bool IsFinal(JobStatus status) {
  return status != JobStatus::kRunning;
}

}  // namespace

class JobController::Impl {
 public:
  Impl(const Clock& clock,
       Random& random,
       Scheduler& scheduler,
       UpstreamRegistry& upstreams,
       UpstreamClient& client,
       Metrics& metrics,
       Timeline& timeline)
      : clock_(clock),
        random_(random),
        scheduler_(scheduler),
        upstreams_(upstreams),
        client_(client),
        timeline_(timeline),
        metrics_(metrics) {}

  bool HasKey(std::string_view key) const { return keys_.Find(key) != nullptr; }

  bool Join(const JobSpec& job, AnswerCallback callback) {
    const CallScope scope(*this);
    KeyRecord* record = keys_.Find(job.key);
    if (record == nullptr) {
      return false;
    }
    if (keys_.EnvironmentName(*record) != job.environment ||
        record->body_hash != job.body_hash) {
      metrics_.conflicts.Add();
      RecordEvent(EventType::kJobRefused, job.key, "", "", "conflict");
      Deliver(std::move(callback),
              NotRunAnswer(job, ConflictError(), absl::ZeroDuration(),
                           TaskErrors::kOmitted));
      return true;
    }
    metrics_.joined.Add();
    RecordEvent(EventType::kJobJoined, job.key);
    if (Job* running = FindJob(record->job)) {
      running->callbacks.push_back(std::move(callback));
    } else {
      Deliver(std::move(callback), RetainedAnswer(*record, &job));
    }
    return true;
  }

  void Accept(JobSpec spec,
              std::shared_ptr<const VersionedDocument> document,
              AnswerCallback callback,
              absl::Time decided_at) {
    const CallScope scope(*this);
    if (HasKey(spec.key)) {
      Join(spec, std::move(callback));
      return;
    }
    if (runs_of_ended_jobs_.contains(spec.key)) {
      Deliver(std::move(callback),
              UnknownAnswer(
                  spec, {ErrorCode::kOutcomeUnknown, Step::kDeduplication, "",
                         "a run of an earlier submission may not "
                         "have ended yet"}));
      return;
    }
    const absl::Time now = std::min(clock_.Monotonic(), decided_at);
    std::optional<Refusal> refusal = CheckAcceptable(spec, document.get());
    const uint64_t number = next_job_++;
    if (!refusal.has_value()) {
      refusal = scheduler_.Admit(MakeDemand(number, spec, *document, now));
    }
    if (refusal.has_value()) {
      Refuse(spec, *refusal, std::move(callback));
      return;
    }
    Add(number, std::move(spec), std::move(document), std::move(callback), now);
  }

  std::optional<JobAnswer> Find(std::string_view key) const {
    const KeyRecord* record = keys_.Find(key);
    if (record == nullptr) {
      return std::nullopt;
    }
    const auto it = jobs_.find(record->job);
    return it != jobs_.end() ? AnswerInProgress(*it->second)
                             : RetainedAnswer(*record, nullptr);
  }

  bool IsCancellable(std::string_view key) const {
    const KeyRecord* record = keys_.Find(key);
    const Job* job = record == nullptr ? nullptr : FindJob(record->job);
    return job != nullptr && job->error.ok();
  }

  std::vector<std::string> JobsWithEndingLease() const {
    const absl::Time limit = clock_.Monotonic() + kLeaseMargin;
    std::vector<std::string> keys;
    for (const auto& [number, job] : jobs_) {
      if (job->spec.lease != nullptr && job->error.ok() &&
          job->spec.lease->expiry() <= limit) {
        keys.push_back(job->spec.key);
      }
    }
    // Ordered, so that tests with a fixed seed are deterministic.
    std::sort(keys.begin(), keys.end());
    return keys;
  }

  bool Cancel(std::string_view key, ErrorCode reason, std::string_view cause) {
    const CallScope scope(*this);
    const KeyRecord* record = keys_.Find(key);
    if (record == nullptr) {
      return false;
    }
    Job* job = FindJob(record->job);
    if (job != nullptr && job->error.ok()) {
      metrics_.cancelled.Add();
      RecordEvent(EventType::kJobCancelled, job->spec.key, "", "", cause);
      job->cancelled = true;
      job->error = {reason, Step::kQueue, "", CancelDetail(reason)};
      DropQueued(*job);
      StopRunning(*job);
      EndIfFinished(*job);
    }
    return true;
  }

  size_t EndQueuedJobs(const std::string& detail) {
    const CallScope scope(*this);
    std::vector<uint64_t> numbers;
    for (const auto& [number, job] : jobs_) {
      if (job->queued > 0 && job->error.ok()) {
        numbers.push_back(number);
      }
    }
    // Ordered, so that tests with a fixed seed are deterministic.
    std::sort(numbers.begin(), numbers.end());
    size_t ended = 0;
    for (const uint64_t number : numbers) {
      // Stopping the runs of one job may end another.
      Job* job = FindJob(number);
      if (job == nullptr || job->queued == 0 || !job->error.ok()) {
        continue;
      }
      ++ended;
      metrics_.refused.Add(job->dispatched ? 0 : 1);
      RecordEvent(
          job->dispatched ? EventType::kJobCancelled : EventType::kJobRefused,
          job->spec.key, "", "", detail);
      job->error = {
          job->dispatched ? ErrorCode::kOutcomeUnknown : ErrorCode::kNoOwner,
          Step::kQueue, "", detail};
      DropQueued(*job);
      StopRunning(*job);
      EndIfFinished(*job);
    }
    return ended;
  }

  void Tick() {
    const CallScope scope(*this);
    ExpireJobs();
    RefuseHopeless();
    PlaceTasks();
    keys_.RemoveExpired(clock_.Monotonic());
    RecordTransitions();
    metrics_.in_progress.Set(static_cast<int64_t>(jobs_.size()));
    metrics_.remembered.Set(static_cast<int64_t>(keys_.size()));
  }

  // A client that completes tasks within `Start` causes nested calls. Only the
  // outermost call places tasks, so that the stack depth does not grow with the
  // number of tasks.
  void PlaceTasks() {
    if (placing_) {
      return;
    }
    const CallScope scope(*this);
    placing_ = true;
    for (size_t n = 0; n < kPlacementsPerTick; ++n) {
      const std::optional<Placement> placement = scheduler_.Next();
      if (!placement.has_value()) {
        break;
      }
      Place(*placement);
    }
    placing_ = false;
  }

  std::vector<RememberedKey> ExportKeys(
      const std::function<bool(std::string_view)>& predicate) const {
    return keys_.Export(predicate);
  }

  void Import(const std::vector<RememberedKey>& keys) {
    keys_.Import(keys, clock_.Monotonic());
  }

  size_t jobs_in_progress() const { return jobs_.size(); }
  size_t remembered_keys() const { return keys_.size(); }

 private:
  // Scope of a call of the public interface. The outermost scope delivers
  // answers at its end, when the table is consistent, so that a callback may
  // call the controller again.
  class CallScope {
   public:
    explicit CallScope(Impl& impl) : impl_(impl) { ++impl_.call_depth_; }
    ~CallScope() {
      while (impl_.call_depth_ == 1 && !impl_.deliveries_.empty()) {
        const Delivery next = std::move(impl_.deliveries_.front());
        impl_.deliveries_.pop_front();
        next.callback(*next.answer);
      }
      --impl_.call_depth_;
    }
    CallScope(const CallScope&) = delete;
    CallScope& operator=(const CallScope&) = delete;

   private:
    Impl& impl_;
  };

  Job* FindJob(uint64_t number) const {
    const auto it = jobs_.find(number);
    return it == jobs_.end() ? nullptr : it->second.get();
  }

  void Deliver(AnswerCallback callback, JobAnswer answer) {
    deliveries_.push_back(
        {std::move(callback), std::make_shared<JobAnswer>(std::move(answer))});
  }

  void RecordEvent(EventType type,
                   std::string_view job,
                   std::string_view task = {},
                   std::string_view upstream = {},
                   std::string_view cause = {},
                   int64_t document_version = 0) {
    Event event;
    event.type = type;
    event.job = job;
    event.task = task;
    event.upstream = upstream;
    event.cause = cause;
    event.document_version = document_version;
    timeline_.Record(std::move(event));
  }

  // --- Acceptance ---

  static std::optional<Refusal> CheckAcceptable(
      const JobSpec& spec,
      const VersionedDocument* document) {
    if (document == nullptr) {
      return Refusal{{ErrorCode::kNotReady, Step::kEnvironment, "",
                      "the environment has no document"},
                     absl::Seconds(1)};
    }
    if (spec.tasks.empty() || spec.deadline <= kTransmissionMargin) {
      return Refusal{
          {ErrorCode::kInfeasible, Step::kAdmission, "",
           absl::StrCat("a job needs a task and a deadline of more than ",
                        absl::ToInt64Milliseconds(kTransmissionMargin),
                        " ms; found ", spec.tasks.size(), " tasks and ",
                        absl::ToInt64Milliseconds(spec.deadline), " ms")},
          absl::ZeroDuration()};
    }
    return std::nullopt;
  }

  static JobDemand MakeDemand(uint64_t number,
                              const JobSpec& spec,
                              const VersionedDocument& document,
                              absl::Time now) {
    JobDemand demand;
    demand.job = number;
    demand.environment = spec.environment;
    demand.team = spec.team;
    demand.upstream_classes = document.document.upstream_classes;
    if (!spec.upstream_class.empty()) {
      demand.upstream_classes = {spec.upstream_class};
    }
    demand.promise_by = now + (spec.promised > absl::ZeroDuration()
                                   ? spec.promised
                                   : document.document.promised);
    demand.start_by = now + spec.deadline - kTransmissionMargin;
    demand.priority = spec.priority;
    demand.max_queued_tasks = document.document.max_queued_tasks;
    if (const TeamQuota* team = document.document.FindTeam(spec.team)) {
      demand.team_share = team->share;
      demand.team_max_running_tasks = team->max_running_tasks;
    }
    demand.tasks.reserve(spec.tasks.size());
    for (const auto& it : spec.tasks) {
      demand.tasks.push_back(
          {it.kind, it.declared_run, it.declared_slots, it.preferred_rack});
    }
    return demand;
  }

  void Refuse(const JobSpec& spec,
              const Refusal& refusal,
              AnswerCallback callback) {
    metrics_.refused.Add();
    RecordEvent(EventType::kJobRefused, spec.key, "", "",
                ErrorCodeName(refusal.error.code));
    Deliver(std::move(callback),
            NotRunAnswer(spec, refusal.error, refusal.retry_after,
                         TaskErrors::kOmitted));
  }

  void Add(uint64_t number,
           JobSpec spec,
           std::shared_ptr<const VersionedDocument> document,
           AnswerCallback callback,
           absl::Time now) {
    metrics_.accepted.Add();
    RecordEvent(EventType::kJobAccepted, spec.key, "", "", "",
                document->version);
    auto job = std::make_unique<Job>();
    job->number = number;
    job->record = keys_.Add(spec.key, spec.environment, spec.body_hash,
                            absl::ToUnixMillis(clock_.Wall()));
    job->record->job = number;
    job->tasks.resize(spec.tasks.size());
    AssignKindNumbers(spec, job->tasks);
    job->queued = spec.tasks.size();
    job->accepted = now;
    job->start_by = now + spec.deadline;
    job->spec = std::move(spec);
    job->document = std::move(document);
    job->callbacks.push_back(std::move(callback));
    deadlines_.insert({job->start_by, number});
    jobs_.emplace(number, std::move(job));
  }

  void AssignKindNumbers(const JobSpec& spec, std::vector<Task>& tasks) {
    for (size_t i = 0; i < tasks.size(); ++i) {
      const std::string& kind = spec.tasks[i].kind;
      tasks[i].kind = i > 0 && kind == spec.tasks[i - 1].kind
                          ? tasks[i - 1].kind
                          : run_times_.KindNumber(spec.environment, kind);
    }
  }

  // --- Dispatch ---

  void Place(const Placement& placement) {
    const TaskRef ref = placement.task;
    Job* job = FindJob(ref.job);
    if (job == nullptr || ref.task >= job->tasks.size()) {
      metrics_.invalid_placements.Add();
      scheduler_.Finish(ref, std::nullopt);
      return;
    }
    // A task that is not queued is never started, even if the scheduler places
    // it.
    if (job->tasks[ref.task].status != TaskStatus::kQueued) {
      metrics_.invalid_placements.Add();
      return;
    }
    const std::optional<UpstreamView> upstream =
        upstreams_.Find(placement.upstream);
    if (!upstream.has_value() || !upstream->accepting ||
        !CanStart(*job, *upstream)) {
      scheduler_.Requeue(ref, clock_.Monotonic() + kPlacementRetryDelay,
                         placement.upstream);
      return;
    }
    // The wall clock is read first, so that a pause between the two readings
    // makes the start-by time earlier, never later.
    const absl::Time wall = clock_.Wall();
    const absl::Time now = clock_.Monotonic();
    if (now >= job->start_by - kTransmissionMargin) {
      scheduler_.Finish(ref, std::nullopt);
      FinishTask(*job, ref.task, TaskStatus::kNotRun,
                 {ErrorCode::kDeadlineExceeded, Step::kQueue, "", ""});
      return;
    }
    job->tasks[ref.task].run_factor = placement.run_factor;
    Dispatch(*job, ref.task, *upstream, RecordRackOutcome(placement), wall,
             now);
  }

  // Returns the reason of the placement for the job's history.
  std::string RecordRackOutcome(const Placement& placement) {
    switch (placement.rack) {
      case RackOutcome::kNoPreference:
        return {};
      case RackOutcome::kNear:
        metrics_.rack_near.Add();
        break;
      case RackOutcome::kFarByChoice:
        metrics_.rack_far_by_choice.Add();
        break;
      case RackOutcome::kFarNoRoom:
        metrics_.rack_far_no_room.Add();
        break;
    }
    metrics_.rack_wait.Record(placement.rack_wait);
    const std::string_view outcome = RackOutcomeName(placement.rack);
    return absl::StrCat(absl::string_view(outcome.data(), outcome.size()),
                        ", waited ",
                        absl::ToInt64Milliseconds(placement.rack_wait), " ms");
  }

  bool CanStart(const Job& job, const UpstreamView& upstream) const {
    return job.spec.lease == nullptr ||
           client_.CanStart(upstream.info.vm, *job.spec.lease);
  }

  void Dispatch(Job& job,
                uint32_t index,
                const UpstreamView& upstream,
                const std::string& reason,
                absl::Time wall,
                absl::Time now) {
    Task& task = job.tasks[index];
    const TaskSpec& spec = job.spec.tasks[index];
    --job.queued;
    ++job.running;
    job.dispatched = true;
    task.status = TaskStatus::kRunning;
    ++task.attempts;
    task.upstream = upstream.id;
    task.speed = upstream.speed;
    task.cold = upstream.cold;
    task.started = now;
    if (task.attempts == 1) {
      metrics_.queue_time.Record(now - job.accepted);
      retry_budgets_.OnFirstAttempt(
          job.record->environment, upstream.id,
          job.document->document.retry.budget_percent / 100.0, now);
    }
    metrics_.handed_over.Add();
    RecordEvent(EventType::kTaskHandedOver, job.spec.key, spec.id,
                upstream.info.vm, reason, job.document->version);
    TaskStart start;
    start.job_key = job.spec.key;
    start.task_id = spec.id;
    start.attempt = task.attempts;
    start.kind = spec.kind;
    start.payload = spec.payload.empty() ? job.spec.payload : spec.payload;
    start.vm = upstream.info.vm;
    start.address = upstream.info.address;
    start.start_by_monotonic = job.start_by - kTransmissionMargin;
    start.start_by_wall = wall + (job.start_by - now);
    start.timeout = job.start_by - now;
    start.lease = job.spec.lease;
    start.expected_run = run_times_.Expected(task.kind) * task.run_factor;
    if (start.expected_run == absl::ZeroDuration()) {
      start.expected_run = spec.declared_run;
    }
    // The client may call back before `Start` returns, which may destroy `job`.
    client_.Start(std::move(start),
                  [this, alive = std::weak_ptr<const bool>(alive_),
                   ref = TaskRef{job.number, index}, attempt = task.attempts,
                   id = upstream.id](TaskResult result) {
                    if (!alive.expired()) {
                      OnResult(ref, attempt, id, std::move(result));
                    }
                  });
  }

  // --- Results ---

  void OnResult(TaskRef ref,
                int attempt,
                UpstreamId upstream,
                TaskResult result) {
    const CallScope scope(*this);
    Job* job = FindJob(ref.job);
    if (job == nullptr || job->tasks[ref.task].status != TaskStatus::kRunning ||
        job->tasks[ref.task].attempts != attempt) {
      DropResult(job, ref, upstream, result);
      return;
    }
    Task& task = job->tasks[ref.task];
    if (result.run_time <= absl::ZeroDuration()) {
      result.run_time = clock_.Monotonic() - task.started;
    }
    // Away from the preferred rack, the upstream is not to blame for a longer
    // run.
    upstreams_.OnResult(upstream, result,
                        run_times_.Expected(task.kind) * task.run_factor);
    switch (result.outcome) {
      case TaskOutcome::kDone:
        OnDone(*job, ref, std::move(result));
        break;
      case TaskOutcome::kFailed:
        if (++task.failures < job->spec.tasks[ref.task].max_failures) {
          OnEnded(*job, ref, std::move(result.error));
        } else {
          OnFailed(*job, ref, TaskStatus::kFailed, ErrorCode::kUpstreamFailed,
                   std::move(result.error));
        }
        break;
      case TaskOutcome::kEnded:
        OnEnded(*job, ref, std::move(result.error));
        break;
      case TaskOutcome::kNotStarted:
        OnNotStarted(*job, ref, std::move(result.error));
        break;
      case TaskOutcome::kUnknown:
        OnFailed(*job, ref, TaskStatus::kUnknown, ErrorCode::kOutcomeUnknown,
                 std::move(result.error));
        break;
    }
  }

  void RemoveRunOfEndedJob(const std::string& key) {
    const auto it = runs_of_ended_jobs_.find(key);
    if (--it->second == 0) {
      runs_of_ended_jobs_.erase(it);
    }
  }

  // A late or duplicate result changes no task, but a notice in it that the
  // upstream is leaving is still valid, and a run past the deadline of its job
  // has ended.
  void DropResult(const Job* job,
                  TaskRef ref,
                  UpstreamId upstream,
                  const TaskResult& result) {
    metrics_.dropped_results.Add();
    const auto run = runs_past_deadline_.find({ref.job, ref.task});
    if (run != runs_past_deadline_.end()) {
      RemoveRunOfEndedJob(run->second);
      runs_past_deadline_.erase(run);
      scheduler_.Finish(ref, std::nullopt);
    }
    const std::optional<UpstreamView> view = upstreams_.Find(upstream);
    if (view.has_value() &&
        (result.upstream_leaving ||
         result.error.code == ErrorCode::kUpstreamLeaving)) {
      upstreams_.OnLeaving(view->info.vm);
    }
    RecordEvent(EventType::kLateAnswerDropped, job ? job->spec.key : "",
                job ? job->spec.tasks[ref.task].id : "",
                view.has_value() ? view->info.vm : "");
  }

  void OnDone(Job& job, TaskRef ref, TaskResult result) {
    Task& task = job.tasks[ref.task];
    metrics_.run_time.Record(result.run_time);
    // A run on a cold upstream says nothing about later ones.
    if (task.cold) {
      scheduler_.Finish(ref, std::nullopt);
    } else {
      run_times_.Learn(task.kind, result.run_time / task.run_factor,
                       task.speed);
      scheduler_.Finish(ref, result.run_time);
    }
    task.output = std::move(result.output);
    FinishTask(job, ref.task, TaskStatus::kDone, {});
  }

  void OnFailed(Job& job,
                TaskRef ref,
                TaskStatus status,
                ErrorCode code,
                Error error) {
    scheduler_.Finish(ref, std::nullopt);
    FinishTask(job, ref.task, status,
               WithContext(job, ref, std::move(error), code));
  }

  // Fills in the fields of an error that the client left empty.
  Error WithContext(const Job& job,
                    TaskRef ref,
                    Error error,
                    ErrorCode code) const {
    if (error.ok()) {
      error.code = code;
    }
    if (error.step == Step::kNone) {
      error.step = Step::kExecution;
    }
    if (error.peer.empty()) {
      const auto view = upstreams_.Find(job.tasks[ref.task].upstream);
      error.peer = view.has_value() ? view->info.vm : "";
    }
    return error;
  }

  // A run ended without a result. Only a restartable task may run again.
  void OnEnded(Job& job, TaskRef ref, Error error) {
    if (job.spec.tasks[ref.task].restartable && job.error.ok()) {
      OnNotStarted(job, ref, std::move(error));
    } else {
      OnFailed(job, ref, TaskStatus::kUnknown, ErrorCode::kOutcomeUnknown,
               std::move(error));
    }
  }

  void OnNotStarted(Job& job, TaskRef ref, Error error) {
    Task& task = job.tasks[ref.task];
    error = WithContext(job, ref, std::move(error), ErrorCode::kUpstreamBusy);
    metrics_.not_started.Add();
    RecordEvent(EventType::kTaskNotStarted, job.spec.key,
                job.spec.tasks[ref.task].id, error.peer,
                ErrorCodeName(error.code));
    const absl::Time now = clock_.Monotonic();
    const absl::Duration backoff = Backoff(job, task.attempts);
    if (!TryAcquireRetry(job, task, now, backoff, &error)) {
      scheduler_.Finish(ref, std::nullopt);
      FinishTask(job, ref.task, TaskStatus::kNotRun, std::move(error));
      return;
    }
    metrics_.retries.Add();
    task.status = TaskStatus::kQueued;
    task.stopping = false;
    --job.running;
    ++job.queued;
    scheduler_.Requeue(ref, now + backoff, task.upstream);
  }

  // Doubles with each attempt. A jitter factor of 0.5 to 1.5 spreads the
  // retries of tasks that were refused together.
  absl::Duration Backoff(const Job& job, int attempts) {
    absl::Duration backoff = job.document->document.retry.backoff;
    for (int i = 1; i < attempts && backoff < kMaxBackoff; ++i) {
      backoff *= 2;
    }
    return std::min(backoff, kMaxBackoff) * (0.5 + random_.Unit());
  }

  // A task with failures left has not failed for good, so its job may not be
  // answered as one whose upstreams failed.
  static void ReplaceUpstreamFailed(ErrorCode code, Error* error) {
    if (error->code == ErrorCode::kUpstreamFailed) {
      error->code = code;
    }
  }

  // Takes a token of the environment's and of the upstream's retry budget if
  // the task may be retried. Otherwise adds the reason to `error`, unless the
  // job has already failed.
  bool TryAcquireRetry(const Job& job,
                       const Task& task,
                       absl::Time now,
                       absl::Duration backoff,
                       Error* error) {
    if (!job.error.ok()) {
      return false;
    }
    const int max_attempts = job.document->document.retry.max_attempts;
    if (task.attempts >= max_attempts) {
      absl::StrAppend(&error->detail, error->detail.empty() ? "" : "; ",
                      "no attempts left; max_attempts is ", max_attempts);
      ReplaceUpstreamFailed(ErrorCode::kRetryBudgetExhausted, error);
      return false;
    }
    if (now + backoff >= job.start_by - kTransmissionMargin) {
      absl::StrAppend(&error->detail, error->detail.empty() ? "" : "; ",
                      "the deadline would pass before the next attempt");
      ReplaceUpstreamFailed(ErrorCode::kDeadlineExceeded, error);
      return false;
    }
    const RetryPermission permission =
        retry_budgets_.Request(job.record->environment, task.upstream, now);
    if (permission == RetryPermission::kGranted) {
      return true;
    }
    metrics_.retries_denied.Add();
    error->detail = absl::StrCat(
        permission == RetryPermission::kUpstreamEmpty
            ? "no retry budget left for the upstream"
            : "no retry budget left for the environment",
        " after ", Absl(ErrorCodeName(error->code)), " ", error->detail);
    error->code = ErrorCode::kRetryBudgetExhausted;
    return false;
  }

  // --- End of tasks and jobs ---

  // Sets the final status of a task. May end and destroy the job, so `job` must
  // not be used afterwards.
  void FinishTask(Job& job, uint32_t index, TaskStatus status, Error error) {
    Task& task = job.tasks[index];
    --(task.status == TaskStatus::kRunning ? job.running : job.queued);
    task.status = status;
    task.error = std::move(error);
    job.done += status == TaskStatus::kDone ? 1 : 0;
    RecordEvent(EventType::kTaskFinished, job.spec.key,
                job.spec.tasks[index].id, task.error.peer,
                TaskStatusName(status));
    if (status != TaskStatus::kDone && job.error.ok()) {
      job.error = task.error;
      job.error.detail = absl::StrCat(
          "task ", job.spec.tasks[index].id, ": ", Absl(TaskStatusName(status)),
          task.error.detail.empty() ? "" : ": ", task.error.detail);
      DropQueued(job);
      StopRunning(job);
    }
    EndIfFinished(job);
  }

  // Requests the stop of all runs of restartable tasks.
  void StopRunning(Job& job) {
    for (size_t i = 0; i < job.tasks.size(); ++i) {
      Task& task = job.tasks[i];
      if (task.status == TaskStatus::kRunning && !task.stopping &&
          job.spec.tasks[i].restartable) {
        task.stopping = true;
        client_.StopRun(job.spec.key, job.spec.tasks[i].id, task.attempts);
      }
    }
  }

  // Linear in the tasks of the job and effective once per job, hence amortized
  // constant per task.
  void DropQueued(Job& job) {
    if (job.queued == 0) {
      return;
    }
    scheduler_.Remove(job.number);
    for (auto& it : job.tasks) {
      if (it.status == TaskStatus::kQueued) {
        it.status = TaskStatus::kNotRun;
        it.error = {job.error.code == ErrorCode::kDeadlineExceeded
                        ? ErrorCode::kDeadlineExceeded
                        : ErrorCode::kCancelled,
                    Step::kQueue, "", ""};
      }
    }
    job.queued = 0;
  }

  void EndIfFinished(Job& job) {
    if (job.queued == 0 && job.running == 0) {
      End(job);
    }
  }

  void End(Job& job) {
    JobAnswer answer = MakeAnswer(job);
    metrics_.response_time.Record(clock_.Monotonic() - job.accepted);
    RecordEvent(EventType::kJobAnswered, job.spec.key, "", "",
                JobStatusName(answer.status), job.document->version);
    (answer.status == JobStatus::kComplete ? metrics_.complete
     : answer.status == JobStatus::kFailed ? metrics_.failed
                                           : metrics_.not_run)
        .Add();
    KeyRecord& record = *job.record;
    record.job = 0;
    // The key of a job that did not run is forgotten, so that the caller can
    // submit it again. The key of a cancelled job is retained, so that a
    // delayed duplicate of the submission does not run the job.
    if (!job.spec.best_effort &&
        (answer.status != JobStatus::kNotRun || job.cancelled)) {
      record.answer_json = JobAnswerToJson(answer);
      record.answer_json.shrink_to_fit();
      keys_.Retain(record, clock_.Monotonic());
    } else {
      keys_.Remove(record);
    }
    const auto shared = std::make_shared<const JobAnswer>(std::move(answer));
    for (auto& it : job.callbacks) {
      deliveries_.push_back({std::move(it), shared});
    }
    deadlines_.erase({job.start_by, job.number});
    jobs_.erase(job.number);
  }

  // A job that is ended since upstreams were lost under it may have run before,
  // under an earlier submission.
  static bool MayHaveRun(const Job& job) {
    return job.dispatched || job.error.code == ErrorCode::kUpstreamFailed ||
           job.error.code == ErrorCode::kOutcomeUnknown;
  }

  JobAnswer MakeAnswer(Job& job) {
    JobAnswer answer;
    answer.key = job.spec.key;
    answer.environment = job.spec.environment;
    answer.document_version = job.document->version;
    if (job.done == job.tasks.size()) {
      answer.status = JobStatus::kComplete;
    } else {
      answer.status = MayHaveRun(job) ? JobStatus::kFailed : JobStatus::kNotRun;
      answer.error = job.error;
    }
    if (answer.status == JobStatus::kNotRun && !job.cancelled) {
      // Jitter spreads the resubmissions of jobs that were refused together.
      answer.retry_after =
          job.document->document.promised * (0.5 + 0.5 * random_.Unit());
    }
    answer.tasks.reserve(job.tasks.size());
    for (size_t i = 0; i < job.tasks.size(); ++i) {
      Task& task = job.tasks[i];
      answer.tasks.push_back({job.spec.tasks[i].id, task.status,
                              std::move(task.output), std::move(task.error)});
    }
    return answer;
  }

  // Answer of a job in progress. Has no outputs, which only the final answer
  // includes.
  static JobAnswer AnswerInProgress(const Job& job) {
    JobAnswer answer;
    answer.key = job.spec.key;
    answer.environment = job.spec.environment;
    answer.document_version = job.document->version;
    answer.tasks.reserve(job.tasks.size());
    for (size_t i = 0; i < job.tasks.size(); ++i) {
      answer.tasks.push_back(
          {job.spec.tasks[i].id, job.tasks[i].status, "", {}});
    }
    return answer;
  }

  // The retained answer. If an imported key has no valid answer, the tasks are
  // unknown; they are listed if `job`, which has the same body, is given.
  JobAnswer RetainedAnswer(const KeyRecord& record, const JobSpec* job) const {
    if (!record.answer_json.empty()) {
      std::optional<JobAnswer> answer =
          ParseJobAnswer(record.answer_json, nullptr);
      if (answer.has_value() && answer->key == record.key &&
          IsFinal(answer->status) &&
          (job == nullptr || answer->tasks.size() == job->tasks.size())) {
        return std::move(*answer);
      }
    }
    const Error error = {
        ErrorCode::kOutcomeUnknown, Step::kOwnership, "",
        "the former owner of the key had not finished the job"};
    if (job != nullptr) {
      return UnknownAnswer(*job, error);
    }
    JobSpec without_tasks;
    without_tasks.key = record.key;
    without_tasks.environment = keys_.EnvironmentName(record);
    return UnknownAnswer(without_tasks, error);
  }

  // --- Work of a Tick ---

  void ExpireJobs() {
    const absl::Time now = clock_.Monotonic();
    for (size_t n = 0; n < kExpiredJobsPerTick && !deadlines_.empty() &&
                       deadlines_.begin()->first <= now;
         ++n) {
      Expire(*FindJob(deadlines_.begin()->second), now);
    }
  }

  void Expire(Job& job, absl::Time now) {
    if (job.error.ok()) {
      job.error = {
          ErrorCode::kDeadlineExceeded,
          job.dispatched ? Step::kExecution : Step::kQueue, "",
          absl::StrCat("the job was not finished within ",
                       absl::ToInt64Milliseconds(job.spec.deadline), " ms")};
    }
    DropQueued(job);
    StopRunning(job);
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      Task& task = job.tasks[i];
      if (task.status == TaskStatus::kRunning) {
        TaskResult result;
        result.error.code = ErrorCode::kDeadlineExceeded;
        result.run_time = now - task.started;
        upstreams_.OnResult(task.upstream, result,
                            run_times_.Expected(task.kind));
        runs_past_deadline_.insert({{job.number, i}, job.spec.key});
        ++runs_of_ended_jobs_[job.spec.key];
        task.status = TaskStatus::kUnknown;
        task.error = WithContext(job, {job.number, i}, result.error,
                                 ErrorCode::kDeadlineExceeded);
      }
    }
    job.running = 0;
    End(job);
  }

  void RefuseHopeless() {
    for (const uint64_t number : scheduler_.TakeHopeless()) {
      Job* job = FindJob(number);
      if (job == nullptr || job->dispatched || !job->error.ok()) {
        continue;
      }
      metrics_.refused.Add();
      metrics_.refused_admitted.Add();
      RecordEvent(EventType::kJobRefused, job->spec.key, "", "", "hopeless");
      job->error = {ErrorCode::kOverloaded, Step::kQueue, "",
                    "the promised response time can no longer be met"};
      DropQueued(*job);
      End(*job);
    }
  }

  void RecordTransitions() {
    for (const auto& it : upstreams_.TakeTransitions()) {
      const EventType type =
          it.to == UpstreamState::kEjected   ? EventType::kUpstreamEjected
          : it.to == UpstreamState::kLeaving ? EventType::kUpstreamLeaving
                                             : EventType::kUpstreamReadmitted;
      RecordEvent(type, "", "", it.vm, it.cause);
    }
  }

  const Clock& clock_;
  Random& random_;
  Scheduler& scheduler_;
  UpstreamRegistry& upstreams_;
  UpstreamClient& client_;
  Timeline& timeline_;
  internal::JobMetrics metrics_;

  internal::KeyTable keys_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<Job>> jobs_;
  absl::btree_set<std::pair<absl::Time, uint64_t>> deadlines_;
  // Job and task of each run whose job ended at its deadline, with the job's
  // key. The run occupies its slots until its result arrives.
  absl::flat_hash_map<std::pair<uint64_t, uint32_t>, std::string>
      runs_past_deadline_;
  // Number of these runs, by key.
  absl::flat_hash_map<std::string, int> runs_of_ended_jobs_;
  internal::RetryBudgets retry_budgets_;
  internal::RunTimeModel run_times_;
  std::deque<Delivery> deliveries_;
  int call_depth_ = 0;
  bool placing_ = false;
  uint64_t next_job_ = 1;
  // Expires with the controller, since the client may call back after its
  // destruction.
  const std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

JobController::JobController(const Clock& clock,
                             Random& random,
                             Scheduler& scheduler,
                             UpstreamRegistry& upstreams,
                             UpstreamClient& client,
                             Metrics& metrics,
                             Timeline& timeline)
    : impl_(std::make_unique<Impl>(clock,
                                   random,
                                   scheduler,
                                   upstreams,
                                   client,
                                   metrics,
                                   timeline)) {}
JobController::~JobController() = default;

bool JobController::HasKey(std::string_view key) const {
  return impl_->HasKey(key);
}
bool JobController::Join(const JobSpec& job, AnswerCallback callback) {
  return impl_->Join(job, std::move(callback));
}
void JobController::Accept(JobSpec job,
                           std::shared_ptr<const VersionedDocument> document,
                           AnswerCallback callback,
                           absl::Time decided_at) {
  impl_->Accept(std::move(job), std::move(document), std::move(callback),
                decided_at);
}
std::optional<JobAnswer> JobController::Find(std::string_view key) const {
  return impl_->Find(key);
}
bool JobController::Cancel(std::string_view key,
                           ErrorCode reason,
                           std::string_view cause) {
  return impl_->Cancel(key, reason, cause);
}
size_t JobController::EndQueuedJobs(const std::string& detail) {
  return impl_->EndQueuedJobs(detail);
}
std::vector<std::string> JobController::JobsWithEndingLease() const {
  return impl_->JobsWithEndingLease();
}
bool JobController::IsCancellable(std::string_view key) const {
  return impl_->IsCancellable(key);
}
void JobController::PlaceTasks() {
  impl_->PlaceTasks();
}

void JobController::Tick() {
  impl_->Tick();
}
std::vector<RememberedKey> JobController::ExportKeys() const {
  return impl_->ExportKeys([](std::string_view) { return true; });
}
std::vector<RememberedKey> JobController::ExportKeysInRanges(
    const std::vector<uint32_t>& ranges) const {
  const absl::flat_hash_set<uint32_t> wanted(ranges.begin(), ranges.end());
  return impl_->ExportKeys([&wanted](std::string_view key) {
    return wanted.contains(KeyRange(key));
  });
}
void JobController::Import(const std::vector<RememberedKey>& keys) {
  impl_->Import(keys);
}
size_t JobController::jobs_in_progress() const {
  return impl_->jobs_in_progress();
}
size_t JobController::remembered_keys() const {
  return impl_->remembered_keys();
}

}  // namespace radishrail
