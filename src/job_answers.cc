#include "radishrail/job_answers.h"

namespace radishrail {

namespace {

JobAnswer AnswerWithoutRun(const JobSpec& job,
                           JobStatus status,
                           TaskStatus task_status,
                           const Error& error,
                           TaskErrors task_errors) {
  JobAnswer answer;
  answer.key = job.key;
  answer.environment = job.environment;
  answer.status = status;
  answer.error = error;
  answer.tasks.reserve(job.tasks.size());
  for (const auto& it : job.tasks) {
    answer.tasks.push_back(
        {it.id, task_status, "",
         task_errors == TaskErrors::kRepeated ? error : Error()});
  }
  return answer;
}

}  // namespace

JobAnswer NotRunAnswer(const JobSpec& job,
                       const Error& error,
                       absl::Duration retry_after,
                       TaskErrors task_errors) {
  JobAnswer answer = AnswerWithoutRun(job, JobStatus::kNotRun,
                                      TaskStatus::kNotRun, error, task_errors);
  answer.retry_after = retry_after;
  return answer;
}

JobAnswer UnknownAnswer(const JobSpec& job, const Error& error) {
  return AnswerWithoutRun(job, JobStatus::kFailed, TaskStatus::kUnknown, error,
                          TaskErrors::kRepeated);
}

bool IsRefusal(const JobAnswer& answer) {
  if (answer.status != JobStatus::kNotRun) {
    return false;
  }
  switch (answer.error.code) {
    case ErrorCode::kCancelled:
    // The pool may be running a job with the same key.
    case ErrorCode::kConflict:
    case ErrorCode::kConnectionBroken:
    case ErrorCode::kUpstreamFailed:
    case ErrorCode::kOutcomeUnknown:
      return false;
    default:
      return true;
  }
}

}  // namespace radishrail
