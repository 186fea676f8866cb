#ifndef RADISHRAIL_JOB_CONTROLLER_H_
#define RADISHRAIL_JOB_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrail/clock.h"
#include "radishrail/document_controller.h"
#include "radishrail/job.h"
#include "radishrail/job_key.h"
#include "radishrail/metrics.h"
#include "radishrail/peer_message.h"
#include "radishrail/random.h"
#include "radishrail/scheduler.h"
#include "radishrail/timeline.h"
#include "radishrail/upstream_client.h"
#include "radishrail/upstream_registry.h"

namespace radishrail {

// The job table of a daemon: deduplication, task states, dispatch to upstreams,
// retries, cancellation and retained answers. Invariants: a task is dispatched
// again only after a result `kNotStarted` or, if it is restartable, after a run
// that certainly ended; a job is answered only when every task has a final
// status. Single-threaded.
class JobController {
 public:
  // Called once, with the final answer.
  using AnswerCallback = std::function<void(const JobAnswer&)>;

  JobController(const Clock& clock,
                Random& random,
                Scheduler& scheduler,
                UpstreamRegistry& upstreams,
                UpstreamClient& client,
                Metrics& metrics,
                Timeline& timeline);
  ~JobController();

  // True if the key is remembered, whatever its body.
  bool HasKey(std::string_view key) const;
  // Joins a remembered job: calls back with its final answer, or immediately
  // with a conflict error if the body or the environment differs. Returns false
  // if the key is not remembered.
  bool Join(const JobSpec& job, AnswerCallback callback);
  // Accepts a new job, or refuses all of it (`kNotRun`) without remembering it.
  // The caller must have decided that this daemon owns the key in the same turn
  // of the control thread. An accepted job that ends as `kNotRun` is forgotten
  // too, unless it was cancelled. The answer is unknown while runs of an
  // earlier job with the key may not have ended. `decided_at` is the time of
  // the ownership decision: a pause between the decision and this call shortens
  // the time in which tasks may start.
  void Accept(JobSpec job,
              std::shared_ptr<const VersionedDocument> document,
              AnswerCallback callback,
              absl::Time decided_at = absl::InfiniteFuture());
  // The current state of a job; nullopt if the key is not remembered. Only the
  // final answer includes outputs.
  std::optional<JobAnswer> Find(std::string_view key) const;
  // Drops queued tasks and requests the stop of running tasks that are
  // restartable; the job ends when no task is running. `reason` is the error
  // code of the answer, `cause` is recorded. Returns false if the key is not
  // remembered.
  bool Cancel(std::string_view key,
              ErrorCode reason = ErrorCode::kCancelled,
              std::string_view cause = {});
  // Ends all jobs that have queued tasks, since no task may be placed for long.
  // Those of which no task was dispatched are refused as not run; of the others
  // the running tasks are stopped, and the outcome is unknown. Returns the
  // number of jobs.
  size_t EndQueuedJobs(const std::string& detail);
  // Keys of the jobs in progress whose lease expires soon. Cancel them, so that
  // their runs are stopped before.
  std::vector<std::string> JobsWithEndingLease() const;
  // True if `Cancel` would cancel the job: it is in progress and can complete.
  bool IsCancellable(std::string_view key) const;

  // Places tasks, ends jobs past their deadline, forgets keys past the
  // resubmission window. Call it after each event and at least every 10 ms
  // while jobs are in progress. Also records the state transitions of the
  // upstream registry in the timeline.
  void Tick();
  // Places queued tasks on free slots. Call it after each task ends, so that
  // its slot is not idle until the next `Tick`. Does nothing if called while
  // tasks are being placed.
  void PlaceTasks();

  // All remembered range-bound keys, for a handover.
  std::vector<RememberedKey> ExportKeys() const;
  // The same for the keys in `ranges` only.
  std::vector<RememberedKey> ExportKeysInRanges(
      const std::vector<uint32_t>& ranges) const;
  // Imports keys of a former owner. A key whose job was not finished is
  // answered with unknown tasks.
  void Import(const std::vector<RememberedKey>& keys);

  size_t jobs_in_progress() const;
  size_t remembered_keys() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_CONTROLLER_H_
