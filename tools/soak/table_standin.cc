#include "table_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace radishrail {

namespace {

using Json = nlohmann::json;

constexpr int kPreconditionFailed = 412;
constexpr int kGone = 410;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpServerSettings ServerSettings() {
  HttpServerSettings settings;
  settings.idle_timeout = absl::Minutes(10);
  settings.request_timeout = absl::InfiniteDuration();
  settings.request_headers = {"Host"};
  return settings;
}

std::string RowKey(const Json& row) {
  return absl::StrCat(row.value("table", ""), "/", row.value("key", ""));
}

int64_t ParseNumber(std::string_view text) {
  int64_t n = 0;
  return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &n) ? n
                                                                           : 0;
}

HttpResponse Respond(int status, std::string body = "{}") {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

TableStandin::TableStandin(ControlLoop& loop)
    : loop_(loop),
      server_(ServerSettings(),
              [this](const HttpRequest& request, const HttpResponder& respond) {
                loop_.Post([this, request, respond] {
                  loop_.PostDelayed(faults.delay, [this, request, respond] {
                    HandleRequest(request, respond);
                  });
                });
              }) {}

void TableStandin::Put(const std::string& key, const std::string& value) {
  rows_.Put(key, value);
}

std::string TableStandin::Get(const std::string& key) const {
  const auto it = rows_.rows.find(key);
  return it == rows_.rows.end() ? "" : it->second.value;
}

void TableStandin::Tick() {
  const absl::Time now = absl::Now();
  std::erase_if(watches_, [&](const Watch& it) {
    const bool changed =
        !rows_.Select(absl::StrCat(it.table, "/"), it.version).rows.empty();
    if (changed || it.deadline <= now) {
      it.respond(
          Respond(200, RowsResponseBody(it.table, "", it.version, it.host)));
    }
    return changed || it.deadline <= now;
  });
}

std::string TableStandin::RowsResponseBody(const std::string& table,
                                           const std::string& from,
                                           int64_t after,
                                           const std::string& host) const {
  const std::string prefix = absl::StrCat(table, "/");
  Json rows = Json::array();
  for (const auto& it : rows_.Select(prefix, after).rows) {
    const std::string name = it.key.substr(prefix.size());
    if (name < from) {
      continue;
    }
    Json row = {{"table", table}, {"part", ""}, {"key", name}};
    row["ver"] = it.version;
    if (it.version == 0) {
      row["tombstone"] = true;
    } else {
      row["value"] = absl::Base64Escape(value_for_reader(host, it.value));
    }
    rows.push_back(std::move(row));
  }
  return Json{{"rows", std::move(rows)},
              {"ver", rows_.version},
              {"nowMs", absl::ToUnixMillis(absl::Now())},
              {"truncated", false}}
      .dump();
}

void TableStandin::HandleRequest(const HttpRequest& request,
                                 const HttpResponder& respond) {
  const std::string table(request.Query("table"));
  const std::string host(request.Header("Host"));
  if (faults.unavailable) {
    respond(Respond(kUnavailable));
  } else if (request.path == "/rows-get") {
    respond(Respond(
        200,
        RowsResponseBody(table, std::string(request.Query("from")), 0, host)));
  } else if (request.path == "/rows-feed") {
    const int64_t version = ParseNumber(request.Query("dependsOn"));
    if (version < oldest_version_) {
      respond(Respond(kGone));
      return;
    }
    watches_.push_back(
        {table, version, host,
         absl::Now() + absl::Milliseconds(ParseNumber(request.Query("waitMs"))),
         respond});
    Tick();
  } else if (request.path == "/rows-tx") {
    Transact(request, respond);
  } else {
    respond(Respond(kNotFound));
  }
}

void TableStandin::Transact(const HttpRequest& request,
                            const HttpResponder& respond) {
  const Json root = Json::parse(request.body);
  for (const auto& it : root["expectedRev"]) {
    const auto row = rows_.rows.find(RowKey(it));
    const int64_t version = row == rows_.rows.end() ? 0 : row->second.version;
    if (version != it.value("ver", int64_t{0})) {
      respond(Respond(kPreconditionFailed, R"({"rows":[]})"));
      return;
    }
  }
  for (const auto& it : root["writes"]) {
    std::string value;
    absl::Base64Unescape(it.value("value", ""), &value);
    rows_.Put(RowKey(it), value);
  }
  for (const auto& it : root["remove"]) {
    rows_.Remove(RowKey(it));
  }
  if (faults.drop_transaction_answers) {
    respond.CloseConnection();
  } else {
    respond(Respond(200, Json{{"ver", rows_.version}}.dump()));
  }
}

}  // namespace radishrail
