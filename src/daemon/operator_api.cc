#include "operator_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "http_json.h"
#include "json_text.h"
#include "radishrail/document.h"
#include "radishrail/job_json.h"
#include "radishrail/log.h"

namespace radishrail {

namespace {

constexpr std::string_view kEnvironmentPrefix = "/v1/environments/";

Error InvalidArgument(std::string detail) {
  return {ErrorCode::kInvalidArgument, Step::kParsing, "", std::move(detail)};
}

Error NoResource(std::string_view path) {
  return {ErrorCode::kNotFound, Step::kReceive, "",
          std::string("no resource at ").append(path)};
}

std::string_view OutcomeName(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kRejected:
      return "rejected";
    case ChangeOutcome::kUnknown:
      break;
  }
  return "unknown";
}

DocumentController::ChangeCallback ChangeResponder(HttpResponder respond) {
  return [respond = std::move(respond)](const ChangeResult& result) {
    nlohmann::ordered_json body;
    body["outcome"] = OutcomeName(result.outcome);
    body["version"] = result.version;
    body["revision"] = result.revision;
    if (!result.error.ok()) {
      body["error"] =
          nlohmann::ordered_json::parse(ErrorToJson(result.error))["error"];
    }
    const int status = result.outcome == ChangeOutcome::kAccepted ? 200
                       : result.outcome == ChangeOutcome::kUnknown
                           ? 504
                           : HttpStatusOf(result.error);
    respond(JsonResponse(status, internal::JsonText(body)));
  };
}

nlohmann::ordered_json StatusToJson(const EnvironmentStatus& status) {
  return {{"environment", status.environment},
          {"trial_version", status.trial_version},
          {"production_version", status.production_version},
          {"last_version", status.last_version},
          {"revision", status.revision}};
}

}  // namespace

OperatorApi::OperatorApi(std::string token,
                         Executor& control,
                         Node& node,
                         Metrics& metrics,
                         Timeline& timeline)
    : token_(std::move(token)),
      control_(control),
      node_(node),
      metrics_(metrics),
      timeline_(timeline) {}

bool OperatorApi::HandlePublic(const HttpRequest& request,
                               const HttpResponder& respond) {
  if (request.path == "/healthz") {
    // Answered by the control thread, so that the probe fails if that thread is
    // blocked.
    control_.Post([respond] { respond(JsonResponse(200, "{\"live\":true}")); });
    return true;
  }
  if (request.path == "/readyz") {
    control_.Post([this, respond] {
      const bool ready = node_.ready();
      respond(JsonResponse(ready ? 200 : 503,
                           ready ? "{\"ready\":true}" : "{\"ready\":false}"));
    });
    return true;
  }
  if (request.path == "/metrics") {
    RecordDroppedLogLines(metrics_);
    HttpResponse response = JsonResponse(200, metrics_.Render());
    response.content_type = "text/plain; version=0.0.4";
    respond(std::move(response));
    return true;
  }
  return false;
}

void OperatorApi::Handle(HttpRequest request, HttpResponder respond) {
  if (HandlePublic(request, respond)) {
    return;
  }
  if (!SecretsEqual(BearerToken(request), token_)) {
    respond(JsonError({ErrorCode::kUnauthenticated, Step::kAuthentication, "",
                       "the operator token is missing or wrong"}));
    return;
  }
  if (request.path == "/v1/timeline") {
    int64_t since_ms = 0;
    const std::string since(request.Query("since_ms"));
    if (!since.empty() && !absl::SimpleAtoi(since, &since_ms)) {
      respond(JsonError(InvalidArgument(
          "since_ms must be a time in milliseconds since 1970")));
      return;
    }
    respond(JsonResponse(
        200, EventsToJson(timeline_.Select(request.Query("job"),
                                           absl::FromUnixMillis(since_ms)))));
    return;
  }
  if (request.path == "/v1/fleet") {
    control_.Post(
        [this, respond] { respond(JsonResponse(200, node_.FleetJson())); });
    return;
  }
  if (request.path == "/v1/drain" && request.method == "POST") {
    control_.Post([this, respond] {
      node_.BeginDrain();
      respond(JsonResponse(202, "{\"draining\":true}"));
    });
    return;
  }
  if (request.path == "/v1/environments" && request.method == "GET") {
    ListEnvironments(std::move(respond));
    return;
  }
  if (auto rest = PathAfter(request.path, kEnvironmentPrefix)) {
    HandleEnvironment(std::move(request), std::move(respond), *rest);
    return;
  }
  respond(JsonError(NoResource(request.path)));
}

