#include "caller_api.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http_json.h"
#include "json_text.h"

namespace radishrail {

namespace {

constexpr std::string_view kJobPrefix = "/v1/jobs/";

std::optional<ForwardMethod> MethodOf(std::string_view method) {
  if (method == "PUT" || method == "POST") {
    return ForwardMethod::kSubmit;
  }
  if (method == "GET") {
    return ForwardMethod::kStatus;
  }
  if (method == "DELETE") {
    return ForwardMethod::kCancel;
  }
  return std::nullopt;
}

// "Retry-After" has whole seconds; the body has milliseconds.
HttpResponse ToHttp(const CallerResponse& response) {
  HttpResponse http = JsonResponse(response.http_status, response.body);
  if (response.retry_after > absl::ZeroDuration()) {
    const auto seconds = static_cast<int64_t>(
        std::ceil(absl::ToDoubleSeconds(response.retry_after)));
    http.headers.emplace_back("Retry-After", absl::StrCat(seconds));
  }
  return http;
}

}  // namespace

CallerApi::CallerApi(Executor& control, Node& node, Metrics& metrics)
    : control_(control),
      node_(node),
      rejected_(metrics.counter("radishrail_caller_rejected_total",
                                "Callers' requests that were rejected before "
                                "they reached the control thread")),
      response_time_(metrics.histogram("radishrail_caller_response_seconds",
                                       "Time from the receipt of a submission "
                                       "to its response")) {}

void CallerApi::Handle(HttpRequest request, HttpResponder respond) {
  if (request.path == "/v1/keys" && request.method == "POST") {
    HandleKey(std::move(respond));
    return;
  }
  if (auto key = PathAfter(request.path, kJobPrefix)) {
    HandleJob(std::move(request), std::move(respond), *std::move(key));
    return;
  }
  if (request.path == "/v1/jobs" && request.method == "POST") {
    std::string key(request.Header("Idempotency-Key"));
    if (!key.empty()) {
      HandleJob(std::move(request), std::move(respond), std::move(key));
      return;
    }
    rejected_.Add();
    respond(JsonError({ErrorCode::kInvalidArgument, Step::kParsing, "",
                       "POST /v1/jobs needs the header Idempotency-Key; get a "
                       "key with POST /v1/keys or choose one"}));
    return;
  }
  rejected_.Add();
  respond(JsonError({ErrorCode::kNotFound, Step::kReceive, "",
                     absl::StrCat("no resource at ", request.path)}));
}

void CallerApi::HandleKey(HttpResponder respond) {
  control_.Post([this, respond = std::move(respond)] {
    const std::string key = node_.MintKey();
    respond(key.empty()
                ? JsonError({ErrorCode::kDraining, Step::kOwnership, "",
                             "the daemon is shutting down"})
                : JsonResponse(
                      200, internal::JsonText(nlohmann::json({{"key", key}}))));
  });
}

void CallerApi::HandleJob(HttpRequest request,
                          HttpResponder respond,
                          std::string key) {
  const absl::Time start = absl::Now();
  const auto method = MethodOf(request.method);
  if (!method.has_value()) {
    rejected_.Add();
    respond(JsonError({ErrorCode::kInvalidArgument, Step::kReceive, "",
                       "allowed methods are PUT, POST, GET and DELETE"}));
    return;
  }
  CallerRequest call;
  call.method = *method;
  call.key = std::move(key);
  call.token = BearerToken(request);
  if (call.token.empty()) {
    rejected_.Add();
    respond(JsonError({ErrorCode::kUnauthenticated, Step::kAuthentication, "",
                       "the header \"Authorization: Bearer TOKEN\" is "
                       "missing"}));
    return;
  }
  call.body = std::move(request.body);
  ParseCallerRequest(call);
  if (!call.parse_error.ok()) {
    rejected_.Add();
    respond(JsonError(call.parse_error));
    return;
  }
  const bool submission = call.method == ForwardMethod::kSubmit;
  control_.Post([this, call = std::move(call), respond = std::move(respond),
                 submission, start]() mutable {
    node_.HandleCaller(std::move(call),
                       [this, respond = std::move(respond), submission,
                        start](const CallerResponse& response) {
                         if (submission) {
                           response_time_.Record(absl::Now() - start);
                         }
                         respond(ToHttp(response));
                       });
  });
}

}  // namespace radishrail
