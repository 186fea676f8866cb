#ifndef RADISHRAIL_POOL_DISPATCHER_H_
#define RADISHRAIL_POOL_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/cancelled_keys.h"
#include "radishrail/clock.h"
#include "radishrail/crash_table.h"
#include "radishrail/decision_log.h"
#include "radishrail/expiring_key_set.h"
#include "radishrail/job_controller.h"
#include "radishrail/leased_upstream_client.h"
#include "radishrail/metrics.h"
#include "radishrail/random.h"
#include "radishrail/run_trace.h"
#include "radishrail/runner_transport.h"
#include "radishrail/scheduler.h"
#include "radishrail/timeline.h"
#include "radishrail/upstream_registry.h"

namespace radishrail {

// Why a job is cancelled, for the log. Fields that do not apply are empty or
// zero.
struct CancelCause {
  std::string_view reason;
  std::string_view entry = {};  // address of the entry daemon
  uint64_t request = 0;         // the entry daemon's number of the job
  uint64_t oldest_request = 0;  // that the entry daemon has not given up
  // Age of the entry daemon's last message.
  std::optional<absl::Duration> entry_silence = std::nullopt;
};

// The owner's side of a pool: job table, scheduler, upstreams and their leases.
// Single-threaded.
class PoolDispatcher {
 public:
  PoolDispatcher(const std::string& failure_domain,
                 const LeaseSettings& lease,
                 const Clock& clock,
                 Random& random,
                 RunnerTransport& transport,
                 std::unique_ptr<Scheduler> scheduler,
                 Metrics& metrics,
                 Timeline& timeline,
                 DecisionLog& log,
                 std::function<void(const std::string& pool)> on_fenced);

  void SetRunners(std::vector<LeasedUpstreamClient::OwnedRunner> runners);
  // True if the runner responds and executes no run of a former owner.
  bool Usable(const std::string& vm) const { return client_.Usable(vm); }

  void Submit(JobSpec job,
              std::shared_ptr<const VersionedDocument> document,
              JobController::AnswerCallback callback);
  // Cancels a job. If its caller requested that, a submission that arrives
  // later is not run either. Returns false if the job is not in progress.
  bool Cancel(const std::string& key,
              ErrorCode reason,
              const CancelCause& cause = {});
  // As `JobController::EndQueuedJobs`.
  size_t EndQueuedJobs(const std::string& detail) {
    return jobs_.EndQueuedJobs(detail);
  }
  // Number of tasks on the runners of a failure domain.
  size_t RunsIn(const std::string& failure_domain) const {
    return client_.RunsIn(failure_domain);
  }
  // True if the caller of a job with the key has cancelled it.
  bool IsCancelled(const std::string& key) const {
    return cancelled_.Contains(key);
  }
  // Keys that callers have cancelled, to be sent to peers and received from
  // them.
  std::vector<CancelledKey> KeysForPeer() const { return cancelled_.Encode(); }
  void OnPeerCancelledKeys(const std::vector<CancelledKey>& keys);
  // True if the runner has answered under the present fence of its pool, so
  // that it obeys no former owner.
  bool HasAnswered(const std::string& vm) const {
    return client_.HasAnswered(vm);
  }
  std::vector<std::string> JobsWithEndingLease() const {
    return jobs_.JobsWithEndingLease();
  }
  // True if a job with the key was cancelled within the last seconds.
  bool WasCancelled(const std::string& key) const {
    return recently_cancelled_.Contains(key);
  }

  // Runs what is due; returns the time of the next call. If the last call is
  // too long ago, the process was paused and no task is started until the next
  // call: callers that disconnected and owners that changed during the pause
  // must be processed first.
  absl::Time Tick();
  // True if the last call of `Tick` is too long ago.
  bool paused() const;
  SchedulerLoad load() const { return scheduler_->load(); }
  std::vector<RoomForSize> room() { return scheduler_->room(); }
  size_t jobs_in_progress() const { return jobs_.jobs_in_progress(); }

  // Upstreams lost under tasks, to be sent to peers and received from them.
  std::vector<RunFate> SharedFates() { return crashes_.Shared(); }
  void OnPeerFate(const RunFate& fate) {
    crashes_.RecordOfPeer(fate);
    affected_jobs_.push_back(fate.job_key);
  }

 private:
  // Forwards to `client_` and places queued tasks as soon as a task ends.
  class PlacingUpstreamClient : public UpstreamClient {
   public:
    explicit PlacingUpstreamClient(PoolDispatcher& dispatcher)
        : dispatcher_(dispatcher) {}
    bool CanStart(const std::string& vm, const JobLease& lease) const override;
    void Start(TaskStart start, Callback callback) override;
    void StopRun(const std::string& job_key,
                 const std::string& task_id,
                 int attempt) override;

   private:
    PoolDispatcher& dispatcher_;
  };

  void ApplyChanges();
  void UpdateList();
  void PlaceTasks();
  void OnFate(const RunFate& fate);
  void LogCancel(const std::string& key, const CancelCause& cause);
  // Ends jobs that may no longer run.
  void EndAffectedJobs();

  const Clock& clock_;
  std::unique_ptr<Scheduler> scheduler_;
  UpstreamRegistry registry_;
  CrashTable crashes_;
  CancelledKeys cancelled_;
  // Jobs that were cancelled for any reason, to log submissions after that.
  ExpiringKeySet recently_cancelled_;
  // Keys of jobs whose verdict may have changed.
  std::vector<std::string> affected_jobs_;
  Counter& given_up_;
  DecisionLog& log_;
  RunTrace run_trace_;
  LeasedUpstreamClient client_;
  PlacingUpstreamClient placing_upstream_client_;
  JobController jobs_;
  std::vector<LeasedUpstreamClient::OwnedRunner> runners_;
  bool list_changed_ = false;
  absl::Time last_tick_ = absl::InfinitePast();
};

}  // namespace radishrail

#endif  // RADISHRAIL_POOL_DISPATCHER_H_
