#include "document_rows.h"

#include <algorithm>
#include <array>
#include <exception>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "json_text.h"
#include "name_table.h"
#include "xxhash.h"

namespace radishrail::internal {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameLength = 64;
constexpr std::array<std::string_view, 2> kOperationStates = {"accepted",
                                                              "rejected"};

bool IsIdentifier(std::string_view text, std::string_view punctuation) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [&](unsigned char c) {
           return absl::ascii_isalnum(c) ||
                  punctuation.find(static_cast<char>(c)) !=
                      std::string_view::npos;
         });
}

// Runs `read` on the JSON of a row. The library reports missing fields and
// wrong types as exceptions, which are caught here.
template <typename Result, typename Function>
std::optional<Result> Decode(std::string_view value, const Function& read) {
  if (value.empty()) {
    return Result{};
  }
  try {
    return read(Json::parse(value.begin(), value.end()));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Json StageToJson(const StageState& stage) {
  return {{"version", stage.version},
          {"revision", stage.revision},
          {"body_hash", stage.body_hash},
          {"operation", stage.operation}};
}

StageState StageFromJson(const Json& json) {
  return {json.at("version").get<int64_t>(), json.at("revision").get<int64_t>(),
          json.at("body_hash").get<std::string>(),
          json.at("operation").get<std::string>()};
}

}  // namespace

std::string EnvironmentKey(std::string_view environment) {
  return absl::StrCat(kEnvironmentPrefix, std::string(environment));
}

std::string LogKey(int64_t revision) {
  return absl::StrCat("documents/log/", revision);
}

std::string OperationKey(std::string_view operation) {
  return absl::StrCat("operation/", std::string(operation));
}

std::string ObjectName(std::string_view environment,
                       int64_t version,
                       std::string_view body_hash) {
  return absl::StrCat(kEnvironmentPrefix, std::string(environment), "/",
                      version, "/", std::string(body_hash));
}

std::string BodyHash(std::string_view body) {
  const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

bool IsEnvironmentName(std::string_view text) {
  return IsIdentifier(text, "_-");
}

bool IsOperationId(std::string_view text) {
  return IsIdentifier(text, "._:-");
}

std::string EncodeHead(int64_t revision) {
  return JsonText(Json{{"revision", revision}});
}

std::optional<int64_t> DecodeHead(std::string_view value) {
  return Decode<int64_t>(value, [](const Json& json) {
    return json.at("revision").get<int64_t>();
  });
}

std::string EncodeEnvironment(const EnvironmentRow& row) {
  Json candidates = Json::array();
  for (const auto& it : row.candidates) {
    candidates.push_back(
        {{"version", it.version}, {"body_hash", it.body_hash}});
  }
  return JsonText(Json{{"trial", StageToJson(row.trial)},
                       {"production", StageToJson(row.production)},
                       {"last_version", row.last_version},
                       {"revision", row.revision},
                       {"operation", row.operation},
                       {"candidates", std::move(candidates)}});
}

std::optional<EnvironmentRow> DecodeEnvironment(std::string_view value) {
  return Decode<EnvironmentRow>(value, [](const Json& json) {
    EnvironmentRow row;
    row.trial = StageFromJson(json.at("trial"));
    row.production = StageFromJson(json.at("production"));
    row.last_version = json.at("last_version").get<int64_t>();
    row.revision = json.at("revision").get<int64_t>();
    row.operation = json.at("operation").get<std::string>();
    for (const auto& it : json.at("candidates")) {
      row.candidates.push_back({it.at("version").get<int64_t>(),
                                it.at("body_hash").get<std::string>()});
    }
    return row;
  });
}

std::string EncodeLog(const LogRow& row) {
  return JsonText(Json{{"environment", row.environment},
                       {"stage", StageName(row.stage)},
                       {"version", row.version},
                       {"body_hash", row.body_hash}});
}

std::optional<LogRow> DecodeLog(std::string_view value) {
  return Decode<LogRow>(value, [](const Json& json) {
    LogRow row;
    row.environment = json.at("environment").get<std::string>();
    row.stage = StageFromName(json.at("stage").get<std::string>()).value();
    row.version = json.at("version").get<int64_t>();
    row.body_hash = json.at("body_hash").get<std::string>();
    return row;
  });
}

std::string EncodeOperation(const OperationRow& row) {
  return JsonText(Json{{"state", NameOf(kOperationStates, row.state)},
                       {"environment", row.environment},
                       {"request", row.request},
                       {"version", row.version},
                       {"revision", row.revision},
                       {"code", ErrorCodeName(row.code)},
                       {"detail", row.detail}});
}

std::optional<OperationRow> DecodeOperation(std::string_view value) {
  return Decode<OperationRow>(value, [](const Json& json) {
    OperationRow row;
    row.state = FromName<OperationState>(kOperationStates,
                                         json.at("state").get<std::string>())
                    .value();
    row.environment = json.at("environment").get<std::string>();
    row.request = json.at("request").get<std::string>();
    row.version = json.at("version").get<int64_t>();
    row.revision = json.at("revision").get<int64_t>();
    row.code = ErrorCodeFromName(json.at("code").get<std::string>()).value();
    row.detail = json.at("detail").get<std::string>();
    return row;
  });
}

}  // namespace radishrail::internal
