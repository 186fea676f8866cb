#ifndef RADISHRAIL_SRC_CLIENT_OUTCOME_H_
#define RADISHRAIL_SRC_CLIENT_OUTCOME_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "radishrail/error.h"

namespace radishrail::internal {

// Exit codes of the command-line tool.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kRefused = 3,
  kUnknown = 4,
  kUnreachable = 5,
};

// The JSON of a response; null if it is not JSON.
nlohmann::json ParseResponse(std::string_view body);

// A field of an object, or the fallback if it is absent or of another type.
std::string TextField(const nlohmann::json& json, const char* name);
int64_t NumberField(const nlohmann::json& json, const char* name);

// The error of a response: its object "error", or the response itself.
Error ErrorOfResponse(int http_status,
                      const nlohmann::json& response,
                      const std::string& peer);

// Outcome of a submission. "Unknown" covers failed jobs of which a task may
// have run, and keys that a former owner may have accepted.
ExitCode JobOutcome(int http_status, const nlohmann::json& response);
// Outcome of an operator's change; "unknown" may be repeated with the same
// operation id.
ExitCode ChangeExitCode(int http_status, const nlohmann::json& response);
// Outcome of any other request.
ExitCode RequestOutcome(int http_status);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_CLIENT_OUTCOME_H_
