#ifndef RADISHRAIL_TOOLS_STANDIN_UPSTREAM_UPSTREAM_STANDIN_H_
#define RADISHRAIL_TOOLS_STANDIN_UPSTREAM_UPSTREAM_STANDIN_H_

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_server.h"
#include "radishrail/random.h"
#include "xxhash.h"

namespace radishrail {

// Counts the starts of each task over all upstreams of the process.
// Thread-safe.
class StartLedger {
 public:
  void Record(const std::string& job, const std::string& task) {
    const std::string id = job + "/" + task;
    const std::lock_guard lock(mutex_);
    ++total_;
    if (++starts_[XXH64(id.data(), id.size(), 0)] == 2) {
      duplicates_.push_back(id);
    }
  }

  nlohmann::json ToJson() const {
    const std::lock_guard lock(mutex_);
    return {{"total", total_},
            {"started_twice", duplicates_.size()},
            {"duplicates", duplicates_}};
  }

  uint64_t total() const {
    const std::lock_guard lock(mutex_);
    return total_;
  }

  size_t started_twice() const {
    const std::lock_guard lock(mutex_);
    return duplicates_.size();
  }

 private:
  mutable std::mutex mutex_;
  // Keyed by a 64-bit hash of job and task: 8 bytes per key, for millions of
  // tasks.
  absl::flat_hash_map<uint64_t, uint32_t> starts_;
  std::vector<std::string> duplicates_;
  uint64_t total_ = 0;
};

struct UpstreamStandinSettings {
  std::string address = "127.0.0.1:0";
  int threads = 1;
  int slots = 8;
  int connections = 64;
  double speed = 1.0;
  absl::Duration default_run = absl::Milliseconds(10);
  uint64_t seed = 1;
};

struct UpstreamFaults {
  bool fail_all = false;  // every task fails immediately
  absl::Time frozen_until = absl::InfinitePast();
  double run_time_factor = 1.0;
  bool leaving = false;
  double drop_response = 0;  // probability of closing without a response
};

// Stand-in for an upstream (section 4.2 of the design): runs each task as a
// timer.
class UpstreamStandin {
 public:
  // State is kept on `loop`, which must stop before the stand-in is destroyed.
  UpstreamStandin(UpstreamStandinSettings settings,
                  ControlLoop& loop,
                  StartLedger& ledger)
      : settings_(std::move(settings)),
        loop_(loop),
        ledger_(ledger),
        random_(settings_.seed),
        server_(ServerSettings(settings_),
                [this](HttpRequest request, const HttpResponder& respond) {
                  Handle(std::move(request), respond);
                }) {}

  bool Start(Error* error) { return server_.Start(error); }
  void Stop() { server_.Stop(absl::ZeroDuration()); }
  std::string address() const { return server_.address(); }

 private:
  using Json = nlohmann::json;

  struct Task {
    std::string job;
    std::string id;
    absl::Duration run_time;
    absl::Time start_by;
  };

  static HttpServerSettings ServerSettings(
      const UpstreamStandinSettings& settings) {
    HttpServerSettings server;
    server.address = settings.address;
    server.threads = settings.threads;
    server.max_connections = settings.connections;
    server.idle_timeout = absl::Minutes(10);
    server.request_timeout = absl::InfiniteDuration();
    server.request_headers = {};
    return server;
  }

  static void RespondJson(const HttpResponder& respond,
                          int status,
                          const Json& body) {
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    respond(std::move(response));
  }

  // Parses "sleep_ms=NNN" or {"sleep_ms": NNN}; otherwise the default run time.
  absl::Duration ParseRunTime(const std::string& payload) const {
    constexpr std::string_view kPrefix = "sleep_ms=";
    if (payload.starts_with(kPrefix)) {
      return absl::Milliseconds(
          std::strtod(payload.c_str() + kPrefix.size(), nullptr));
    }
    const Json json = Json::parse(payload, nullptr, false);
    if (json.is_object() && json.contains("sleep_ms") &&
        json["sleep_ms"].is_number()) {
      return absl::Milliseconds(json["sleep_ms"].get<double>());
    }
    return settings_.default_run;
  }

  void Handle(HttpRequest request, const HttpResponder& respond) {
    if (request.method == "POST" && request.path == "/v1/tasks") {
      HandleTask(request, respond);
    } else if (request.method == "POST" && request.path == "/admin/faults") {
      loop_.Post([this, body = std::move(request.body), respond] {
        SetFaults(body, respond);
      });
    } else if (request.method == "GET" && request.path == "/admin/starts") {
      RespondJson(respond, 200, ledger_.ToJson());
    } else if (request.method == "GET" && request.path == "/admin/stats") {
      loop_.Post([this, respond] {
        RespondJson(respond, 200,
                    {{"running", running_},
                     {"started", started_},
                     {"refused_busy", refused_busy_},
                     {"refused_leaving", refused_leaving_},
                     {"refused_expired", refused_expired_},
                     {"responses_dropped", responses_dropped_}});
      });
    } else {
      RespondJson(respond, 404, {{"error", "no such resource"}});
    }
  }

