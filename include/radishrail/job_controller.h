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

// The job table of a daemon: deduplication, task states, hand-over to
// upstreams, retries, cancellation and kept answers. Invariants: a task is
// handed over again only after a result `kNotStarted`; an answer is given only
// when every task has a final status. Single-threaded.
class JobController {
 public:
  // Runs once, with the whole answer.
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
  bool Knows(std::string_view key) const;
  // Joins a remembered job: calls back with its answer when it is whole, or at
  // once with a conflict error if the body or the environment differs. Returns
  // false if the key is not remembered.
  bool Join(const JobSpec& job, AnswerCallback callback);
  // Accepts a new job, or refuses it whole (`kNotRun`) without remembering it.
  // The caller has established ownership of the key in the same turn. An
  // accepted job that ends as `kNotRun` is forgotten too, unless it was
  // cancelled.
  // `decided_at` is the time of that decision: a pause between the decision and
  // this call shortens the time in which tasks may start.
  void Accept(JobSpec job,
              std::shared_ptr<const VersionedDocument> document,
              AnswerCallback callback,
              absl::Time decided_at = absl::InfiniteFuture());
  // The present state of a job; nullopt if the key is not remembered. Outputs
  // are included only when the answer is whole.
  std::optional<JobAnswer> Find(std::string_view key) const;
  // Drops queued tasks; tasks in progress are stopped where the upstream can,
  // and awaited. `reason` goes into the answer. False if not remembered.
  bool Cancel(std::string_view key, ErrorCode reason = ErrorCode::kCancelled);

  // Places tasks, ends jobs past their deadline, forgets keys past the
  // resubmission window. Call it after each event and at least every 10 ms
  // while jobs are in progress. Also moves the transitions of the upstream
  // registry to the timeline.
  void Tick();
  // Places queued tasks on free slots; the part of `Tick` that is due after the
  // end of each task. Does nothing if called while tasks are being placed.
  void PlaceTasks();

  // For a handover: all remembered range-bound keys.
  std::vector<RememberedKey> Remembered() const;
  // The same for some ranges only.
  std::vector<RememberedKey> RememberedIn(
      const std::vector<uint32_t>& ranges) const;
  // Keys of a predecessor. One that was not finished is answered "unknown".
  void Import(const std::vector<RememberedKey>& keys);

  size_t jobs_in_progress() const;
  size_t remembered_keys() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_CONTROLLER_H_