void OperatorApi::HandleEnvironment(HttpRequest request,
                                    HttpResponder respond,
                                    const std::string& rest) {
  const size_t slash = rest.find('/');
  std::string name = rest.substr(0, slash);
  const std::string action =
      slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  if (action.empty() && request.method == "GET") {
    ShowEnvironment(request, std::move(respond), std::move(name));
  } else if (action == "trial" && request.method == "PUT") {
    PutTrial(std::move(request), std::move(respond), std::move(name));
  } else if (action == "promote" && request.method == "POST") {
    Promote(request, std::move(respond), std::move(name));
  } else {
    respond(JsonError(NoResource(request.path)));
  }
}

void OperatorApi::ListEnvironments(HttpResponder respond) {
  control_.Post([this, respond = std::move(respond)] {
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const auto& it : node_.documents().List()) {
      list.push_back(StatusToJson(it));
    }
    respond(JsonResponse(200, internal::JsonText(list)));
  });
}

void OperatorApi::ShowEnvironment(const HttpRequest& request,
                                  HttpResponder respond,
                                  std::string name) {
  const std::string_view stage_name = request.Query("stage");
  const auto stage =
      stage_name.empty() ? Stage::kProduction : StageFromName(stage_name);
  if (!stage.has_value()) {
    respond(JsonError(
        InvalidArgument("stage must be \"trial\" or \"production\"")));
    return;
  }
  control_.Post([this, respond = std::move(respond), name = std::move(name),
                 stage = *stage] {
    const auto document = node_.documents().Find(name, stage);
    if (document == nullptr) {
      respond(JsonError(
          {ErrorCode::kNotFound, Step::kDocument, "",
           absl::StrCat("environment \"", name, "\" has no ",
                        stage == Stage::kTrial ? "trial" : "production",
                        " document")}));
      return;
    }
    nlohmann::ordered_json body;
    body["environment"] = name;
    body["stage"] = StageName(stage);
    body["version"] = document->version;
    body["revision"] = document->revision;
    body["document"] =
        nlohmann::ordered_json::parse(document->body, nullptr, false);
    respond(JsonResponse(200, internal::JsonText(body)));
  });
}

void OperatorApi::PutTrial(HttpRequest request,
                           HttpResponder respond,
                           std::string name) {
  std::string operation(request.Query("operation"));
  if (operation.empty()) {
    respond(JsonError(InvalidArgument(
        "the query parameter operation (an id of this change) is missing")));
    return;
  }
  control_.Post([this, respond = std::move(respond), name = std::move(name),
                 body = std::move(request.body),
                 operation = std::move(operation)]() mutable {
    node_.documents().PutTrial(name, body, operation,
                               ChangeResponder(std::move(respond)));
  });
}

void OperatorApi::Promote(const HttpRequest& request,
                          HttpResponder respond,
                          std::string name) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const bool valid =
      body.is_object() && body.size() == 3 && body.contains("version") &&
      body["version"].is_number_integer() && body.contains("replaces") &&
      body["replaces"].is_number_integer() && body.contains("operation") &&
      body["operation"].is_string();
  if (!valid) {
    respond(JsonError(InvalidArgument(
        "the body must be {\"version\": integer, \"replaces\": integer, "
        "\"operation\": string}")));
    return;
  }
  control_.Post([this, respond = std::move(respond), name = std::move(name),
                 body]() mutable {
    node_.documents().Promote(name, body["version"].get<int64_t>(),
                              body["replaces"].get<int64_t>(),
                              body["operation"].get<std::string>(),
                              ChangeResponder(std::move(respond)));
  });
}

}  // namespace radishrail
