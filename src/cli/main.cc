#include <curl/curl.h>

#include <iostream>

#include "command.h"

namespace {

constexpr char kFooter[] =
    "Exit codes:\n"
    "  0 done, 1 failed, 2 wrong usage or invalid input, 3 refused (not run),\n"
    "  4 unknown, 5 unreachable or other I/O error\n"
    "Examples:\n"
    "  radishrail submit job.json --server 10.0.0.1:7300 --server "
    "10.0.1.1:7300\n"
    "  radishrail env put booking booking.json --server 10.0.0.1:7301\n"
    "  radishrail fleet --server 10.0.0.1:7301";

}  // namespace

int main(int argc, char** argv) {
  using radishrail::cli::ExitCode;
  curl_global_init(CURL_GLOBAL_DEFAULT);
  CLI::App app("Submits jobs to radishrail and operates its daemons.",
               "radishrail");
  radishrail::cli::Invocation invocation;
  app.require_subcommand(1);
  app.footer(kFooter);
  radishrail::cli::AddJobCommands(app, invocation);
  radishrail::cli::AddEnvironmentCommands(app, invocation);
  radishrail::cli::AddFleetCommands(app, invocation);
  radishrail::cli::AddTimelineCommand(app, invocation);
  radishrail::cli::AddConfigCommands(app, invocation);
  radishrail::cli::AddExplainCommand(app, invocation);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ec) {
    // The library reports `--help` as a ParseError too, with exit code 0.
    const bool is_help = app.exit(ec) == 0;
    return static_cast<int>(is_help ? ExitCode::kDone : ExitCode::kUsage);
  }
  curl_global_cleanup();
  if (!std::cout.flush()) {
    return static_cast<int>(ExitCode::kUnreachable);
  }
  return static_cast<int>(invocation.exit_code);
}
