#include <algorithm>
#include <iostream>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "command.h"
#include "radishrail/timeline.h"

namespace radishrail::cli {

namespace {

struct TimelineOptions : CommonOptions {
  std::string job;
  std::string since;
  std::string format = "text";
};

std::optional<HttpResponse> Get(const CommonOptions& options,
                                const std::string& server,
                                const std::string& path) {
  CommonOptions server_options = options;
  server_options.servers = {server};
  HttpRequest request;
  request.method = "GET";
  request.path = path;
  ExitCode exit_code = ExitCode::kDone;
  std::optional<ServerResponse> result =
      SendToAny(server_options, std::move(request), &exit_code);
  if (!result.has_value()) {
    return std::nullopt;
  }
  if (result->response.status != 200) {
    FailWithResponse(options, result->response, server, ExitCode::kRefused);
    return std::nullopt;
  }
  return std::move(result->response);
}

// The given servers; if there is only one, also all daemons of its fleet.
std::set<std::string> ServersToQuery(const TimelineOptions& options) {
  std::set<std::string> servers(options.servers.begin(), options.servers.end());
  if (servers.size() != 1) {
    return servers;
  }
  const std::optional<HttpResponse> response =
      Get(options, *servers.begin(), "/v1/fleet");
  if (!response.has_value()) {
    return servers;
  }
  const Json fleet = internal::ParseResponse(response->body);
  if (!fleet.is_object()) {
    return servers;
  }
  for (const auto& it : fleet.value("members", Json::array())) {
    const std::string address = internal::TextField(it, "operator_address");
    if (!address.empty()) {
      servers.insert(address);
    }
  }
  return servers;
}

ExitCode Collect(const TimelineOptions& options) {
  std::string path =
      absl::StrCat("/v1/timeline?job=", EscapeQuery(options.job));
  if (!options.since.empty()) {
    absl::Duration age;
    if (!absl::ParseDuration(options.since, &age) ||
        age <= absl::ZeroDuration() || age == absl::InfiniteDuration()) {
      PrintError(options, {ErrorCode::kInvalidArgument,
                           Step::kNone,
                           {},
                           "--since must be a time span such as 90s or 15m"});
      return ExitCode::kUsage;
    }
    absl::StrAppend(&path, "&since_ms=", absl::ToUnixMillis(absl::Now() - age));
  }
  std::vector<std::vector<Event>> events_by_server;
  bool complete = true;
  for (const auto& server : ServersToQuery(options)) {
    const std::optional<HttpResponse> response = Get(options, server, path);
    std::optional<std::vector<Event>> events;
    if (response.has_value()) {
      events = EventsFromJson(response->body);
      if (!events.has_value()) {
        PrintError(options, {ErrorCode::kProtocol, Step::kNone, server,
                             "the response is not a valid timeline"});
      }
    }
    complete &= events.has_value();
    if (events.has_value()) {
      events_by_server.push_back(*std::move(events));
    }
  }
  const std::vector<Event> merged = MergeEvents(std::move(events_by_server));
  if (options.format == "trace") {
    std::cout << EventsToTrace(merged) << "\n";
  } else if (options.json || options.format == "json") {
    std::cout << EventsToJson(merged) << "\n";
  } else {
    std::cout << EventsToText(merged);
  }
  // The collected events are printed even if a server fails; the exit code
  // reports that the result is incomplete.
  return complete ? ExitCode::kDone : ExitCode::kUnreachable;
}

}  // namespace

void AddTimelineCommand(CLI::App& app, Invocation& invocation) {
  const auto options = std::make_shared<TimelineOptions>();
  CLI::App* command = AddCommand(
      app, invocation, "timeline",
      "Collect the recorded events of several daemons in one timeline.",
      "radishrail timeline --server 10.0.0.1:7301 --job d1.north.order-17\n"
      "  radishrail timeline --since 15m --format trace > trace.json",
      options, [options] { return Collect(*options); });
  AddServerOptions(command, options, kOperatorServer);
  command->add_option("--job", options->job, "only events of this job");
  command->add_option("--since", options->since,
                      "only events of this last time span, such as 90s or 15m");
  command->add_option("--format", options->format, "text, json or trace")
      ->capture_default_str()
      ->check(CLI::IsMember({"text", "json", "trace"}));
}

}  // namespace radishrail::cli
