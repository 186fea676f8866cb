#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "command.h"
#include "text_table.h"

namespace radishrail::cli {

namespace {

using internal::NumberField;
using internal::TextField;

// A field of an object; null if it is absent or `json` is not an object.
Json Field(const Json& json, const char* name) {
  return json.is_object() ? json.value(name, Json()) : Json();
}

std::string FlagText(const Json& json) {
  if (!json.is_boolean()) {
    return "-";
  }
  return json.get<bool>() ? "yes" : "no";
}

std::string SpeedText(const Json& json) {
  return json.is_number() ? absl::StrCat(json.get<double>()) : "-";
}

std::string FleetText(const Json& fleet) {
  const Json lease = Field(fleet, "lease");
  std::string text =
      absl::StrCat("daemon ", internal::Printable(TextField(fleet, "vm"), 64),
                   ", document revision ", NumberField(fleet, "revision"),
                   ", lease valid ", FlagText(Field(lease, "valid")),
                   ", ranges ", NumberField(lease, "ranges"), "\n\n");
  std::vector<std::vector<std::string>> members = {
      {"VM", "FAILURE DOMAIN", "STATE", "REACHABLE", "PEER ADDRESS",
       "OPERATOR ADDRESS", "INCARNATION"}};
  for (const auto& it : Field(fleet, "members")) {
    const Json incarnation = Field(it, "incarnation");
    members.push_back({TextField(it, "vm"), TextField(it, "failure_domain"),
                       TextField(it, "state"), FlagText(Field(it, "reachable")),
                       TextField(it, "peer_address"),
                       TextField(it, "operator_address"),
                       incarnation.is_null() ? "-" : incarnation.dump()});
  }
  text += internal::FormatTable(members);
  std::vector<std::vector<std::string>> upstreams = {
      {"UPSTREAM", "STATE", "SLOTS", "SPEED"}};
  for (const auto& it : Field(fleet, "upstreams")) {
    upstreams.push_back({TextField(it, "vm"), TextField(it, "state"),
                         absl::StrCat(NumberField(it, "slots")),
                         SpeedText(Field(it, "speed"))});
  }
  return absl::StrCat(text, "\n", internal::FormatTable(upstreams));
}

ExitCode Fleet(const CommonOptions& options) {
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/fleet";
  ExitCode exit_code = ExitCode::kDone;
  const std::optional<ServerResponse> result =
      SendToAny(options, std::move(request), &exit_code);
  if (!result.has_value()) {
    return ExitCode::kUnreachable;
  }
  const Json fleet = internal::ParseResponse(result->response.body);
  exit_code = internal::RequestExitCode(result->response.status);
  if (exit_code == ExitCode::kDone && !fleet.is_object()) {
    exit_code = ExitCode::kUnreachable;
  }
  if (exit_code != ExitCode::kDone) {
    return FailWithResponse(options, result->response, result->server,
                            exit_code);
  }
  PrintResult(options, fleet, FleetText(fleet));
  return ExitCode::kDone;
}

ExitCode Drain(const CommonOptions& options) {
  // With several servers, the first to respond would be drained, which may not
  // be the one that the operator intended.
  if (options.servers.size() != 1) {
    PrintError(options, {ErrorCode::kInvalidArgument,
                         Step::kDrain,
                         {},
                         "give exactly one --server to drain"});
    return ExitCode::kUsage;
  }
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/drain";
  ExitCode exit_code = ExitCode::kDone;
  const std::optional<ServerResponse> result =
      SendToAny(options, std::move(request), &exit_code);
  if (!result.has_value()) {
    return exit_code;
  }
  exit_code = internal::RequestExitCode(result->response.status);
  if (exit_code != ExitCode::kDone) {
    return FailWithResponse(options, result->response, result->server,
                            exit_code);
  }
  PrintResult(options, {{"server", result->server}, {"draining", true}},
              absl::StrCat("daemon at ", result->server,
                           " is draining; it exits when its requests are "
                           "finished\n"));
  return ExitCode::kDone;
}

}  // namespace

void AddFleetCommands(CLI::App& app, Invocation& invocation) {
  const auto fleet = std::make_shared<CommonOptions>();
  CLI::App* command =
      AddCommand(app, invocation, "fleet",
                 "Show the daemons and upstreams as one daemon sees them.",
                 "radishrail fleet --server 10.0.0.1:7301", fleet,
                 [fleet] { return Fleet(*fleet); });
  AddServerOptions(command, fleet, kOperatorServer);
  const auto drain = std::make_shared<CommonOptions>();
  command = AddCommand(app, invocation, "drain",
                       "Shut a daemon down without interrupting requests.",
                       "radishrail drain --server 10.0.0.1:7301", drain,
                       [drain] { return Drain(*drain); });
  AddServerOptions(command, drain, kOperatorServer);
  command->get_option("--server")->required();
}

}  // namespace radishrail::cli
