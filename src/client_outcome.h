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

// A field of an object; empty or 0 if it is absent or of another type.
std::string TextField(const nlohmann::json& json, const char* name);
int64_t NumberField(const nlohmann::json& json, const char* name);

// The error of a response: its object "error", or the response itself.
Error ErrorOfResponse(int http_status,
                      const nlohmann::json& response,
                      const std::string& peer);

// Exit code for the response to a submission. `kUnknown` covers failed jobs
// with a task that may have run, and keys that a former owner may have
// accepted.
ExitCode JobExitCode(int http_status, const nlohmann::json& response);
// Exit code for the response to an operator's change. After `kUnknown`, the
// change may be repeated with the same operation id.
ExitCode ChangeExitCode(int http_status, const nlohmann::json& response);
// Exit code for the response to any other request.
ExitCode RequestExitCode(int http_status);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_CLIENT_OUTCOME_H_
