#ifndef RADISHRAIL_UPSTREAM_CLIENT_H_
#define RADISHRAIL_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/job_lease.h"

namespace radishrail {

// One attempt to start a task on an upstream.
struct TaskStart {
  std::string job_key;
  std::string task_id;
  int attempt = 1;
  std::string kind;
  std::string payload;
  std::string vm;       // name of the upstream
  std::string address;  // "ip:port" of the upstream
  // The client checks `start_by_monotonic` again right before it sends.
  absl::Time start_by_monotonic;
  absl::Time start_by_wall;
  // Time after which the outcome is reported as unknown.
  absl::Duration timeout;
  // Run time, learned or declared; zero: unknown.
  absl::Duration expected_run = absl::ZeroDuration();
  // The run must have ended when it expires; null: the run has no such limit.
  std::shared_ptr<const JobLease> lease;
};

enum class TaskOutcome {
  kDone,
  kFailed,      // the upstream ran it and reported a failure
  kNotStarted,  // certainly not started: not sent, or the upstream said so
  kEnded,       // may have started, certainly no longer running, no result
  kUnknown,     // may have started and may still be running
};

struct TaskResult {
  TaskOutcome outcome = TaskOutcome::kUnknown;
  std::string output;
  Error error;
  absl::Duration run_time = absl::ZeroDuration();  // measured by the upstream
  bool upstream_leaving = false;
};

// Starts tasks on upstreams and reports their results.
class UpstreamClient {
 public:
  using Callback = std::function<void(TaskResult)>;

  virtual ~UpstreamClient() = default;
  // False if a run that starts on the upstream now could outlast `lease`.
  virtual bool CanStart(const std::string& /*vm*/,
                        const JobLease& /*lease*/) const {
    return true;
  }
  // Does not block; `callback` runs exactly once, on the control thread.
  virtual void Start(TaskStart start, Callback callback) = 0;
  // Requests the stop of a started run; its callback still runs. Does nothing
  // if the upstreams cannot stop tasks.
  virtual void StopRun(const std::string& /*job_key*/,
                       const std::string& /*task_id*/,
                       int /*attempt*/) {}
};

}  // namespace radishrail

#endif  // RADISHRAIL_UPSTREAM_CLIENT_H_
