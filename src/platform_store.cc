#include "radishrail/platform_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "json_text.h"

namespace radishrail {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

// The error for a result without a response or with an unexpected status.
Error ErrorOf(const HttpResult& result, Step step, const std::string& peer) {
  if (!result.error.ok()) {
    return {ErrorCode::kPlatformUnavailable, step, peer, result.error.detail};
  }
  return {ErrorCode::kPlatformUnavailable, step, peer,
          "status " + std::to_string(result.status)};
}

Error MalformedResponse(Step step, const std::string& peer) {
  return {ErrorCode::kProtocol, step, peer,
          "the platform's response is malformed"};
}

std::optional<std::string> StringAt(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

std::optional<int64_t> IntegerAt(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  return it->get<int64_t>();
}

json ParseBody(const HttpResult& result) {
  return json::parse(result.body, nullptr, false);
}

std::optional<Row> RowFrom(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  auto key = StringAt(object, "key");
  auto value = StringAt(object, "value");
  const auto version = IntegerAt(object, "version");
  if (!key || !value || !version) {
    return std::nullopt;
  }
  return Row{*std::move(key), *std::move(value), *version};
}

std::optional<std::vector<Row>> RowsFrom(const json& array) {
  if (!array.is_array()) {
    return std::nullopt;
  }
  std::vector<Row> rows;
  rows.reserve(array.size());
  for (const auto& it : array) {
    auto row = RowFrom(it);
    if (!row) {
      return std::nullopt;
    }
    rows.push_back(*std::move(row));
  }
  return rows;
}

std::optional<VmInfo> VmFrom(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  auto vm = StringAt(object, "vm");
  const auto role = StringAt(object, "role");
  auto address = StringAt(object, "address");
  auto failure_domain = StringAt(object, "failure_domain");
  const auto state = StringAt(object, "state");
  if (!vm || !address || !failure_domain || !role || !state ||
      (*role != "entry" && *role != "upstream") ||
      (*state != "live" && *state != "leaving")) {
    return std::nullopt;
  }
  VmInfo info;
  info.vm = *std::move(vm);
  info.role = *role == "entry" ? VmRole::kEntry : VmRole::kUpstream;
  info.address = *std::move(address);
  info.failure_domain = *std::move(failure_domain);
  info.state = *state == "live" ? VmState::kLive : VmState::kLeaving;
  info.upstream_class = StringAt(object, "upstream_class").value_or("");
  info.slots = static_cast<int>(IntegerAt(object, "slots").value_or(0));
  return info;
}

std::optional<std::vector<VmInfo>> VmsFrom(const json& array) {
  if (!array.is_array()) {
    return std::nullopt;
  }
  std::vector<VmInfo> vms;
  vms.reserve(array.size());
  for (const auto& it : array) {
    auto vm = VmFrom(it);
    if (!vm) {
      return std::nullopt;
    }
    vms.push_back(*std::move(vm));
  }
  return vms;
}

json ToJson(const Transaction& transaction) {
  json body = {{"checks", json::array()}, {"writes", json::array()}};
  for (const auto& it : transaction.checks) {
    body["checks"].push_back({{"key", it.key}, {"version", it.version}});
  }
  for (const auto& it : transaction.writes) {
    body["writes"].push_back(
        {{"key", it.key}, {"value", it.value ? json(*it.value) : json()}});
  }
  return body;
}

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  std::string conflict;
  Error error;
};

TransactionResult TransactionResultOf(const HttpResult& result,
                                      const std::string& peer) {
  TransactionResult out;
  if (!result.error.ok() ||
      (result.status != kOk && result.status != kConflict)) {
    out.error = ErrorOf(result, Step::kPlatformWrite, peer);
    return out;
  }
  const json body = ParseBody(result);
  const auto committed = body.is_object() ? body.find("committed") : body.end();
  if (committed == body.end() || !committed->is_boolean() ||
      committed->get<bool>() != (result.status == kOk)) {
    out.error = MalformedResponse(Step::kPlatformWrite, peer);
    return out;
  }
  if (committed->get<bool>()) {
    out.outcome = TransactionOutcome::kCommitted;
    return out;
  }
  out.outcome = TransactionOutcome::kConflict;
  out.conflict = StringAt(body, "conflict").value_or("");
  return out;
}

}  // namespace

