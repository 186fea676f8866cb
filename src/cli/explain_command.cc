#include <algorithm>
#include <fstream>
#include <iostream>
#include <vector>

#include "command.h"

namespace radishrail::cli {

namespace {

struct ExplainOptions {
  std::string request;
  std::vector<std::string> logs;
};

struct LogLine {
  std::string time;
  std::string process;
  std::string text;

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

// Skips a prefix before the JSON object, as added by log collectors.
std::optional<Json> ParseLine(const std::string& line) {
  const size_t start = line.find('{');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  Json json = Json::parse(line.begin() + static_cast<std::ptrdiff_t>(start),
                          line.end(), nullptr, false);
  return json.is_object() ? std::optional(std::move(json)) : std::nullopt;
}

LogLine ToLogLine(const Json& json) {
  LogLine line;
  line.process = internal::TextField(json, "process");
  // Lines of a history have the time of the event in "at".
  line.time = internal::TextField(json, json.contains("at") ? "at" : "time");
  line.text = internal::TextField(json, "message");
  for (const auto& [name, value] : json.items()) {
    if (value.is_string() && !value.get_ref<const std::string&>().empty() &&
        name != "time" && name != "at" && name != "level" &&
        name != "process" && name != "message" && name != "request") {
      line.text.append(" ").append(name).append("=").append(
          value.get_ref<const std::string&>());
    }
  }
  return line;
}

void ReadLog(std::istream& in,
             const std::string& request,
             std::vector<LogLine>* lines) {
  std::string line;
  while (std::getline(in, line)) {
    // Avoids parsing each line of a large log.
    if (line.find(request) == std::string::npos) {
      continue;
    }
    const auto json = ParseLine(line);
    if (json.has_value() && internal::TextField(*json, "request") == request) {
      lines->push_back(ToLogLine(*json));
    }
  }
}

ExitCode Explain(const ExplainOptions& options) {
  std::vector<LogLine> lines;
  if (options.logs.empty()) {
    ReadLog(std::cin, options.request, &lines);
  }
  for (const auto& it : options.logs) {
    std::ifstream file(it);
    if (!file) {
      std::cerr << "radishrail: cannot read " << it << "\n";
      return ExitCode::kUnreachable;
    }
    ReadLog(file, options.request, &lines);
  }
  if (lines.empty()) {
    std::cerr << "radishrail: no log line about request " << options.request
              << "\n";
    return ExitCode::kFailed;
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  // The history of a request that was submitted again repeats former events.
  lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
  for (const auto& it : lines) {
    std::cout << it.time << " " << it.process << " " << it.text << "\n";
  }
  return ExitCode::kDone;
}

}  // namespace

void AddExplainCommand(CLI::App& app, Invocation& invocation) {
  auto options = std::make_shared<ExplainOptions>();
  CLI::App* command = app.add_subcommand(
      "explain", "Merge the log lines of several daemons about one request.");
  command->add_option("request", options->request, "id of the request")
      ->required();
  command->add_option("logs", options->logs,
                      "saved logs; standard input if there are none");
  command->footer("Example:\n  radishrail explain 5c0e7a21d94b36f8 *.log");
  command->callback(
      [options, &invocation] { invocation.exit_code = Explain(*options); });
}

}  // namespace radishrail::cli
