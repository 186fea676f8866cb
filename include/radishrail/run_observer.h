#ifndef RADISHRAIL_RUN_OBSERVER_H_
#define RADISHRAIL_RUN_OBSERVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

// Identifies a run and the order that started it.
struct RunInfo {
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  std::string vm;
  uint64_t fence = 0;
};

// The stops of a run. Times are monotonic.
struct RunStops {
  absl::Time started;
  std::optional<absl::Time> requested;  // nullopt: its job was not over
  int sent = 0;
  std::optional<absl::Time> first_sent;
  std::optional<absl::Time> answered;
};

// Observes the runs of a client, for logs. Must not call the client.
class RunObserver {
 public:
  virtual ~RunObserver() = default;
  // The order to start the run is sent.
  virtual void OnRunOrdered(const RunInfo& run) = 0;
  // A run has ended after its stop was requested, or its end stays unknown.
  virtual void OnRunStopped(const RunInfo& run,
                            const RunStops& stops,
                            const TaskResult& result) = 0;
  // A runner lists a run that the client does not track: it was started by a
  // former owner, or it continues after its end was reported. It is stopped.
  virtual void OnUntrackedRun(const RunInfo& run) = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RUN_OBSERVER_H_
