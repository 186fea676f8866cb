#ifndef RADISHRAIL_JOB_ANSWERS_H_
#define RADISHRAIL_JOB_ANSWERS_H_

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/job.h"

namespace radishrail {

// Whether each task of an answer repeats the error of its job.
enum class TaskErrors { kRepeated, kOmitted };

// Answer to a job whose tasks were not and will not be dispatched.
JobAnswer NotRunAnswer(const JobSpec& job,
                       const Error& error,
                       absl::Duration retry_after,
                       TaskErrors task_errors = TaskErrors::kRepeated);
// Answer to a job that may have been run by another daemon.
JobAnswer UnknownAnswer(const JobSpec& job, const Error& error);

// True if the job was refused, so that it may be offered to another daemon.
// False for a job that was cancelled before it ran, with any of the reasons
// that `JobController::Cancel` is called with, and for one whose key is in use.
bool IsRefusal(const JobAnswer& answer);

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_ANSWERS_H_
