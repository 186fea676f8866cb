#include "request_filters.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "radishrail/job_json.h"

namespace radishrail::internal {

namespace {

// A request passes the entry daemon, a daemon of the key's failure domain and
// the owner; one more hop allows for an outdated view of the ownership.
constexpr uint32_t kMaxHops = 3;
// Time for the response to return after the job's deadline.
constexpr absl::Duration kForwardMargin = absl::Seconds(2);
constexpr absl::Duration kLookupTimeout = absl::Seconds(5);
constexpr absl::Duration kStartingRetryAfter = absl::Seconds(2);
constexpr std::string_view kTrialSuffix = "@trial";

Error NotFound() {
  return {ErrorCode::kNotFound, Step::kDeduplication, "",
          "no job with this key is remembered"};
}

// "booking@trial" names the trial document of "booking".
std::pair<std::string_view, Stage> SplitEnvironment(std::string_view name) {
  if (name.ends_with(kTrialSuffix)) {
    name.remove_suffix(kTrialSuffix.size());
    return {name, Stage::kTrial};
  }
  return {name, Stage::kProduction};
}

// Refuses a submission at the owner of its key: the job certainly has not run.
void RespondNotRun(RequestContext& context,
                   const Error& error,
                   absl::Duration retry_after) {
  const auto& job = context.request.job;
  context.respond(job.has_value()
                      ? AnswerResponse(NotRunAnswer(*job, error, retry_after))
                      : ErrorResponse(error, retry_after));
}

// Refuses a request at a daemon that cannot know the outcome of earlier
// submissions of the key. The tasks are unknown; the request is safe to repeat.
void RespondUnknown(RequestContext& context,
                    const Error& error,
                    absl::Duration retry_after) {
  const auto& job = context.request.job;
  if (!job.has_value()) {
    context.respond(ErrorResponse(error, retry_after));
    return;
  }
  JobAnswer answer = UnknownAnswer(*job, error);
  answer.retry_after = retry_after;
  context.respond(AnswerResponse(answer));
}

}  // namespace

bool KeyFilter::Apply(RequestContext& context) {
  const CallerRequest& request = context.request;
  if (request.body.size() > max_body_bytes_) {
    context.respond(ErrorResponse(
        {ErrorCode::kTooLarge, Step::kReceive, "",
         absl::StrCat("body has ", request.body.size(), " bytes; at most ",
                      max_body_bytes_, " are allowed")}));
    return false;
  }
  Error error;
  context.key = ParseJobKey(request.key, failure_domains_, &error);
  if (!context.key.has_value()) {
    context.respond(ErrorResponse(error));
    return false;
  }
  return true;
}

bool ParsingFilter::Apply(RequestContext& context) {
  CallerRequest& request = context.request;
  if (request.method != ForwardMethod::kSubmit) {
    return true;
  }
  ParseCallerRequest(request);
  if (!request.job.has_value()) {
    context.respond(ErrorResponse(request.parse_error));
    return false;
  }
  return true;
}

bool EnvironmentFilter::Apply(RequestContext& context) {
  if (context.request.method != ForwardMethod::kSubmit) {
    return true;
  }
  const JobSpec& job = *context.request.job;
  const auto [name, stage] = SplitEnvironment(job.environment);
  context.document = documents_.Find(name, stage);
  if (context.document == nullptr && !documents_.ready()) {
    RespondUnknown(context,
                   {ErrorCode::kNotReady, Step::kEnvironment, "",
                    "the daemon has no environment documents yet"},
                   kStartingRetryAfter);
    return false;
  }
  // An unknown environment and a wrong token give the same error, so that
  // callers cannot find out which environments exist.
  if (context.document == nullptr ||
      !context.document->document.AllowsToken(context.request.token)) {
    context.respond(
        ErrorResponse({ErrorCode::kUnauthenticated, Step::kAuthentication, "",
                       absl::StrCat("the token is not valid for environment \"",
                                    job.environment, "\"")}));
    return false;
  }
  return true;
}

bool DeduplicationFilter::AllowsToken(const RequestContext& context) const {
  const auto answer = jobs_.Find(context.request.key);
  if (!answer.has_value()) {
    return false;
  }
  const auto [name, stage] = SplitEnvironment(answer->environment);
  const auto document = documents_.Find(name, stage);
  return document != nullptr &&
         document->document.AllowsToken(context.request.token);
}

bool DeduplicationFilter::Apply(RequestContext& context) {
  CallerRequest& request = context.request;
  if (!jobs_.HasKey(request.key)) {
    return true;
  }
  if (request.method == ForwardMethod::kSubmit) {
    jobs_.Join(*request.job,
               [respond = context.respond](const JobAnswer& answer) {
                 // A conflict is not an answer of the job of the key, which
                 // may have run for the other request.
                 respond(answer.error.code == ErrorCode::kConflict
                             ? ErrorResponse(answer.error)
                             : AnswerResponse(answer));
               });
    return false;
  }
  // A job of another environment is reported as not found.
  if (!AllowsToken(context)) {
    context.respond(ErrorResponse(NotFound()));
    return false;
  }
  if (request.method == ForwardMethod::kCancel) {
    jobs_.Cancel(request.key);
  }
  context.respond(AnswerResponse(*jobs_.Find(request.key)));
  return false;
}

OwnershipFilter::OwnershipFilter(const OwnershipController& ownership,
                                 Forwarder& forwarder,
                                 Metrics& metrics,
                                 Timeline& timeline)
    : ownership_(ownership),
      forwarder_(forwarder),
      timeline_(timeline),
      not_run_(metrics.counter("radishrail_ownership_not_run_total",
                               "Requests refused because no daemon may accept "
                               "their key now")),
      unknown_(metrics.counter("radishrail_ownership_unknown_total",
                               "Requests whose key a former owner may have "
                               "accepted")) {}

void OwnershipFilter::ForwardTo(const MemberRecord& target,
                                RequestContext& context) {
  Event event;
  event.type = EventType::kJobForwarded;
  event.job = context.request.key;
  event.peer = target.vm;
  timeline_.Record(std::move(event));
  const absl::Duration timeout =
      context.request.job.has_value()
          ? context.request.job->deadline + kForwardMargin
          : kLookupTimeout;
  forwarder_.Forward(target, std::move(context.request), timeout,
                     std::move(context.respond));
}

bool OwnershipFilter::Apply(RequestContext& context) {
  const OwnershipDecision decision = ownership_.Resolve(*context.key);
  switch (decision.verdict) {
    case OwnershipVerdict::kAccept:
      context.decided_at = decision.decided_at;
      return true;
    case OwnershipVerdict::kForward:
      if (context.request.hops < kMaxHops) {
        ForwardTo(decision.target, context);
      } else {
        RespondUnknown(
            context,
            {ErrorCode::kNoOwner, Step::kOwnership, decision.target.vm,
             "the daemons do not agree on the owner of the key yet"},
            kStartingRetryAfter);
      }
      return false;
    case OwnershipVerdict::kNotRun:
      not_run_.Add();
      RespondNotRun(context, decision.error, decision.retry_after);
      return false;
    case OwnershipVerdict::kUnknown:
      unknown_.Add();
      RespondUnknown(context, decision.error, decision.retry_after);
      return false;
  }
  return false;
}

bool AdmissionFilter::Apply(RequestContext& context) {
  if (context.request.method != ForwardMethod::kSubmit) {
    context.respond(ErrorResponse(NotFound()));
    return false;
  }
  if (!accepting_()) {
    RespondNotRun(context,
                  {ErrorCode::kDraining, Step::kAdmission, "",
                   "the daemon is starting or shutting down"},
                  kStartingRetryAfter);
    return false;
  }
  jobs_.Accept(
      std::move(*context.request.job), std::move(context.document),
      [respond = context.respond](const JobAnswer& answer) {
        respond(AnswerResponse(answer));
      },
      context.decided_at);
  return false;
}

}  // namespace radishrail::internal