HttpStore::HttpStore(HttpStoreSettings settings, HttpClient& client)
    : settings_(std::move(settings)), client_(client) {}

HttpClientRequest HttpStore::NewRequest(std::string method,
                                        std::string target) const {
  HttpClientRequest request;
  request.method = std::move(method);
  request.address = settings_.address;
  request.target = std::move(target);
  request.timeout = settings_.timeout;
  request.headers = {"Radishrail-Vm: " + settings_.vm,
                     "Content-Type: application/json"};
  return request;
}

void HttpStore::Read(const std::string& key, ReadCallback callback) {
  client_.Send(
      NewRequest("GET", "/table/" + PercentEncode(key)),
      [key, peer = settings_.address,
       callback = std::move(callback)](const HttpResult& result) {
        if (!result.error.ok() || result.status != kOk) {
          callback(std::nullopt, ErrorOf(result, Step::kPlatformRead, peer));
          return;
        }
        auto row = RowFrom(ParseBody(result));
        if (!row || row->key != key) {
          callback(std::nullopt, MalformedResponse(Step::kPlatformRead, peer));
          return;
        }
        callback(std::move(row), {});
      });
}

void HttpStore::List(const std::string& prefix, ListCallback callback) {
  client_.Send(NewRequest("GET", "/table?prefix=" + PercentEncode(prefix)),
               [peer = settings_.address,
                callback = std::move(callback)](const HttpResult& result) {
                 if (!result.error.ok() || result.status != kOk) {
                   callback(std::nullopt,
                            ErrorOf(result, Step::kPlatformRead, peer));
                   return;
                 }
                 auto rows = RowsFrom(ParseBody(result));
                 Error error;
                 if (!rows) {
                   error = MalformedResponse(Step::kPlatformRead, peer);
                 }
                 callback(std::move(rows), std::move(error));
               });
}

void HttpStore::Transact(Transaction transaction, TransactCallback callback) {
  HttpClientRequest request = NewRequest("POST", "/transact");
  request.body = internal::JsonText(ToJson(transaction));
  client_.Send(std::move(request), [peer = settings_.address,
                                    callback = std::move(callback)](
                                       const HttpResult& result) {
    auto out = TransactionResultOf(result, peer);
    callback(out.outcome, std::move(out.conflict), std::move(out.error));
  });
}

void HttpStore::GetObject(const std::string& name, ObjectCallback callback) {
  client_.Send(
      NewRequest("GET", "/objects/" + PercentEncode(name)),
      [name, peer = settings_.address,
       callback = std::move(callback)](HttpResult result) {
        if (result.error.ok() && result.status == kNotFound) {
          callback(std::nullopt, {ErrorCode::kNotFound, Step::kPlatformRead,
                                  peer, "no object \"" + name + "\""});
        } else if (!result.error.ok() || result.status != kOk) {
          callback(std::nullopt, ErrorOf(result, Step::kPlatformRead, peer));
        } else {
          callback(std::move(result.body), {});
        }
      });
}

void HttpStore::PutObject(const std::string& name,
                          std::string body,
                          ObjectCallback callback) {
  HttpClientRequest request =
      NewRequest("PUT", "/objects/" + PercentEncode(name));
  request.body = body;
  client_.Send(std::move(request),
               [body = std::move(body), peer = settings_.address,
                callback = std::move(callback)](const HttpResult& result) {
                 if (!result.error.ok() || result.status != kOk) {
                   callback(std::nullopt,
                            ErrorOf(result, Step::kPlatformWrite, peer));
                 } else {
                   callback(body, {});
                 }
               });
}

void HttpStore::ListVms(VmCallback callback) {
  client_.Send(NewRequest("GET", "/vms"), [peer = settings_.address,
                                           callback = std::move(callback)](
                                              const HttpResult& result) {
    if (!result.error.ok() || result.status != kOk) {
      callback(std::nullopt, ErrorOf(result, Step::kPlatformRead, peer));
      return;
    }
    auto vms = VmsFrom(ParseBody(result));
    Error error;
    if (!vms) {
      error = MalformedResponse(Step::kPlatformRead, peer);
    }
    callback(std::move(vms), std::move(error));
  });
}

}  // namespace radishrail
