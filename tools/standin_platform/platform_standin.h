#ifndef RADISHRAIL_TOOLS_STANDIN_PLATFORM_PLATFORM_STANDIN_H_
#define RADISHRAIL_TOOLS_STANDIN_PLATFORM_PLATFORM_STANDIN_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_server.h"
#include "radishrail/random.h"

namespace radishrail {

struct PlatformStandinSettings {
  std::string address = "127.0.0.1:0";
  int threads = 2;
  uint64_t seed = 1;
};

struct PlatformFaults {
  bool down = false;
  absl::Duration added_latency = absl::ZeroDuration();
  double drop_response = 0;  // probability of closing without a response
  absl::Duration vm_list_lag = absl::ZeroDuration();
  std::set<std::string> denied_vms;  // VMs that cannot reach the platform
};

// In-memory stand-in for the platform (section 4.3 of the design): table,
// objects and VM list, with fault injection.
class PlatformStandin {
 public:
  // State is kept on `loop`, which must stop before the stand-in is destroyed.
  PlatformStandin(const PlatformStandinSettings& settings, ControlLoop& loop)
      : loop_(loop),
        random_(settings.seed),
        server_(ServerSettings(settings),
                [this](HttpRequest request, HttpResponder respond) {
                  loop_.Post([this, request = std::move(request),
                              respond = std::move(respond)] {
                    Handle(request, respond);
                  });
                }) {}

  bool Start(Error* error) { return server_.Start(error); }
  void Stop() { server_.Stop(absl::ZeroDuration()); }
  std::string address() const { return server_.address(); }

 private:
  using Json = nlohmann::json;

  struct StoredRow {
    std::string value;
    int64_t version = 0;
  };

  struct VmSnapshot {
    absl::Time time;
    Json vms;
  };

  static constexpr size_t kMaxVmSnapshots = 1000;
  static constexpr std::string_view kTablePrefix = "/table/";
  static constexpr std::string_view kObjectsPrefix = "/objects/";

  static HttpServerSettings ServerSettings(
      const PlatformStandinSettings& settings) {
    HttpServerSettings server;
    server.address = settings.address;
    server.threads = settings.threads;
    server.idle_timeout = absl::Minutes(10);
    server.request_timeout = absl::InfiniteDuration();
    server.request_headers = {"Radishrail-Vm"};
    return server;
  }

  static HttpResponse JsonResponse(int status, const Json& body) {
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
  }

  static HttpResponse Malformed(const char* what) {
    return JsonResponse(400, {{"error", what}});
  }

  void Handle(const HttpRequest& request, const HttpResponder& respond) {
    if (request.path.starts_with("/admin/")) {
      respond(HandleAdmin(request));
      return;
    }
    ++requests_;
    if (faults_.down || faults_.denied_vms.contains(
                            std::string(request.Header("Radishrail-Vm")))) {
      ++refused_;
      respond.CloseConnection();
      return;
    }
    if (faults_.added_latency <= absl::ZeroDuration()) {
      Respond(Serve(request), respond);
      return;
    }
    // Half of the delay is before the request takes effect and half after it.
    loop_.PostDelayed(faults_.added_latency / 2, [this, request, respond] {
      loop_.PostDelayed(faults_.added_latency / 2,
                        [this, response = Serve(request), respond] {
                          Respond(response, respond);
                        });
    });
  }

  void Respond(HttpResponse response, const HttpResponder& respond) {
    if (faults_.drop_response > 0 && random_.Unit() < faults_.drop_response) {
      ++dropped_responses_;
      respond.CloseConnection();
      return;
    }
    respond(std::move(response));
  }

  HttpResponse Serve(const HttpRequest& request) {
    if (request.method == "GET" && request.path.starts_with(kTablePrefix)) {
      ++reads_;
      return JsonResponse(200,
                          RowJson(request.path.substr(kTablePrefix.size())));
    }
    if (request.method == "GET" && request.path == "/table") {
      ++reads_;
      return ServeList(std::string(request.Query("prefix")));
    }
    if (request.method == "POST" && request.path == "/transact") {
      ++transactions_;
      return ServeTransaction(request.body);
    }
    if (request.path.starts_with(kObjectsPrefix)) {
      return ServeObject(request);
    }
    if (request.method == "GET" && request.path == "/vms") {
      ++reads_;
      return JsonResponse(200, DelayedVmList());
    }
    return JsonResponse(404, {{"error", "no such resource"}});
  }

  int64_t VersionOf(const std::string& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? 0 : it->second.version;
  }

  Json RowJson(const std::string& key) const {
    const auto it = rows_.find(key);
    const StoredRow row = it == rows_.end() ? StoredRow() : it->second;
    return {{"key", key}, {"value", row.value}, {"version", row.version}};
  }

  HttpResponse ServeList(const std::string& prefix) const {
    Json rows = Json::array();
    for (auto it = rows_.lower_bound(prefix);
         it != rows_.end() && it->first.starts_with(prefix); ++it) {
      rows.push_back(RowJson(it->first));
    }
    return JsonResponse(200, rows);
  }

