#include "radishrail/http_upstream_client.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace radishrail {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// The assignments of addresses to threads are cleared at this number. Without a
// bound they would grow, since addresses change when VMs are replaced.
constexpr size_t kMaxAssignments = 65536;
// Reported run times are clamped to this; longer ones are implausible.
constexpr double kMaxRunMs = 24.0 * 3600 * 1000;

std::optional<std::string> MakeRequestBody(const TaskStart& start) {
  const json body = {
      {"job", start.job_key},
      {"task", start.task_id},
      {"attempt", start.attempt},
      {"kind", start.kind},
      {"payload", start.payload},
      {"start_by_unix_ms", absl::ToUnixMillis(start.start_by_wall)}};
  try {
    return body.dump();
  } catch (const json::exception&) {
    return std::nullopt;  // a field is not UTF-8
  }
}

std::string GetString(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

absl::Duration ParseRunTime(const json& body) {
  const auto it = body.find("run_ms");
  if (it == body.end() || !it->is_number()) {
    return absl::ZeroDuration();
  }
  return absl::Milliseconds(std::clamp(it->get<double>(), 0.0, kMaxRunMs));
}

TaskResult MakeResult(TaskOutcome outcome,
                      ErrorCode code,
                      Step step,
                      const std::string& peer,
                      std::string detail) {
  TaskResult result;
  result.outcome = outcome;
  result.error = {code, step, peer, std::move(detail)};
  return result;
}

TaskResult ParseSuccess(const json& body, const std::string& peer) {
  const std::string status =
      body.is_object() ? GetString(body, "status") : std::string();
  if (status == "done") {
    TaskResult result;
    result.outcome = TaskOutcome::kDone;
    result.output = GetString(body, "output");
    result.run_time = ParseRunTime(body);
    return result;
  }
  if (status == "failed") {
    TaskResult result =
        MakeResult(TaskOutcome::kFailed, ErrorCode::kUpstreamFailed,
                   Step::kExecution, peer, GetString(body, "detail"));
    result.run_time = ParseRunTime(body);
    return result;
  }
  return MakeResult(TaskOutcome::kUnknown, ErrorCode::kProtocol,
                    Step::kExecution, peer, "malformed response to a task");
}

std::optional<TaskResult> ParseRefusal(const json& body,
                                       const std::string& peer) {
  if (!body.is_object() || GetString(body, "status") != "not_started") {
    return std::nullopt;
  }
  const std::string reason = GetString(body, "reason");
  ErrorCode code = ErrorCode::kUpstreamBusy;
  if (reason == "leaving") {
    code = ErrorCode::kUpstreamLeaving;
  } else if (reason == "expired") {
    code = ErrorCode::kDeadlineExceeded;
  }
  TaskResult result = MakeResult(TaskOutcome::kNotStarted, code,
                                 Step::kHandOver, peer, "reason: " + reason);
  result.upstream_leaving = reason == "leaving";
  return result;
}

// A retry is safe in two cases only: no byte was sent, or the upstream itself
// reported that it did not start the task. Any other status may come from a
// server that has read the request, so the outcome is unknown.
TaskResult ParseResponse(const HttpResult& response, const std::string& peer) {
  if (!response.error.ok()) {
    return response.may_have_been_sent
               ? MakeResult(TaskOutcome::kUnknown, response.error.code,
                            Step::kExecution, peer, response.error.detail)
               : MakeResult(TaskOutcome::kNotStarted, response.error.code,
                            Step::kHandOver, peer, response.error.detail);
  }
  std::optional<TaskResult> result;
  const json body = json::parse(response.body, nullptr, false);
  if (response.status == kOk) {
    result = ParseSuccess(body, peer);
  } else if (response.status == kUnavailable) {
    result = ParseRefusal(body, peer);
  }
  if (!result) {
    result = MakeResult(
        TaskOutcome::kUnknown, ErrorCode::kProtocol, Step::kExecution, peer,
        "unexpected HTTP status " + std::to_string(response.status));
  }
  result->upstream_leaving |= response.Header("radishrail-leaving") == "1";
  return *std::move(result);
}

// Runs a posted function at once, on the thread that posts it.
class InlineExecutor : public Executor {
 public:
  explicit InlineExecutor(Executor& delayed) : delayed_(delayed) {}
  void Post(std::function<void()> task) override { task(); }
  void PostDelayed(absl::Duration delay, std::function<void()> task) override {
    delayed_.PostDelayed(delay, std::move(task));
  }

 private:
  Executor& delayed_;
};

}  // namespace

