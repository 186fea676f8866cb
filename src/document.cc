#include "radishrail/document.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "name_table.h"

namespace radishrail {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 2> kStages = {"trial", "production"};

// Bounds memory and the size of one part of a transfer between peers.
constexpr size_t kMaxDocumentBytes = 256 * 1024;
constexpr size_t kMaxNesting = 16;
constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxTokens = 64;
constexpr size_t kMinTokenLength = 1;
constexpr size_t kMaxTokenLength = 256;
constexpr size_t kMaxClasses = 64;
constexpr size_t kMaxTeams = 1024;

// Reads and checks the fields of one JSON object; reports the first error only.
class Reader {
 public:
  Reader(const Json& object, std::string path, Error* error)
      : object_(object), path_(std::move(path)), error_(error) {}

  bool ok() const { return ok_; }

  bool SetError(std::string_view field, std::string_view problem) {
    if (ok_) {
      ok_ = false;
      Fail(error_, ErrorCode::kInvalidArgument, Step::kDocument,
           absl::StrCat("field ", Path(field), " ", std::string(problem)));
    }
    return false;
  }

  std::string Path(std::string_view field) const {
    return absl::StrCat(path_, path_.empty() ? "" : ".", std::string(field));
  }

  bool ExpectObject(std::initializer_list<std::string_view> allowed) {
    if (!object_.is_object()) {
      ok_ = false;
      Fail(error_, ErrorCode::kInvalidArgument, Step::kDocument,
           absl::StrCat(path_.empty() ? "the document" : "field " + path_,
                        " must be an object"));
      return false;
    }
    for (const auto& [name, value] : object_.items()) {
      if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
        return SetError(name, "is unknown");
      }
    }
    return true;
  }

  // nullptr if the field is absent.
  const Json* Find(std::string_view field) const {
    const auto it = object_.find(std::string(field));
    return it == object_.end() ? nullptr : &*it;
  }

  void ReadName(std::string_view field, std::string& value) {
    const Json* json = Find(field);
    if (json == nullptr) {
      SetError(field, "is required");
    } else if (CheckName(field, *json)) {
      value = json->get<std::string>();
    }
  }

  bool CheckName(std::string_view field, const Json& json) {
    const auto* text = json.get_ptr<const std::string*>();
    if (text == nullptr || text->empty() || text->size() > kMaxNameLength ||
        !std::all_of(text->begin(), text->end(), [](unsigned char c) {
          return absl::ascii_isalnum(c) || c == '_' || c == '-';
        })) {
      return SetError(field,
                      absl::StrCat("must be a string of 1 to ", kMaxNameLength,
                                   " characters of A-Z a-z 0-9 _ -"));
    }
    return true;
  }

  void ReadInteger(std::string_view field, int min, int max, int& value) {
    const Json* json = Find(field);
    if (json == nullptr) {
      return;
    }
    // Checked before the conversion to int, which would truncate floating-point
    // and large numbers.
    const bool fits =
        json->is_number_unsigned()
            ? json->get<uint64_t>() <= static_cast<uint64_t>(max) &&
                  static_cast<int64_t>(json->get<uint64_t>()) >= min
            : json->is_number_integer() && json->get<int64_t>() >= min &&
                  json->get<int64_t>() <= max;
    if (!fits) {
      SetError(field,
               absl::StrCat("must be an integer from ", min, " to ", max));
      return;
    }
    value = json->get<int>();
  }

  // The elements of an array; nullptr if the field is absent or invalid.
  const Json* FindArray(std::string_view field, size_t max) {
    const Json* json = Find(field);
    if (json != nullptr && (!json->is_array() || json->size() > max)) {
      SetError(field,
               absl::StrCat("must be an array of at most ", max, " elements"));
      return nullptr;
    }
    return json;
  }

 private:
  const Json& object_;
  const std::string path_;
  Error* error_;
  bool ok_ = true;
};

std::string ElementPath(std::string_view field, size_t index) {
  return absl::StrCat(std::string(field), "[", index, "]");
}

void ReadTokens(Reader& reader, EnvironmentDocument& document) {
  const Json* tokens = reader.FindArray("caller_tokens", kMaxTokens);
  if (tokens == nullptr) {
    return;
  }
  for (size_t i = 0; i < tokens->size(); ++i) {
    const auto* token = (*tokens)[i].get_ptr<const std::string*>();
    if (token == nullptr || token->size() < kMinTokenLength ||
        token->size() > kMaxTokenLength ||
        !std::all_of(token->begin(), token->end(),
                     [](unsigned char c) { return absl::ascii_isgraph(c); })) {
      reader.SetError(ElementPath("caller_tokens", i),
                      absl::StrCat("must be a string of ", kMinTokenLength,
                                   " to ", kMaxTokenLength,
                                   " printable characters without blanks"));
      return;
    }
    document.caller_tokens.push_back(*token);
  }
}

void ReadClasses(Reader& reader, EnvironmentDocument& document) {
  const Json* classes = reader.FindArray("upstream_classes", kMaxClasses);
  if (classes == nullptr) {
    return;
  }
  for (size_t i = 0; i < classes->size(); ++i) {
    if (!reader.CheckName(ElementPath("upstream_classes", i), (*classes)[i])) {
      return;
    }
    document.upstream_classes.push_back((*classes)[i].get<std::string>());
  }
}

