#ifndef RADISHRAIL_SRC_CLI_COMMAND_H_
#define RADISHRAIL_SRC_CLI_COMMAND_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "client_outcome.h"
#include "http.h"

namespace radishrail::cli {

using internal::ExitCode;
using Json = nlohmann::json;

// Options that several commands share.
struct CommonOptions {
  std::vector<std::string> servers;
  std::string token;
  int timeout_s = 0;  // 0: default of the command
  bool json = false;
};

// Exit code of the command that ran.
struct Invocation {
  ExitCode exit_code = ExitCode::kDone;
};

inline constexpr char kCallerServer[] = "127.0.0.1:7300";
inline constexpr char kOperatorServer[] = "127.0.0.1:7301";

// Adds a command with `--json` and an example in its help. `run` sets the exit
// code of `invocation`.
CLI::App* AddCommand(CLI::App& parent,
                     Invocation& invocation,
                     const std::string& name,
                     const std::string& description,
                     const std::string& example,
                     const std::shared_ptr<CommonOptions>& options,
                     std::function<ExitCode()> run);
// Adds `--server`, `--token` and `--timeout`.
void AddServerOptions(CLI::App* command,
                      const std::shared_ptr<CommonOptions>& options,
                      const std::string& default_server);

// Prints an error with its step and peer to standard error.
void PrintError(const CommonOptions& options, const Error& error);
// Prints the error of a response and returns `exit_code`.
ExitCode FailWithResponse(const CommonOptions& options,
                          const HttpResponse& response,
                          const std::string& server,
                          ExitCode exit_code);
// Prints text, or JSON with `--json`.
void PrintResult(const CommonOptions& options,
                 const Json& json,
                 const std::string& text);

// A response and the server that sent it.
struct ServerResponse {
  HttpResponse response;
  std::string server;
  // A server tried before this one may have processed the request.
  bool repeated = false;
};

// Sends a request to the given servers in turn until one responds. For
// idempotent requests only, since it also retries after a broken connection.
// Prints the errors. Without a response, `exit_code` is `kUnknown` if a server
// may have processed the request, else `kUnreachable`.
std::optional<ServerResponse> SendToAny(const CommonOptions& options,
                                        HttpRequest request,
                                        ExitCode* exit_code);

// Reads a file, or standard input for "-". Prints an error on failure.
std::optional<std::string> ReadInput(const CommonOptions& options,
                                     const std::string& path);

// Accepts 1 to `max` characters of [A-Za-z0-9] and `punctuation`, which need no
// escaping in a URL path.
CLI::Validator NameValidator(const std::string& punctuation, size_t max);

void AddJobCommands(CLI::App& app, Invocation& invocation);
void AddEnvironmentCommands(CLI::App& app, Invocation& invocation);
void AddFleetCommands(CLI::App& app, Invocation& invocation);
void AddTimelineCommand(CLI::App& app, Invocation& invocation);
void AddConfigCommands(CLI::App& app, Invocation& invocation);
void AddExplainCommand(CLI::App& app, Invocation& invocation);

}  // namespace radishrail::cli

#endif  // RADISHRAIL_SRC_CLI_COMMAND_H_
