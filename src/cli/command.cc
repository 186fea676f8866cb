#include "command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "text_table.h"

namespace radishrail::cli {

namespace {

constexpr size_t kMaxErrorBytes = 2000;

}  // namespace

CLI::App* AddCommand(CLI::App& parent,
                     Invocation& invocation,
                     const std::string& name,
                     const std::string& description,
                     const std::string& example,
                     const std::shared_ptr<CommonOptions>& options,
                     std::function<ExitCode()> run) {
  CLI::App* command = parent.add_subcommand(name, description);
  command->add_flag("--json", options->json, "print JSON");
  command->footer(absl::StrCat("Example:\n  ", example));
  command->callback(
      [&invocation, run = std::move(run)] { invocation.exit_code = run(); });
  return command;
}

void AddServerOptions(CLI::App* command,
                      const std::shared_ptr<CommonOptions>& options,
                      const std::string& default_server) {
  options->servers = {default_server};
  command
      ->add_option("--server", options->servers,
                   "ip:port of a daemon; may be given several times")
      ->type_name("IP:PORT")
      ->capture_default_str()
      ->check(NameValidator(".:", 64));
  command
      ->add_option("--token", options->token,
                   "token; other users can see arguments, so prefer the "
                   "environment variable")
      ->envname("RADISHRAIL_TOKEN");
  command
      ->add_option("--timeout", options->timeout_s,
                   "time limit of one request in seconds")
      ->check(CLI::Range(1, 3600));
}

void PrintError(const CommonOptions& options, const Error& error) {
  if (!options.json) {
    std::cerr << "radishrail: "
              << internal::Printable(error.ToString(), kMaxErrorBytes) << "\n";
    return;
  }
  const Json json = {{"error",
                      {{"code", ErrorCodeName(error.code)},
                       {"step", StepName(error.step)},
                       {"peer", error.peer},
                       {"detail", error.detail}}}};
  std::cerr << json.dump(-1, ' ', false, Json::error_handler_t::replace)
            << "\n";
}

ExitCode FailWithResponse(const CommonOptions& options,
                          const HttpResponse& response,
                          const std::string& server,
                          ExitCode exit_code) {
  PrintError(options, internal::ErrorOfResponse(
                          response.status,
                          internal::ParseResponse(response.body), server));
  return exit_code;
}

void PrintResult(const CommonOptions& options,
                 const Json& json,
                 const std::string& text) {
  if (options.json) {
    std::cout << json.dump(-1, ' ', false, Json::error_handler_t::replace)
              << "\n";
  } else {
    std::cout << text;
  }
}

std::optional<ServerResponse> SendToAny(const CommonOptions& options,
                                        HttpRequest request,
                                        ExitCode* exit_code) {
  request.token = options.token;
  if (options.timeout_s > 0) {
    request.timeout = absl::Seconds(options.timeout_s);
  }
  bool may_have_arrived = false;
  for (const auto& server : options.servers) {
    request.server = server;
    Error error;
    std::optional<HttpResponse> response = SendRequest(request, &error);
    if (response.has_value()) {
      return ServerResponse{*std::move(response), server, may_have_arrived};
    }
    PrintError(options, error);
    may_have_arrived |= error.code != ErrorCode::kUnreachable;
  }
  *exit_code = may_have_arrived ? ExitCode::kUnknown : ExitCode::kUnreachable;
  return std::nullopt;
}

std::optional<std::string> ReadInput(const CommonOptions& options,
                                     const std::string& path) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
  }
  std::istream& input = path == "-" ? std::cin : file;
  std::string text{std::istreambuf_iterator<char>(input), {}};
  if (!input && !input.eof()) {
    PrintError(options, {ErrorCode::kNotFound,
                         Step::kNone,
                         {},
                         absl::StrCat(path, " cannot be read")});
    return std::nullopt;
  }
  return text;
}

CLI::Validator NameValidator(const std::string& punctuation, size_t max) {
  return CLI::Validator(
      [punctuation, max](const std::string& text) {
        const bool valid =
            !text.empty() && text.size() <= max &&
            std::all_of(text.begin(), text.end(), [&](unsigned char c) {
              return absl::ascii_isalnum(c) ||
                     punctuation.find(static_cast<char>(c)) !=
                         std::string::npos;
            });
        return valid ? std::string()
                     : absl::StrCat("must be 1 to ", max,
                                    " characters of A-Z a-z 0-9 ", punctuation);
      },
      "");
}

}  // namespace radishrail::cli