bool ReadTeams(Reader& reader, Error* error, EnvironmentDocument& document) {
  const Json* teams = reader.FindArray("teams", kMaxTeams);
  if (teams == nullptr) {
    return reader.ok();
  }
  std::set<std::string> names;
  for (size_t i = 0; i < teams->size(); ++i) {
    Reader entry((*teams)[i], ElementPath("teams", i), error);
    TeamQuota team;
    if (!entry.ExpectObject({"name", "share", "max_running_tasks"})) {
      return false;
    }
    entry.ReadName("name", team.name);
    entry.ReadInteger("share", 1, 1000000, team.share);
    entry.ReadInteger("max_running_tasks", 0, 100000000,
                      team.max_running_tasks);
    if (entry.ok() && !names.insert(team.name).second) {
      entry.SetError("name", "must be unique");
    }
    if (!entry.ok()) {
      return false;
    }
    document.teams.push_back(std::move(team));
  }
  return true;
}

bool ReadRetry(const Json& json, Error* error, RetryPolicy& retry) {
  Reader reader(json, "retry", error);
  if (!reader.ExpectObject({"max_attempts", "backoff_ms", "budget_percent"})) {
    return false;
  }
  int backoff_ms = static_cast<int>(absl::ToInt64Milliseconds(retry.backoff));
  reader.ReadInteger("max_attempts", 1, 100, retry.max_attempts);
  reader.ReadInteger("backoff_ms", 0, 60000, backoff_ms);
  reader.ReadInteger("budget_percent", 0, 100, retry.budget_percent);
  retry.backoff = absl::Milliseconds(backoff_ms);
  return reader.ok();
}

// Parses JSON and rejects input that the library accepts silently: duplicate
// names in an object, of which the last would win, and deep nesting.
std::optional<Json> ParseStrictly(std::string_view body, Error* error) {
  std::string problem;
  std::vector<std::set<std::string>> names;
  const auto on_event = [&](int depth, Json::parse_event_t event, Json& value) {
    if (static_cast<size_t>(depth) > kMaxNesting) {
      problem = "is nested too deeply";
    } else if (event == Json::parse_event_t::object_start) {
      names.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      names.pop_back();
    } else if (event == Json::parse_event_t::key &&
               !names.back().insert(value.get<std::string>()).second) {
      problem = absl::StrCat("has the field \"", value.get<std::string>(),
                             "\" twice in one object");
    }
    return true;
  };
  // The library reports syntax errors as exceptions, which are caught here.
  try {
    Json json = Json::parse(body.begin(), body.end(), on_event);
    if (problem.empty()) {
      return json;
    }
  } catch (const std::exception& ec) {
    problem = absl::StrCat("is not valid JSON: ", ec.what());
  }
  return Fail(error, ErrorCode::kInvalidArgument, Step::kDocument,
              absl::StrCat("the document ", problem));
}

}  // namespace

std::string_view StageName(Stage stage) {
  return internal::NameOf(kStages, stage);
}

std::optional<Stage> StageFromName(std::string_view name) {
  return internal::FromName<Stage>(kStages, name);
}

const TeamQuota* EnvironmentDocument::FindTeam(std::string_view team) const {
  for (const auto& it : teams) {
    if (it.name == team) {
      return &it;
    }
  }
  return nullptr;
}

bool EnvironmentDocument::AllowsToken(std::string_view token) const {
  bool allowed = false;
  // No early return: the run time must not reveal which token matched.
  for (const auto& it : caller_tokens) {
    allowed |= SecretsEqual(token, it);
  }
  return allowed;
}

std::optional<EnvironmentDocument> ParseDocument(std::string_view body,
                                                 Error* error) {
  if (body.size() > kMaxDocumentBytes) {
    return Fail(error, ErrorCode::kTooLarge, Step::kDocument,
                absl::StrCat("the document has ", body.size(),
                             " bytes; allowed are ", kMaxDocumentBytes));
  }
  const std::optional<Json> json = ParseStrictly(body, error);
  if (!json.has_value()) {
    return std::nullopt;
  }
  Reader reader(*json, "", error);
  if (!reader.ExpectObject({"environment", "caller_tokens", "promised_ms",
                            "upstream_classes", "max_queued_tasks", "teams",
                            "retry"})) {
    return std::nullopt;
  }
  EnvironmentDocument document;
  int promised_ms =
      static_cast<int>(absl::ToInt64Milliseconds(document.promised));
  reader.ReadName("environment", document.environment);
  ReadTokens(reader, document);
  reader.ReadInteger("promised_ms", 1, 570000, promised_ms);
  ReadClasses(reader, document);
  reader.ReadInteger("max_queued_tasks", 1, 10000000,
                     document.max_queued_tasks);
  document.promised = absl::Milliseconds(promised_ms);
  if (!reader.ok() || !ReadTeams(reader, error, document)) {
    return std::nullopt;
  }
  const Json* retry = reader.Find("retry");
  if (retry != nullptr && !ReadRetry(*retry, error, document.retry)) {
    return std::nullopt;
  }
  return document;
}

bool SecretsEqual(std::string_view given, std::string_view expected) {
  size_t difference = given.size() ^ expected.size();
  for (size_t i = 0; i < expected.size(); ++i) {
    const unsigned char c =
        given.empty() ? 0 : static_cast<unsigned char>(given[i % given.size()]);
    difference |= c ^ static_cast<unsigned char>(expected[i]);
  }
  return difference == 0;
}

}  // namespace radishrail
