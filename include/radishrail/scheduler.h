#ifndef RADISHRAIL_SCHEDULER_H_
#define RADISHRAIL_SCHEDULER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/rack_policy.h"

namespace radishrail {

// Identifies a task within a daemon: the job's local number and the task's
// position in the job.
struct TaskRef {
  uint64_t job = 0;
  uint32_t task = 0;
  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

// Small dense number of an upstream within a daemon.
using UpstreamId = uint32_t;

struct TaskDemand {
  std::string kind;
  absl::Duration declared_run = absl::ZeroDuration();
  int slots = 1;
  // Rack on which the task runs fastest; empty: none.
  std::string preferred_rack = {};
};

// The properties of a job that matter for scheduling.
struct JobDemand {
  uint64_t job = 0;
  std::string environment;
  std::string team;
  std::vector<std::string> upstream_classes;  // empty: any
  std::vector<TaskDemand> tasks;
  absl::Time promise_by;  // monotonic; arrival plus promised response time
  absl::Time start_by;    // monotonic; no task is placed later
  int team_share = 1;
  int team_max_running_tasks = 0;  // 0: no limit
  int max_queued_tasks = 0;        // of the environment; 0: no limit
  int priority = 0;                // of the environment; 0 is served first
};

struct UpstreamCapacity {
  UpstreamId upstream = 0;
  std::string upstream_class;
  std::string failure_domain;
  bool same_failure_domain = true;
  int slots = 0;          // slots that this daemon may use now
  bool accepting = true;  // false: leaving or ejected, gets no new tasks
  double speed = 1.0;     // learned, relative to the mean; higher is faster
  std::string hardware_kind = {};
  std::string rack = {};
  // The upstream started a moment ago and is slow until then; monotonic.
  absl::Time cold_until = absl::InfinitePast();
  // An upstream without tasks takes one of up to this many slots even if it has
  // fewer, so that large tasks also run while all upstreams are cold.
  int slots_if_idle = 0;
};

struct Placement {
  TaskRef task;
  UpstreamId upstream = 0;
  RackOutcome rack = RackOutcome::kNoPreference;
  absl::Duration rack_wait = absl::ZeroDuration();
  // The run is expected to take this many times as long as on the preferred
  // rack.
  double run_factor = 1;
};

struct Refusal {
  Error error;
  absl::Duration retry_after;
};

// How many tasks of a size fit now, and when the next one will.
struct RoomForSize {
  int slots = 0;  // of the task
  int fitting = 0;
  absl::Duration next = absl::ZeroDuration();  // zero while `fitting` > 0
};

struct SchedulerLoad {
  int slots = 0;                                  // of accepting upstreams
  int busy_slots = 0;                             // occupied by placed tasks
  absl::Duration backlog = absl::ZeroDuration();  // queued work per capacity
};

// Decides which jobs are admitted, which task starts next and on which
// upstream. Does no I/O; single-threaded. Calls for unknown jobs are ignored.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Admits or refuses all tasks of the job together.
  virtual std::optional<Refusal> Admit(const JobDemand& demand) = 0;
  // The next placement, or nullopt if nothing can be placed now. The slots are
  // occupied until `Finish` or `Requeue`.
  virtual std::optional<Placement> Next() = 0;
  // Requeues a placed task that certainly did not start. `not_before` delays
  // its next placement (backoff); `avoid` is not chosen for it again if another
  // upstream can run it.
  virtual void Requeue(TaskRef task,
                       absl::Time not_before,
                       std::optional<UpstreamId> avoid) = 0;
  // A placed task ended. `run_time` is nullopt unless it completed on an
  // upstream that was not cold.
  virtual void Finish(TaskRef task, std::optional<absl::Duration> run_time) = 0;
  // Removes all queued tasks of a job; amortised constant time per task. Placed
  // tasks keep their slots until `Finish`.
  virtual void Remove(uint64_t job) = 0;
  // Returns, once each, the jobs of which no task was placed yet and which can
  // no longer meet their promised response time under the current load, or
  // whose start-by time has passed. The caller removes and refuses them.
  virtual std::vector<uint64_t> TakeHopeless() = 0;

  // Adds or updates an upstream.
  virtual void SetUpstream(const UpstreamCapacity& capacity) = 0;
  virtual void RemoveUpstream(UpstreamId upstream) = 0;

  virtual SchedulerLoad load() const { return {}; }
  // Room for tasks of the sizes seen lately, by ascending size; empty: unknown.
  // Costs more than `load`: linear in the number of upstreams.
  virtual std::vector<RoomForSize> room() { return {}; }
  virtual size_t queued_tasks() const = 0;
  virtual size_t running_tasks() const = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_SCHEDULER_H_
