#include "radishrail/filter.h"

#include <utility>

#include "radishrail/job_json.h"

namespace radishrail {

void ParseCallerRequest(CallerRequest& request) {
  if (request.method == ForwardMethod::kSubmit && !request.job.has_value() &&
      request.parse_error.ok()) {
    request.job = ParseJob(request.body, request.key, &request.parse_error);
  }
}

FilterChain::FilterChain(std::vector<std::unique_ptr<RequestFilter>> filters)
    : filters_(std::move(filters)) {}

void FilterChain::Run(RequestContext context) {
  for (const auto& it : filters_) {
    if (!it->Apply(context)) {
      return;
    }
  }
}

CallerResponse ErrorResponse(const Error& error, absl::Duration retry_after) {
  return {HttpStatusOf(error), ErrorToJson(error), retry_after,
          IsTransient(error)};
}

CallerResponse AnswerResponse(const JobAnswer& answer) {
  return {HttpStatusOf(answer), JobAnswerToJson(answer), answer.retry_after,
          answer.status != JobStatus::kComplete && IsTransient(answer.error)};
}

bool IsTransient(const Error& error) {
  // Errors of the job itself have other steps.
  if (error.step != Step::kOwnership && error.step != Step::kForward &&
      error.step != Step::kAdmission && error.step != Step::kEnvironment) {
    return false;
  }
  switch (error.code) {
    case ErrorCode::kNoOwner:
    case ErrorCode::kLeaseInvalid:
    case ErrorCode::kNotReady:
    case ErrorCode::kDraining:
    case ErrorCode::kUnreachable:
      return true;
    default:
      return false;
  }
}

}  // namespace radishrail
