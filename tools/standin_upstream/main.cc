#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <vector>

#include "CLI/CLI.hpp"
#include "upstream_standin.h"

namespace radishrail {
namespace {

struct Options {
  std::string host = "127.0.0.1";
  int base_port = 7500;
  int count = 1;
  UpstreamStandinSettings upstream;
  double default_ms = 10;
};

int Serve(const Options& options) {
  // The signals are blocked before any thread starts, so that only `sigwait`
  // receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  ControlLoop loop("tasks");
  StartLedger ledger;
  std::vector<std::unique_ptr<UpstreamStandin>> upstreams;
  for (int i = 0; i < options.count; ++i) {
    UpstreamStandinSettings settings = options.upstream;
    settings.default_run = absl::Milliseconds(options.default_ms);
    settings.seed += static_cast<uint64_t>(i);
    const int port = options.base_port == 0 ? 0 : options.base_port + i;
    if (settings.address.empty()) {
      settings.address = options.host + ":" + std::to_string(port);
    }
    upstreams.push_back(
        std::make_unique<UpstreamStandin>(settings, loop, ledger));
    Error error;
    if (!upstreams.back()->Start(&error)) {
      std::cerr << error.ToString() << "\n";
      loop.Stop();
      return EXIT_FAILURE;
    }
    std::cout << "listening on " << upstreams.back()->address() << std::endl;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  for (const auto& it : upstreams) {
    it->Stop();
  }
  loop.Stop();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  radishrail::Options options;
  options.upstream.address = "";
  CLI::App app("Stand-in for upstreams: runs tasks as timers");
  auto* address = app.add_option("--address", options.upstream.address,
                                 "ip:port of a single upstream");
  app.add_option("--host", options.host, "IP address of all upstreams")
      ->capture_default_str();
  app.add_option("--base-port", options.base_port,
                 "port of the first upstream; 0: any free ports")
      ->capture_default_str()
      ->check(CLI::Range(0, 65535));
  app.add_option("--count", options.count, "number of upstreams")
      ->capture_default_str()
      ->check(CLI::Range(1, 4096))
      ->excludes(address);
  app.add_option("--slots", options.upstream.slots, "slots of each upstream")
      ->capture_default_str();
  app.add_option("--connections", options.upstream.connections,
                 "connections of each upstream")
      ->capture_default_str();
  app.add_option("--speed", options.upstream.speed,
                 "factor by which tasks run faster")
      ->capture_default_str()
      ->check(CLI::PositiveNumber);
  app.add_option("--default-ms", options.default_ms,
                 "run time of a task whose payload does not set one")
      ->capture_default_str();
  app.add_option("--threads", options.upstream.threads,
                 "HTTP threads of each upstream")
      ->capture_default_str();
  app.add_option("--seed", options.upstream.seed,
                 "seed of random fault injection")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return radishrail::Serve(options);
}