HttpUpstreamClient::HttpUpstreamClient(const HttpUpstreamSettings& settings,
                                       const Clock& clock,
                                       Executor& executor,
                                       Metrics& metrics)
    : clock_(clock),
      executor_(executor),
      inline_executor_(std::make_unique<InlineExecutor>(executor)),
      starts_(metrics.counter("radishrail_upstream_requests_total",
                              "Tasks sent to upstreams, with all attempts")),
      not_started_(
          metrics.counter("radishrail_upstream_not_started_total",
                          "Attempts that certainly did not start a task")),
      unknown_(metrics.counter("radishrail_upstream_unknown_total",
                               "Attempts with an unknown outcome")) {
  HttpClientSettings client;
  client.connections_per_host = settings.connections_per_upstream;
  client.max_idle_connections = settings.max_idle_connections;
  client.connect_timeout = settings.connect_timeout;
  client.step = Step::kHandOver;
  for (int i = 0; i < std::max(1, settings.threads); ++i) {
    client.thread_name = "upstream-" + std::to_string(i);
    clients_.push_back(std::make_unique<HttpClient>(client, *inline_executor_));
  }
}

HttpClient& HttpUpstreamClient::ClientFor(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const auto it = client_of_address_.find(address);
  if (it != client_of_address_.end()) {
    return *clients_[it->second];
  }
  if (client_of_address_.size() >= kMaxAssignments) {
    client_of_address_.clear();
  }
  const size_t client = next_client_++ % clients_.size();
  client_of_address_.emplace(address, client);
  return *clients_[client];
}

void HttpUpstreamClient::Start(TaskStart start, Callback callback) {
  auto body = MakeRequestBody(start);
  if (!body) {
    executor_.Post([result = MakeResult(
                        TaskOutcome::kNotStarted, ErrorCode::kInvalidArgument,
                        Step::kHandOver, start.address,
                        "a field of the task is not valid UTF-8"),
                    callback = std::move(callback)] { callback(result); });
    return;
  }
  HttpClientRequest request;
  request.method = "POST";
  request.address = start.address;
  request.target = "/v1/tasks";
  request.headers = {"Content-Type: application/json"};
  request.body = *std::move(body);
  request.response_headers = {"radishrail-leaving"};
  request.timeout = start.timeout;
  request.may_start = [this, start_by = start.start_by_monotonic] {
    const bool in_time = clock_.Monotonic() + kTransmissionMargin < start_by;
    starts_.Add(in_time ? 1 : 0);
    return in_time;
  };
  HttpClient& client = ClientFor(start.address);
  // Responses are parsed on the client's thread, not on the executor, whose
  // single thread serves all tasks.
  client.Send(
      std::move(request),
      [&executor = executor_, not_started = &not_started_, unknown = &unknown_,
       address = std::move(start.address),
       callback = std::move(callback)](const HttpResult& response) mutable {
        TaskResult result = ParseResponse(response, address);
        not_started->Add(result.outcome == TaskOutcome::kNotStarted);
        unknown->Add(result.outcome == TaskOutcome::kUnknown);
        executor.Post([result = std::move(result),
                       callback = std::move(callback)]() mutable {
          callback(std::move(result));
        });
      });
}

void HttpUpstreamClient::Stop() {
  for (const auto& it : clients_) {
    it->Stop();
  }
}

}  // namespace radishrail
