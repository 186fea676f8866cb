#ifndef RADISHRAIL_JOB_H_
#define RADISHRAIL_JOB_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/job_lease.h"

namespace radishrail {

inline constexpr size_t kMaxJobBodyBytes = 4 * 1024 * 1024;
inline constexpr size_t kMaxTasksPerJob = 512;
inline constexpr size_t kMaxNameBytes = 128;
inline constexpr absl::Duration kMinDeadline = absl::Milliseconds(1);
// Callers may resubmit a job with the same key within this time.
inline constexpr absl::Duration kResubmissionWindow = absl::Seconds(600);
// 30 s less than the resubmission window, so that no task starts after the
// window in which its key is remembered.
inline constexpr absl::Duration kMaxDeadline = absl::Seconds(570);

enum class TaskStatus {
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kNotRun,
  kUnknown,
  kMaxValue = kUnknown,
};

enum class JobStatus {
  kRunning,
  kComplete,
  kFailed,
  kNotRun,
  kMaxValue = kNotRun,
};

std::string_view TaskStatusName(TaskStatus status);
std::optional<TaskStatus> TaskStatusFromName(std::string_view name);
std::string_view JobStatusName(JobStatus status);
std::optional<JobStatus> JobStatusFromName(std::string_view name);

// Resources that a task requires or that an upstream offers.
struct Resources {
  int64_t cpu_millis = 0;  // thousandths of a core
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  friend bool operator==(const Resources&, const Resources&) = default;
};

// The scheduler counts resources in slots. `SlotsNeeded` rounds up and
// `SlotsOffered` rounds down, so that tasks whose slots fit on an upstream also
// fit into its CPU and memory.
inline constexpr int64_t kCpuMillisPerSlot = 250;
inline constexpr int64_t kMemoryMbPerSlot = 512;
int SlotsNeeded(const Resources& resources);
int SlotsOffered(const Resources& resources);

// One task as the caller described it. Declared values are hints only.
struct TaskSpec {
  std::string id;
  std::string kind;
  std::string payload;
  absl::Duration declared_run = absl::ZeroDuration();  // zero: not declared
  int declared_slots = 1;
  std::string preferred_rack = {};  // where its data is stored; empty: none
  bool idempotent = false;
  // Number of failed runs after which the task fails. The next run starts only
  // after the previous one has certainly ended.
  int max_failures = 1;
  // The upstream reports how each run ended, so that the task may be run again
  // after a run was stopped or lost with its upstream.
  bool restartable = false;
};

// One job as the caller submitted it.
struct JobSpec {
  std::string key;
  std::string environment;
  std::string team;
  absl::Duration deadline = absl::Seconds(30);
  // Promised response time of this job; zero: that of the environment.
  absl::Duration promised = absl::ZeroDuration();
  // Class of the upstreams that may run it; empty: those of the environment.
  std::string upstream_class;
  int priority = 0;  // of its environment; 0 is served first
  // Payload of tasks that have none of their own.
  std::string payload;
  // The caller waits for the answer and never requests it again, so the key is
  // forgotten as soon as the job has ended.
  bool best_effort = false;
  // Limits the runs of its tasks; null: they have no such limit.
  std::shared_ptr<const JobLease> lease;
  std::vector<TaskSpec> tasks;
  // xxHash64 of the canonical body; a resubmission must have the same.
  uint64_t body_hash = 0;
};

struct TaskAnswer {
  std::string id;
  TaskStatus status = TaskStatus::kQueued;
  std::string output;
  Error error;
};

// The answer to a job; final unless `status` is `kRunning`. `tasks` has one
// entry for each submitted task, in the order of submission.
struct JobAnswer {
  std::string key;
  std::string environment;
  JobStatus status = JobStatus::kRunning;
  int64_t document_version = 0;
  std::vector<TaskAnswer> tasks;
  Error error;
  absl::Duration retry_after = absl::ZeroDuration();
};

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_H_
