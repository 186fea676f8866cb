#include "client_outcome.h"

#include <optional>

#include "absl/strings/str_cat.h"

namespace radishrail::internal {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxDetailBytes = 200;

bool HasUnknownTask(const Json& response) {
  const auto tasks = response.find("tasks");
  if (tasks == response.end() || !tasks->is_array()) {
    return false;
  }
  for (const auto& it : *tasks) {
    if (TextField(it, "status") == "unknown") {
      return true;
    }
  }
  return false;
}

ErrorCode CodeOfStatus(int http_status) {
  switch (http_status) {
    case 400:
      return ErrorCode::kInvalidArgument;
    case 401:
      return ErrorCode::kUnauthenticated;
    case 403:
      return ErrorCode::kPermissionDenied;
    case 404:
      return ErrorCode::kNotFound;
    case 409:
      return ErrorCode::kConflict;
    case 413:
      return ErrorCode::kTooLarge;
    case 429:
      return ErrorCode::kQuotaExceeded;
    case 503:
      return ErrorCode::kOverloaded;
    default:
      return ErrorCode::kProtocol;
  }
}

}  // namespace

Json ParseResponse(std::string_view body) {
  Json json = Json::parse(body.begin(), body.end(), nullptr, false);
  return json.is_discarded() ? Json() : json;
}

std::string TextField(const Json& json, const char* name) {
  if (!json.is_object()) {
    return {};
  }
  const auto it = json.find(name);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

int64_t NumberField(const Json& json, const char* name) {
  if (!json.is_object()) {
    return 0;
  }
  const auto it = json.find(name);
  return it != json.end() && it->is_number_integer() ? it->get<int64_t>() : 0;
}

Error ErrorOfResponse(int http_status,
                      const Json& response,
                      const std::string& peer) {
  Error error{CodeOfStatus(http_status), Step::kNone, peer,
              absl::StrCat("HTTP status ", http_status)};
  const bool nested = response.is_object() && response.contains("error");
  const Json& json = nested ? response["error"] : response;
  if (json.is_string()) {
    error.detail = json.get<std::string>();
    return error;
  }
  const std::string code = TextField(json, "code");
  const std::optional<ErrorCode> known = ErrorCodeFromName(code);
  // A daemon of another release may send codes that are not defined here.
  if (known.has_value()) {
    error.code = *known;
    error.detail = TextField(json, "detail");
  } else if (!code.empty()) {
    error.detail = absl::StrCat(code, ": ", TextField(json, "detail"));
  }
  error.step = StepFromName(TextField(json, "step")).value_or(Step::kNone);
  const std::string origin = TextField(json, "peer");
  if (!origin.empty()) {
    error.peer = origin;
  }
  if (error.detail.size() > kMaxDetailBytes * 10) {
    error.detail.resize(kMaxDetailBytes * 10);
  }
  return error;
}

ExitCode JobExitCode(int http_status, const Json& response) {
  const std::string status = TextField(response, "status");
  if (http_status == 200 || http_status == 202) {
    if (status == "complete" || status == "running") {
      return ExitCode::kDone;
    }
    // A success status without a valid answer does not prove success.
    return status == "failed" ? ExitCode::kFailed : ExitCode::kUnknown;
  }
  if (http_status == 502) {
    const ErrorCode code = ErrorOfResponse(http_status, response, "").code;
    const bool unknown = HasUnknownTask(response) || status != "failed" ||
                         code == ErrorCode::kQuarantined ||
                         code == ErrorCode::kOutcomeUnknown;
    return unknown ? ExitCode::kUnknown : ExitCode::kFailed;
  }
  return RequestExitCode(http_status);
}

ExitCode ChangeExitCode(int http_status, const Json& response) {
  const std::string outcome = TextField(response, "outcome");
  if (outcome == "accepted") {
    return ExitCode::kDone;
  }
  if (outcome == "rejected") {
    return ExitCode::kRefused;
  }
  if (outcome == "unknown" || http_status >= 500) {
    return ExitCode::kUnknown;
  }
  return RequestExitCode(http_status);
}

ExitCode RequestExitCode(int http_status) {
  if (http_status >= 200 && http_status < 300) {
    return ExitCode::kDone;
  }
  if (http_status == 400 || http_status == 413) {
    return ExitCode::kUsage;
  }
  if ((http_status > 400 && http_status < 500) || http_status == 503) {
    return ExitCode::kRefused;
  }
  return ExitCode::kUnknown;
}

}  // namespace radishrail::internal