  void HandleTask(const HttpRequest& request, const HttpResponder& respond) {
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("job") ||
        !body["job"].is_string() || !body.contains("task") ||
        !body["task"].is_string()) {
      RespondJson(respond, 400, {{"error", "malformed task"}});
      return;
    }
    Task task;
    task.job = body["job"].get<std::string>();
    task.id = body["task"].get<std::string>();
    const auto payload = body.find("payload");
    task.run_time = ParseRunTime(payload != body.end() && payload->is_string()
                                     ? payload->get<std::string>()
                                     : std::string());
    const auto start_by = body.find("start_by_unix_ms");
    task.start_by = start_by != body.end() && start_by->is_number_integer()
                        ? absl::FromUnixMillis(start_by->get<int64_t>())
                        : absl::InfiniteFuture();
    loop_.Post([this, task = std::move(task), respond] { Run(task, respond); });
  }

  // Time until the stand-in resumes; zero if it is not frozen.
  absl::Duration FrozenFor() const {
    return std::max(faults_.frozen_until - absl::Now(), absl::ZeroDuration());
  }

  void Refuse(const HttpResponder& respond,
              const char* reason,
              uint64_t& counter) {
    ++counter;
    HttpResponse response;
    response.status = 503;
    response.body =
        Json({{"status", "not_started"}, {"reason", reason}}).dump();
    AddLeaving(response);
    respond(std::move(response));
  }

  void Run(const Task& task, const HttpResponder& respond) {
    const absl::Duration frozen = FrozenFor();
    if (frozen > absl::ZeroDuration()) {
      loop_.PostDelayed(frozen, [this, task, respond] { Run(task, respond); });
      return;
    }
    if (faults_.leaving) {
      Refuse(respond, "leaving", refused_leaving_);
    } else if (absl::Now() > task.start_by) {
      Refuse(respond, "expired", refused_expired_);
    } else if (running_ >= settings_.slots) {
      Refuse(respond, "busy", refused_busy_);
    } else {
      Begin(task, respond);
    }
  }

  void Begin(const Task& task, const HttpResponder& respond) {
    ledger_.Record(task.job, task.id);
    ++started_;
    ++running_;
    const bool fails = faults_.fail_all;
    const absl::Duration run =
        fails ? absl::ZeroDuration()
              : task.run_time * faults_.run_time_factor / settings_.speed;
    if (run <= absl::ZeroDuration()) {
      End(task, fails, run, respond);
      return;
    }
    loop_.PostDelayed(run, [this, task, fails, run, respond] {
      End(task, fails, run, respond);
    });
  }

  void End(const Task& task,
           bool failed,
           absl::Duration run,
           const HttpResponder& respond) {
    const absl::Duration frozen = FrozenFor();
    if (frozen > absl::ZeroDuration()) {
      loop_.PostDelayed(frozen, [this, task, failed, run, respond] {
        End(task, failed, run, respond);
      });
      return;
    }
    --running_;
    if (faults_.drop_response > 0 && random_.Unit() < faults_.drop_response) {
      ++responses_dropped_;
      respond.CloseConnection();
      return;
    }
    HttpResponse response;
    response.body =
        failed ? Json({{"status", "failed"}, {"detail", "fault switch"}}).dump()
               : Json({{"status", "done"},
                       {"output", task.job + "/" + task.id},
                       {"run_ms", absl::ToDoubleMilliseconds(run)}})
                     .dump();
    AddLeaving(response);
    respond(std::move(response));
  }

  void AddLeaving(HttpResponse& response) const {
    if (faults_.leaving) {
      response.headers.emplace_back("Radishrail-Leaving", "1");
    }
  }

  void SetFaults(const std::string& body, const HttpResponder& respond) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
      RespondJson(respond, 400, {{"error", "expected an object"}});
      return;
    }
    try {
      faults_.fail_all = json.value("fail_all", faults_.fail_all);
      faults_.run_time_factor =
          json.value("straggler", faults_.run_time_factor);
      faults_.leaving = json.value("leaving", faults_.leaving);
      faults_.drop_response =
          json.value("drop_response", faults_.drop_response);
      if (json.contains("freeze_ms")) {
        faults_.frozen_until =
            absl::Now() + absl::Milliseconds(json["freeze_ms"].get<int64_t>());
      }
    } catch (const Json::exception& e) {
      RespondJson(respond, 400, {{"error", e.what()}});
      return;
    }
    RespondJson(respond, 200, Json::object());
  }

  const UpstreamStandinSettings settings_;
  ControlLoop& loop_;
  StartLedger& ledger_;

  // Used on the loop only.
  SeededRandom random_;
  UpstreamFaults faults_;
  int running_ = 0;
  uint64_t started_ = 0;
  uint64_t refused_busy_ = 0;
  uint64_t refused_leaving_ = 0;
  uint64_t refused_expired_ = 0;
  uint64_t responses_dropped_ = 0;

  HttpServer server_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_STANDIN_UPSTREAM_UPSTREAM_STANDIN_H_
