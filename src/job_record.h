#ifndef RADISHRAIL_SRC_JOB_RECORD_H_
#define RADISHRAIL_SRC_JOB_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "key_table.h"
#include "radishrail/document_controller.h"
#include "radishrail/error.h"
#include "radishrail/job.h"
#include "radishrail/job_controller.h"
#include "radishrail/scheduler.h"

namespace radishrail::internal {

struct Task {
  TaskStatus status = TaskStatus::kQueued;
  int attempts = 0;       // dispatches so far
  int failures = 0;       // failed runs
  bool stopping = false;  // the stop of the run was requested
  UpstreamId upstream = 0;
  uint32_t kind = 0;
  double speed = 1;       // of the upstream at dispatch
  bool cold = false;      // the upstream was cold at dispatch
  double run_factor = 1;  // see `Placement::run_factor`
  absl::Time started;
  std::string output;
  Error error;
};

// A job in progress.
struct Job {
  uint64_t number = 0;
  KeyRecord* record = nullptr;
  JobSpec spec;
  std::shared_ptr<const VersionedDocument> document;
  std::vector<Task> tasks;
  std::vector<JobController::AnswerCallback> callbacks;
  absl::Time accepted;
  absl::Time start_by;
  size_t queued = 0;
  size_t running = 0;
  size_t done = 0;
  bool dispatched = false;  // at least one task was dispatched
  bool cancelled = false;
  Error error;  // first reason why the job cannot complete
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_JOB_RECORD_H_
