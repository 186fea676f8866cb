#include <signal.h>

#include <iostream>
#include <string>

#include "CLI/CLI.hpp"
#include "absl/strings/str_join.h"
#include "crash_handler.h"
#include "daemon.h"
#include "platform_daemon.h"
#include "radishrail/log.h"
#include "radishrail/settings.h"

namespace radishrail {
namespace {

enum ExitCode { kExitOk = 0, kExitFailed = 1, kExitUsage = 2 };

constexpr absl::Duration kDrainWaitMargin = absl::Seconds(10);

// Blocks the signals in all threads; `sigtimedwait` receives them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Applies the log level; other changes are only logged and take effect at the
// next start. An invalid file changes nothing.
void Reload(const std::string& path, const Settings& startup_settings) {
  Error error;
  const auto settings = LoadSettings(path, &error);
  if (!settings.has_value()) {
    LogFailure("the settings were not reloaded", error);
    return;
  }
  SetLogLevel(settings->log_level);
  Log(LogLevel::kInfo, "settings reloaded",
      {{"log_level", std::string(LogLevelName(settings->log_level))},
       {"changed_since_start",
        absl::StrJoin(ChangedKeys(startup_settings, *settings), ", ")}});
}

template <typename DaemonType>
int RunDaemon(const std::string& path,
              const Settings& settings,
              const sigset_t& signals) {
  DaemonType daemon(settings);
  Error error;
  if (!daemon.Start(&error)) {
    LogFailure("the daemon cannot start", error);
    StopLogging();
    return kExitFailed;
  }
  // An operator can also start the drain over HTTP, which ends this loop as
  // well.
  constexpr timespec kSignalPollInterval = {0, 250'000'000};
  while (!daemon.WaitUntilDrained(absl::ZeroDuration())) {
    const int signal = sigtimedwait(&signals, nullptr, &kSignalPollInterval);
    if (signal == SIGHUP) {
      Reload(path, settings);
    } else if (signal > 0) {
      Log(LogLevel::kInfo, "graceful shutdown starts");
      daemon.BeginDrain();
      daemon.WaitUntilDrained(settings.drain_balancer_delay +
                              settings.drain_timeout + kDrainWaitMargin);
      break;
    }
  }
  daemon.Stop(DaemonType::kStopTimeout);
  Log(LogLevel::kInfo, "stopped");
  StopLogging();
  return kExitOk;
}

int Main(int argc, char** argv) {
  CLI::App app(
      "radishraild: dispatches parallel jobs of short tasks to upstreams.\n"
      "SIGTERM and SIGINT start a graceful shutdown.");
  std::string path;
  app.add_option("--config", path, "settings file (INI)")->required();
  bool platform = false;
  app.add_flag("--platform", platform,
               "run on machines of the users' platform (see docs/platform.md)");
  app.set_version_flag("--version", RADISHRAIL_VERSION);
  app.footer(
      "Example:\n"
      "  radishraild --config /etc/radishrail/daemon.ini\n"
      "Exit codes: 0 stopped gracefully, 1 failed to start, 2 usage or "
      "settings.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ec) {
    return app.exit(ec) == 0 ? kExitOk : kExitUsage;
  }
  Error error;
  const auto settings = LoadSettings(path, &error);
  if (!settings.has_value()) {
    std::cerr << "radishraild: " << error.ToString() << "\n";
    return kExitUsage;
  }
  const sigset_t signals = BlockSignals();
  InstallCrashHandler();
  InitLogging(settings->log_level, settings->vm);
  return platform
             ? RunDaemon<platform::PlatformDaemon>(path, *settings, signals)
             : RunDaemon<Daemon>(path, *settings, signals);
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  return radishrail::Main(argc, argv);
}
