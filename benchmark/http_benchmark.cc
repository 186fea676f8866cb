#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "../tools/standin_upstream/upstream_standin.h"
#include "CLI/CLI.hpp"
#include "radishrail/control_loop.h"
#include "radishrail/http_upstream_client.h"

namespace radishrail {
namespace {

using SteadyClock = std::chrono::steady_clock;

struct Options {
  int threads = 4;
  int upstreams = 16;
  int slots = 8;
  int in_flight = 64;
  double seconds = 5;
  double idle_seconds = 5;
  double sleep_ms = 0;
};

// CPU seconds used so far, by thread name without its number.
std::map<std::string, double> CpuSecondsByThread() {
  constexpr double kNanosecondsPerSecond = 1e9;
  std::map<std::string, double> seconds;
  for (const auto& it :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::string name;
    std::getline(std::ifstream(it.path() / "comm"), name);
    double nanoseconds = 0;
    std::ifstream(it.path() / "schedstat") >> nanoseconds;
    const std::string group = name.substr(0, name.find('-'));
    seconds[group] += nanoseconds / kNanosecondsPerSecond;
  }
  return seconds;
}

nlohmann::json Difference(const std::map<std::string, double>& before,
                          const std::map<std::string, double>& after) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [name, seconds] : after) {
    const auto it = before.find(name);
    out[name] = seconds - (it == before.end() ? 0 : it->second);
  }
  return out;
}

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<size_t>(quantile * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

// Keeps a constant number of tasks in flight; state is kept on the loop.
class Load {
 public:
  Load(const Options& options,
       HttpUpstreamClient& client,
       std::vector<std::string> addresses)
      : options_(options), client_(client), addresses_(std::move(addresses)) {}

  void Run(ControlLoop& loop) {
    loop.Post([this] {
      for (int i = 0; i < options_.in_flight; ++i) {
        StartOne();
      }
    });
    std::this_thread::sleep_for(
        std::chrono::duration<double>(options_.seconds));
    stopping_ = true;
    while (in_flight_.load() > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::vector<double>& latencies_ms() { return latencies_ms_; }
  uint64_t not_done() const { return not_done_; }

 private:
  void StartOne() {
    ++in_flight_;
    TaskStart start;
    start.job_key = "job";
    start.task_id = std::to_string(next_++);
    start.kind = "quote";
    start.payload = "sleep_ms=" + std::to_string(options_.sleep_ms);
    start.address = addresses_[next_ % addresses_.size()];
    start.start_by_monotonic = absl::InfiniteFuture();
    start.start_by_wall = absl::Now() + absl::Minutes(1);
    start.timeout = absl::Seconds(10);
    const auto begin = SteadyClock::now();
    client_.Start(std::move(start), [this, begin](const TaskResult& result) {
      const std::chrono::duration<double, std::milli> passed =
          SteadyClock::now() - begin;
      latencies_ms_.push_back(passed.count());
      not_done_ += result.outcome == TaskOutcome::kDone ? 0 : 1;
      --in_flight_;
      if (!stopping_) {
        StartOne();
      }
    });
  }

  const Options& options_;
  HttpUpstreamClient& client_;
  const std::vector<std::string> addresses_;
  std::vector<double> latencies_ms_;
  uint64_t next_ = 0;
  uint64_t not_done_ = 0;
  std::atomic<int> in_flight_ = 0;
  std::atomic<bool> stopping_ = false;
};

int Run(const Options& options) {
  ControlLoop loop("control");
  ControlLoop task_loop("standin");
  StartLedger ledger;
  std::vector<std::unique_ptr<UpstreamStandin>> upstreams;
  std::vector<std::string> addresses;
  for (int i = 0; i < options.upstreams; ++i) {
    UpstreamStandinSettings settings;
    settings.slots = options.slots;
    upstreams.push_back(
        std::make_unique<UpstreamStandin>(settings, task_loop, ledger));
    Error error;
    if (!upstreams.back()->Start(&error)) {
      std::cerr << error.ToString() << "\n";
      return EXIT_FAILURE;
    }
    addresses.push_back(upstreams.back()->address());
  }
  SystemClock clock;
  Metrics metrics;
  HttpUpstreamSettings settings;
  settings.threads = options.threads;
  HttpUpstreamClient client(settings, clock, loop, metrics);

  Load load(options, client, addresses);
  const auto cpu_before = CpuSecondsByThread();
  const auto begin = SteadyClock::now();
  load.Run(loop);
  const std::chrono::duration<double> passed = SteadyClock::now() - begin;
  const auto cpu_after = CpuSecondsByThread();
  std::this_thread::sleep_for(
      std::chrono::duration<double>(options.idle_seconds));
  const auto cpu_idle = CpuSecondsByThread();

  auto& latencies = load.latencies_ms();
  std::sort(latencies.begin(), latencies.end());
  const nlohmann::ordered_json row = {
      {"tasks", latencies.size()},
      {"tasks_per_second",
       static_cast<double>(latencies.size()) / passed.count()},
      {"not_done", load.not_done()},
      {"started_twice", ledger.started_twice()},
      {"latency_p50_ms", Quantile(latencies, 0.5)},
      {"latency_p99_ms", Quantile(latencies, 0.99)},
      {"seconds", passed.count()},
      {"cpu_seconds_by_thread", Difference(cpu_before, cpu_after)},
      {"idle_seconds", options.idle_seconds},
      {"idle_cpu_seconds_by_thread", Difference(cpu_after, cpu_idle)}};
  std::cout << row.dump(2) << std::endl;
  client.Stop();
  loop.Stop();
  for (const auto& it : upstreams) {
    it->Stop();
  }
  task_loop.Stop();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  radishrail::Options options;
  CLI::App app(
      "Tasks per second of HttpUpstreamClient against upstream stand-ins in "
      "this process, and CPU of all threads under load and idle");
  app.add_option("--threads", options.threads, "client threads")
      ->capture_default_str();
  app.add_option("--upstreams", options.upstreams, "number of upstreams")
      ->capture_default_str();
  app.add_option("--slots", options.slots, "slots of each upstream")
      ->capture_default_str();
  app.add_option("--in-flight", options.in_flight, "tasks in flight")
      ->capture_default_str();
  app.add_option("--seconds", options.seconds, "time under load")
      ->capture_default_str();
  app.add_option("--idle-seconds", options.idle_seconds, "idle time after it")
      ->capture_default_str();
  app.add_option("--sleep-ms", options.sleep_ms, "run time of each task")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return radishrail::Run(options);
}
