#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <cstdint>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_client.h"
#include "radishrail/job.h"
#include "radishrail/job_json.h"

namespace radishrail {
namespace {

using Json = nlohmann::json;

enum ExitCode { kExitOk = 0, kExitFailed = 1, kExitUsage = 2 };

// Bounds the memory for response times and the number of keys that the daemons
// retain.
constexpr int64_t kMaxJobs = 5'000'000;
// Open loop: a job that is due while this many are in flight is not submitted
// and counts as skipped.
constexpr int64_t kMaxOpenLoopInFlight = 4096;
// Added to the deadline of a job to form the timeout of its request.
constexpr absl::Duration kResponseSlack = absl::Seconds(5);

struct Options {
  std::vector<std::string> servers;
  std::string token;
  std::string environment = "booking";
  std::string team = "counter";
  std::string failure_domain;
  int tasks = 1;
  int64_t run_ms = 0;
  double rate = 0;  // jobs/s; zero: closed loop
  int64_t in_flight = 1;
  double seconds = 10;
  int64_t deadline_ms = 10'000;
  int clients = 2;
  bool json = false;
};

struct Report {
  int64_t submitted = 0;
  int64_t complete = 0;
  int64_t failed = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t skipped = 0;
  absl::Duration elapsed;
  std::vector<double> response_ms;  // of complete jobs
  std::vector<double> lag_ms;       // delays of submissions behind schedule
  std::string first_error;
};

std::string JobBody(const Options& options) {
  JobSpec job;
  job.environment = options.environment;
  job.team = options.team;
  job.deadline = absl::Milliseconds(options.deadline_ms);
  job.tasks.reserve(options.tasks);
  for (int i = 0; i < options.tasks; ++i) {
    TaskSpec task;
    task.id = absl::StrCat("t", i);
    task.kind = "quote";
    task.payload = Json({{"sleep_ms", options.run_ms}}).dump();
    task.declared_run = absl::Milliseconds(options.run_ms);
    job.tasks.push_back(std::move(task));
  }
  return JobToJson(job);
}

// Nearest-rank value at `quantile`, from 0 to 1; zero if the list is empty.
double Percentile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

// Submits jobs from one control loop, which owns all counters. Stops submitting
// after the given time or after `kMaxJobs` jobs, then waits for the outstanding
// responses.
class LoadGenerator {
 public:
  explicit LoadGenerator(const Options& options)
      : options_(options), body_(JobBody(options)), loop_("load") {
    HttpClientSettings settings;
    // Jobs must not wait for a connection inside the generator.
    settings.connections_per_host = static_cast<int>(
        options.rate > 0 ? kMaxOpenLoopInFlight : options.in_flight);
    for (int i = 0; i < options.clients; ++i) {
      settings.thread_name = absl::StrCat("load-", i);
      clients_.push_back(std::make_unique<HttpClient>(settings, loop_));
    }
  }

  Report Run() {
    loop_.Post([this] { Begin(); });
    {
      std::unique_lock lock(mutex_);
      finished_condition_.wait(lock, [this] { return finished_; });
    }
    for (const auto& it : clients_) {
      it->Stop();
    }
    loop_.Stop();
    return std::move(report_);
  }

 private:
  void Begin() {
    start_ = absl::Now();
    end_ = start_ + absl::Seconds(options_.seconds);
    if (options_.rate > 0) {
      SubmitDue();
      return;
    }
    for (int64_t i = 0; i < options_.in_flight; ++i) {
      Submit();
    }
  }

  bool CanSubmit() const {
    return report_.submitted < kMaxJobs && absl::Now() < end_;
  }

  // Open loop: submits all jobs that are due and schedules itself for the next.
  void SubmitDue() {
    while (CanSubmit()) {
      const absl::Time due =
          start_ +
          absl::Seconds(static_cast<double>(scheduled_) / options_.rate);
      const absl::Duration lag = absl::Now() - due;
      if (lag < absl::ZeroDuration()) {
        loop_.PostDelayed(-lag, [this] { SubmitDue(); });
        return;
      }
      ++scheduled_;
      if (in_flight_ >= kMaxOpenLoopInFlight) {
        ++report_.skipped;
        continue;
      }
      report_.lag_ms.push_back(absl::ToDoubleMilliseconds(lag));
      Submit();
    }
    scheduling_ended_ = true;
    FinishIfIdle();
  }

  void Submit() {
    const int64_t n = report_.submitted++;
    const absl::Time sent = absl::Now();
    const int64_t unix_ms = absl::ToUnixMillis(sent);
    const std::string key = options_.failure_domain.empty()
                                ? absl::StrCat("load-", unix_ms, "-", n)
                                : absl::StrCat("t1.", options_.failure_domain,
                                               ".", unix_ms, ".", n);
    HttpClientRequest request;
    request.method = "PUT";
    request.address = options_.servers[n % options_.servers.size()];
    request.target = absl::StrCat("/v1/jobs/", key);
    request.headers = {absl::StrCat("Authorization: Bearer ", options_.token),
                       "Content-Type: application/json", "Expect:"};
    request.body = body_;
    request.timeout = absl::Milliseconds(options_.deadline_ms) + kResponseSlack;
    ++in_flight_;
    clients_[n % clients_.size()]->Send(
        std::move(request),
        [this, sent](const HttpResult& result) { OnResult(result, sent); });
  }