  static bool IsTransaction(const Json& body) {
    if (!body.is_object() || !body.contains("checks") ||
        !body["checks"].is_array() || !body.contains("writes") ||
        !body["writes"].is_array()) {
      return false;
    }
    const auto has_key = [](const Json& it) {
      return it.is_object() && it.contains("key") && it["key"].is_string();
    };
    for (const auto& it : body["checks"]) {
      if (!has_key(it) || !it.contains("version") ||
          !it["version"].is_number_integer()) {
        return false;
      }
    }
    for (const auto& it : body["writes"]) {
      if (!has_key(it) || !it.contains("value") ||
          !(it["value"].is_string() || it["value"].is_null())) {
        return false;
      }
    }
    return true;
  }

  HttpResponse ServeTransaction(const std::string& text) {
    const Json body = Json::parse(text, nullptr, false);
    if (!IsTransaction(body)) {
      return Malformed("malformed transaction");
    }
    for (const auto& it : body["checks"]) {
      const auto key = it["key"].get<std::string>();
      if (VersionOf(key) != it["version"].get<int64_t>()) {
        ++conflicts_;
        return JsonResponse(409, {{"committed", false}, {"conflict", key}});
      }
    }
    for (const auto& it : body["writes"]) {
      const auto key = it["key"].get<std::string>();
      if (it["value"].is_null()) {
        rows_.erase(key);
      } else {
        // Versions come from one counter for all rows, so that a row that is
        // deleted and recreated does not reuse a version.
        rows_[key] = {it["value"].get<std::string>(), ++last_version_};
      }
    }
    ++commits_;
    return JsonResponse(200, {{"committed", true}});
  }

  HttpResponse ServeObject(const HttpRequest& request) {
    const std::string name = request.path.substr(kObjectsPrefix.size());
    if (request.method == "PUT") {
      ++object_writes_;
      objects_[name] = request.body;
      return JsonResponse(200, Json::object());
    }
    ++reads_;
    const auto it = objects_.find(name);
    if (request.method != "GET" || it == objects_.end()) {
      return JsonResponse(404, {{"error", "no such object"}});
    }
    HttpResponse response;
    response.body = it->second;
    return response;
  }

  // Returns the newest VM list that is at least as old as the configured lag.
  Json DelayedVmList() const {
    const absl::Time newest = absl::Now() - faults_.vm_list_lag;
    for (auto it = vm_snapshots_.rbegin(); it != vm_snapshots_.rend(); ++it) {
      if (it->time <= newest) {
        return it->vms;
      }
    }
    return Json::array();
  }

  HttpResponse HandleAdmin(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/admin/stats") {
      return JsonResponse(200, {{"requests", requests_},
                                {"reads", reads_},
                                {"transactions", transactions_},
                                {"commits", commits_},
                                {"conflicts", conflicts_},
                                {"object_writes", object_writes_},
                                {"refused", refused_},
                                {"lost_answers", dropped_responses_},
                                {"rows", rows_.size()}});
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (request.method == "POST" && request.path == "/admin/vms") {
      if (!body.is_array()) {
        return Malformed("expected an array of VMs");
      }
      vm_snapshots_.push_back({absl::Now(), body});
      if (vm_snapshots_.size() > kMaxVmSnapshots) {
        vm_snapshots_.pop_front();
      }
      return JsonResponse(200, Json::object());
    }
    if (request.method == "POST" && request.path == "/admin/faults") {
      return SetFaults(body);
    }
    return JsonResponse(404, {{"error", "no such resource"}});
  }

  HttpResponse SetFaults(const Json& body) {
    if (!body.is_object()) {
      return Malformed("expected an object");
    }
    try {
      PlatformFaults faults = faults_;
      faults.down = body.value("down", faults.down);
      faults.drop_response = body.value("lose_answers", faults.drop_response);
      faults.denied_vms = body.value("deny", faults.denied_vms);
      if (body.contains("slow_ms")) {
        faults.added_latency =
            absl::Milliseconds(body["slow_ms"].get<int64_t>());
      }
      if (body.contains("list_lag_ms")) {
        faults.vm_list_lag =
            absl::Milliseconds(body["list_lag_ms"].get<int64_t>());
      }
      faults_ = std::move(faults);
    } catch (const Json::exception& e) {
      return Malformed(e.what());
    }
    return JsonResponse(200, Json::object());
  }

  ControlLoop& loop_;

  // Used on the loop only.
  SeededRandom random_;
  PlatformFaults faults_;
  std::map<std::string, StoredRow> rows_;
  std::map<std::string, std::string> objects_;
  std::deque<VmSnapshot> vm_snapshots_;
  int64_t last_version_ = 0;
  uint64_t requests_ = 0;
  uint64_t reads_ = 0;
  uint64_t transactions_ = 0;
  uint64_t commits_ = 0;
  uint64_t conflicts_ = 0;
  uint64_t object_writes_ = 0;
  uint64_t refused_ = 0;
  uint64_t dropped_responses_ = 0;

  HttpServer server_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_STANDIN_PLATFORM_PLATFORM_STANDIN_H_
