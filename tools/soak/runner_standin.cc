#include "runner_standin.h"

#include <array>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "xxhash.h"

namespace radishrail {

namespace {

using Json = nlohmann::json;

// Field `born` of the first incarnation, in Unix milliseconds; each later
// incarnation adds 1.
constexpr int64_t kFirstBornMs = 1'700'000'000'000;
// Capacity for two tasks of the soak's jobs at a time (8000 CPU units each).
constexpr int64_t kCpu = 16'000;
constexpr int64_t kMemoryMb = 32'768;
constexpr std::string_view kInstanceHeader = "X-Expected-Instance";
constexpr std::array<std::string_view, 6> kRunEnds = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

HttpServerSettings ServerSettings() {
  HttpServerSettings settings;
  settings.idle_timeout = absl::Minutes(10);
  settings.request_timeout = absl::InfiniteDuration();
  settings.request_headers = {std::string(kInstanceHeader)};
  return settings;
}

int HttpStatusOf(OrderStatus status) {
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  constexpr int kMisdirected = 421;
  return status == OrderStatus::kDone            ? kOk
         : status == OrderStatus::kOtherInstance ? kMisdirected
                                                 : kConflict;
}

std::string_view ReasonOf(OrderStatus status) {
  switch (status) {
    case OrderStatus::kFenced:
      return "fence";
    case OrderStatus::kStale:
      return "old";
    case OrderStatus::kLeaseExpired:
      return "late";
    default:
      return "room";
  }
}

HttpResponse Respond(const OrderReply& reply, Json body) {
  HttpResponse response;
  response.status = HttpStatusOf(reply.status);
  body["clockMs"] = reply.clock_ms;
  if (reply.status != OrderStatus::kDone) {
    body["reason"] = ReasonOf(reply.status);
  }
  response.body = body.dump();
  return response;
}

std::string TaskName(const std::string& job_key, const std::string& task_id) {
  return absl::StrCat(job_key, ".", task_id);
}

// Decodes the fields that all orders have in common. Hold orders refer to no
// task.
template <typename Order>
Order MakeOrder(const HttpRequest& request, const Json& root) {
  Order order;
  order.runner.vm = std::string(request.Header(kInstanceHeader));
  order.fence = root.value("fence", uint64_t{0});
  if constexpr (!std::is_same_v<Order, HoldOrder>) {
    const std::string task = root.value("task", "");
    const size_t dot = task.find('.');
    order.job_key = task.substr(0, dot);
    order.task_id = task.substr(dot + 1);
    order.run = root.value("run", uint32_t{0});
  }
  return order;
}

}  // namespace

RunnerStandin::RunnerStandin(ControlLoop& loop,
                             const Clock& clock,
                             RunLog& log,
                             TableStandin& table,
                             std::string name,
                             std::string zone,
                             StartCheck check)
    : loop_(loop),
      clock_(clock),
      log_(log),
      table_(table),
      zone_(std::move(zone)),
      start_check_(std::move(check)),
      model_(loop, clock, log, name),
      random_(XXH64(name.data(), name.size(), 0)),
      server_(ServerSettings(),
              [this](const HttpRequest& request, const HttpResponder& respond) {
                loop_.Post([this, request, respond] {
                  HandleRequest(request, respond);
                });
              }) {}

void RunnerStandin::WriteEntry() {
  const Json entry = {
      {"service", "svc"},
      {"address", entry_address_},
      {"zone", zone_},
      {"version", "1"},
      {"slots", 8},
      {"state", draining_since_.has_value() ? "draining" : "ready"},
      {"coldRemainingMs", 0},
      {"seq", ++heartbeats_},
      {"born", kFirstBornMs + model_.incarnation},
      {"capacity", {{"cpu", kCpu}, {"memMb", kMemoryMb}, {"gpu", 0}}}};
  table_.Put(absl::StrCat("servers/", model_.name()), entry.dump());
}

void RunnerStandin::Crash() {
  model_.Crash();
  WriteEntry();
}

void RunnerStandin::SetDraining(bool draining) {
  if (draining) {
    draining_since_ = absl::Now();
  } else {
    draining_since_.reset();
  }
  WriteEntry();
}

void RunnerStandin::HandleRequest(const HttpRequest& request,
                                  const HttpResponder& respond) {
  const Json root = Json::parse(request.body, nullptr, false);
  if (!root.is_object()) {
    log_.violations.push_back(absl::StrCat(
        "a runner received a body that is not a JSON object: ", request.method,
        " ", request.path, " '", request.body.substr(0, 200), "'"));
    return;
  }
  if (request.path == "/run-start") {
    auto order = MakeOrder<StartOrder>(request, root);
    order.payload = root.value("spec", "");
    order.lease_until_ms = root.value("deadlineMs", int64_t{0});
    if (start_delay == absl::ZeroDuration()) {
      StartRun(order, respond);
      return;
    }
    // The caller gets no answer: its time limit ends the request, or the
    // connection is closed after the delay. An order that is pending when the
    // runner restarts is lost (docs/platform.md, question 1).
    loop_.PostDelayed(
        start_delay,
        [this, order, respond, incarnation_at_receipt = model_.incarnation] {
          if (incarnation_at_receipt == model_.incarnation) {
            model_.Start(order);
          }
          respond.CloseConnection();
        });
  } else if (request.path == "/run-stop") {
    StopRun(MakeOrder<StopOrder>(request, root), respond);
  } else {
    auto order = MakeOrder<HoldOrder>(request, root);
    order.lease_until_ms = root.value("deadlineMs", int64_t{0});
    order.last_seen = root.value("lastSeen", uint64_t{0});
    order.wait = absl::Milliseconds(root.value("waitMs", int64_t{0}));
    model_.Hold(order, [respond](const HoldReply& reply) {
      Json running = Json::array();
      for (const auto& it : reply.active) {
        running.push_back({TaskName(it.job_key, it.task_id), it.run, "", 0});
      }
      Json ended = Json::array();
      for (const auto& it : reply.ended) {
        ended.push_back({it.number, TaskName(it.job_key, it.task_id), it.run,
                         kRunEnds[static_cast<size_t>(it.end)], ""});
      }
      respond(Respond(reply.order, {{"born", kFirstBornMs + reply.incarnation},
                                    {"running", std::move(running)},
                                    {"endedRuns", std::move(ended)}}));
    });
  }
}

void RunnerStandin::StartRun(const StartOrder& order,
                             const HttpResponder& respond) {
  model_.run_time =
      max_run_time *
      (least_run_time_share + (1 - least_run_time_share) * random_.Unit());
  const int starts = log_.starts[order.job_key];
  const OrderReply reply = model_.Start(order);
  if (log_.starts[order.job_key] > starts) {
    const std::string fault = start_check_(order);
    if (!fault.empty()) {
      log_.violations.push_back(absl::StrCat(order.job_key, "/", order.task_id,
                                             " on ", model_.name(), ": ",
                                             fault));
    }
  }
  respond(Respond(reply, Json::object()));
}

void RunnerStandin::StopRun(const StopOrder& order,
                            const HttpResponder& respond) {
  const bool dropped = stops_to_drop > 0;
  stops_to_drop -= dropped ? 1 : 0;
  const bool lost =
      dropped || (lost_stop_share > 0 && random_.Unit() < lost_stop_share);
  const bool executed = !lost || (!dropped && random_.Below(2) == 0);
  log_.Note(clock_,
            absl::StrCat(model_.name(), " receives the stop of ", order.job_key,
                         "/", order.task_id, " run ", order.run,
                         !executed ? ", dropped"
                         : lost    ? ", answer lost"
                                   : ""));
  const OrderReply reply = executed ? model_.Stop(order) : OrderReply();
  if (lost) {
    // The daemon's time limit for the order passes first.
    loop_.PostDelayed(absl::Seconds(2),
                      [respond] { respond.CloseConnection(); });
  } else {
    respond(Respond(reply, {}));
  }
}

}  // namespace radishrail