  void OnResult(const HttpResult& result, absl::Time sent) {
    Count(result, absl::Now() - sent);
    --in_flight_;
    if (options_.rate <= 0) {
      if (CanSubmit()) {
        Submit();
      } else {
        scheduling_ended_ = true;
      }
    }
    FinishIfIdle();
  }

  void Count(const HttpResult& result, absl::Duration response_time) {
    switch (result.status) {
      case 200:
        ++report_.complete;
        report_.response_ms.push_back(
            absl::ToDoubleMilliseconds(response_time));
        return;
      case 502:
        ++report_.failed;
        break;
      case 400:
      case 401:
      case 403:
      case 413:
      case 429:
      case 503:
        ++report_.not_run;
        break;
      default:
        ++(result.status == 0 && !result.may_have_been_sent ? report_.not_run
                                                            : report_.unknown);
        break;
    }
    if (report_.first_error.empty()) {
      constexpr size_t kMaxShownBytes = 300;
      report_.first_error =
          result.status == 0
              ? result.error.ToString()
              : absl::StrCat("status ", result.status, ": ",
                             result.body.substr(0, kMaxShownBytes));
    }
  }

  void FinishIfIdle() {
    if (!scheduling_ended_ || in_flight_ > 0 || finished_) {
      return;
    }
    report_.elapsed = absl::Now() - start_;
    {
      const std::lock_guard lock(mutex_);
      finished_ = true;
    }
    finished_condition_.notify_one();
  }

  const Options options_;
  const std::string body_;

  // Accessed only on the loop until `Run` observes `finished_`.
  Report report_;
  absl::Time start_;
  absl::Time end_;
  int64_t scheduled_ = 0;
  int64_t in_flight_ = 0;
  bool scheduling_ended_ = false;

  std::mutex mutex_;
  std::condition_variable finished_condition_;
  bool finished_ = false;

  ControlLoop loop_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
};

Json ToJson(const Options& options, Report report) {
  std::sort(report.response_ms.begin(), report.response_ms.end());
  std::sort(report.lag_ms.begin(), report.lag_ms.end());
  const double p50 = Percentile(report.response_ms, 0.5);
  const double p99 = Percentile(report.response_ms, 0.99);
  const auto run_ms = static_cast<double>(options.run_ms);
  const bool has_responses = !report.response_ms.empty();
  return {{"submitted", report.submitted},
          {"complete", report.complete},
          {"failed", report.failed},
          {"not_run", report.not_run},
          {"unknown", report.unknown},
          {"skipped", report.skipped},
          {"seconds", absl::ToDoubleSeconds(report.elapsed)},
          {"tasks_per_second",
           static_cast<double>(report.complete) * options.tasks /
               std::max(1e-9, absl::ToDoubleSeconds(report.elapsed))},
          {"response_p50_ms", p50},
          {"response_p99_ms", p99},
          {"response_max_ms", Percentile(report.response_ms, 1)},
          {"added_p50_ms", has_responses ? p50 - run_ms : 0},
          {"added_p99_ms", has_responses ? p99 - run_ms : 0},
          {"submission_lag_p99_ms", Percentile(report.lag_ms, 0.99)},
          {"first_error", report.first_error}};
}

void Print(const Options& options, const Json& report) {
  if (options.json) {
    std::cout << report.dump() << "\n";
    return;
  }
  for (const auto& [name, value] : report.items()) {
    std::cout << absl::StreamFormat("%-22s %s\n", name, value.dump());
  }
}

int Main(int argc, char** argv) {
  CLI::App app(
      "load_generator: submits jobs to daemons and measures response times.\n"
      "Response times start at the submission of a job. Latency beyond "
      "run-ms is the added latency.");
  Options options;
  app.add_option("--server", options.servers, "address of a daemon (ip:port)")
      ->required();
  app.add_option("--token", options.token, "caller token")->required();
  app.add_option("--environment", options.environment, "environment of jobs");
  app.add_option("--team", options.team, "team of jobs");
  app.add_option(
      "--failure-domain", options.failure_domain,
      "failure domain encoded in the keys; by default keys have none");
  app.add_option("--tasks", options.tasks, "tasks per job")
      ->check(CLI::Range(1, static_cast<int>(kMaxTasksPerJob)));
  app.add_option("--run-ms", options.run_ms, "run time of each task")
      ->check(CLI::Range(0, 60'000));
  app.add_option("--rate", options.rate, "open loop: jobs/s")
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--in-flight", options.in_flight,
                 "closed loop: jobs in flight")
      ->check(CLI::Range(int64_t{1}, kMaxOpenLoopInFlight));
  app.add_option("--seconds", options.seconds,
                 "duration of the submissions, in seconds")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--deadline-ms", options.deadline_ms, "deadline of jobs")
      ->check(CLI::Range(1, 570'000));
  app.add_option("--clients", options.clients, "threads that send requests")
      ->check(CLI::Range(1, 8));
  app.add_flag("--json", options.json, "print one JSON object");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ec) {
    return app.exit(ec) == 0 ? kExitOk : kExitUsage;
  }
  const Json report = ToJson(options, LoadGenerator(options).Run());
  Print(options, report);
  return report["complete"].get<int64_t>() > 0 ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  return radishrail::Main(argc, argv);
}
