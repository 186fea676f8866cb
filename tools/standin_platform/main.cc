#include <csignal>
#include <cstdlib>
#include <iostream>

#include "CLI/CLI.hpp"
#include "platform_standin.h"

namespace radishrail {
namespace {

int Serve(const PlatformStandinSettings& settings) {
  // The signals are blocked before any thread starts, so that only `sigwait`
  // receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  ControlLoop loop("platform");
  PlatformStandin platform(settings, loop);
  Error error;
  if (!platform.Start(&error)) {
    std::cerr << error.ToString() << "\n";
    loop.Stop();
    return EXIT_FAILURE;
  }
  std::cout << "listening on " << platform.address() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  platform.Stop();
  loop.Stop();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  radishrail::PlatformStandinSettings settings;
  settings.address = "127.0.0.1:7400";
  CLI::App app("Stand-in for the platform's table, objects and VM list");
  app.add_option("--address", settings.address, "ip:port to listen on")
      ->capture_default_str();
  app.add_option("--threads", settings.threads, "HTTP threads")
      ->capture_default_str()
      ->check(CLI::Range(1, 64));
  app.add_option("--seed", settings.seed, "seed of random fault injection")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return radishrail::Serve(settings);
}
