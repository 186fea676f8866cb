#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <string>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "name_table.h"
#include "radishrail/log.h"
#include "soak.h"

namespace radishrail {
namespace {

constexpr int kFirstPort = 12000;
// Soaks that run at the same time use different port ranges.
constexpr int kPortsPerSoak = 200;
constexpr int kPortRanges = 90;

struct Options {
  SoakOptions soak;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  double seconds = 15;
  bool keep_logs = false;
  std::string faults = std::string(kFaultSetNames.front());
  std::string scenario = std::string(kScenarioNames.front());
};

template <size_t kSize>
CLI::IsMember IsOneOf(const std::array<std::string_view, kSize>& names) {
  const std::set<std::string> members(names.begin(), names.end());
  return CLI::IsMember(members);
}

// Three failure domains, unless the command line says otherwise, so that a job
// that is submitted again can reach a third pool.
void ApplyFaultSet(const CLI::App& app, Options* options) {
  SoakOptions& soak = options->soak;
  soak.faults = *internal::FromName<FaultSet>(kFaultSetNames, options->faults);
  soak.scenario =
      *internal::FromName<Scenario>(kScenarioNames, options->scenario);
  if (soak.scenario != Scenario::kNone) {
    soak.faults = FaultSet::kTwoPools;
  }
  if (soak.faults == FaultSet::kGeneral) {
    return;
  }
  const auto set_default = [&](const char* option, int* value, int n) {
    *value = app.count(option) == 0 ? n : *value;
  };
  set_default("--zones", &soak.zones, 3);
  set_default("--daemons", &soak.daemons, 6);
  set_default("--runners", &soak.runners, 9);
}

// Signal handler: a soak that is interrupted leaves no daemons running.
void KillDaemonsAndExit(int /*signal*/) {
  ChildProcess::KillAll();
  _exit(EXIT_FAILURE);
}

// Returns true if the run completed without a violation.
bool RunSeed(const Options& options, uint64_t seed) {
  SoakOptions soak = options.soak;
  soak.directory = absl::StrCat(options.soak.directory, "/seed-", seed);
  std::filesystem::create_directories(soak.directory);
  Error error;
  std::optional<SoakResult> result;
  {
    Soak run(soak, seed);
    result = run.Run(&error);
  }
  if (!result.has_value()) {
    std::cout << "seed " << seed << ": not run: " << error.ToString() << "\n";
    return false;
  }
  std::cout << "seed " << seed << ": "
            << (result->violations.empty() ? "kept" : "BROKEN") << "; faults "
            << result->fault_count << ", starts " << result->start_count
            << ", answers: "
            << absl::StrJoin(result->answers, ", ", absl::PairFormatter(" "))
            << std::endl;
  if (result->violations.empty() && soak.scenario != Scenario::kNone) {
    std::cout << result->trace << std::endl;
  }
  if (result->violations.empty()) {
    if (!options.keep_logs) {
      std::filesystem::remove_all(soak.directory);
    }
    return true;
  }
  std::cout << "  first violation: " << result->violations.front()
            << "\n  logs: " << soak.directory << "\n  replay: soak --faults "
            << options.faults << " --scenario " << options.scenario
            << " --replay " << seed << "\n"
            << result->trace << std::endl;
  return false;
}

int Run(Options options) {
  options.soak.fault_period = absl::Seconds(options.seconds);
  if (options.soak.directory.empty()) {
    options.soak.directory =
        absl::StrCat(std::filesystem::temp_directory_path().string(),
                     "/radishrail-soak-", getpid());
  }
  if (options.soak.first_port == 0) {
    options.soak.first_port =
        kFirstPort + (getpid() % kPortRanges) * kPortsPerSoak;
  }
  uint64_t failed_seeds = 0;
  for (uint64_t i = 0; i < options.seeds; ++i) {
    failed_seeds += RunSeed(options, options.first_seed + i) ? 0 : 1;
  }
  std::cout << options.seeds - failed_seeds << " passed, " << failed_seeds
            << " failed" << std::endl;
  return failed_seeds == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, &radishrail::KillDaemonsAndExit);
  signal(SIGINT, &radishrail::KillDaemonsAndExit);
  radishrail::InitLogging(radishrail::LogLevel::kWarning, "soak");
  radishrail::Options options;
  CLI::App app(
      "Runs daemons as processes, injects random faults from outside and "
      "checks the guarantees.");
  app.add_option("--daemon", options.soak.daemon_path,
                 "path of the program radishraild")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--first-seed", options.first_seed)->capture_default_str();
  app.add_option("--seeds", options.seeds, "number of seeds")
      ->capture_default_str()
      ->check(CLI::Range(1, 100000));
  const auto* replay = app.add_option("--replay", options.first_seed,
                                      "runs one seed and keeps its logs");
  app.add_option("--seconds", options.seconds,
                 "seconds of fault injection for each seed")
      ->capture_default_str()
      ->check(CLI::Range(1.0, 3600.0));
  app.add_option("--faults", options.faults, "kinds of random faults")
      ->capture_default_str()
      ->check(radishrail::IsOneOf(radishrail::kFaultSetNames));
  app.add_option("--scenario", options.scenario,
                 "one job with these faults in place of random ones")
      ->capture_default_str()
      ->check(radishrail::IsOneOf(radishrail::kScenarioNames));
  app.add_option("--zones", options.soak.zones, "number of failure domains")
      ->capture_default_str()
      ->check(CLI::Range(1, 9));
  app.add_option("--daemons", options.soak.daemons)
      ->capture_default_str()
      ->check(CLI::Range(2, 48));
  app.add_option("--runners", options.soak.runners)
      ->capture_default_str()
      ->check(CLI::Range(2, 200));
  app.add_option("--directory", options.soak.directory,
                 "directory of settings and logs; default: a new one in the "
                 "temporary directory");
  app.add_option(
         "--first-port", options.soak.first_port,
         "first port of the daemons; default: derived from the process id")
      ->default_val(0);
  CLI11_PARSE(app, argc, argv);
  options.keep_logs = replay->count() > 0;
  radishrail::ApplyFaultSet(app, &options);
  return radishrail::Run(options);
}
