#include "radishrail/job_json.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "json_text.h"
#include "xxhash.h"

namespace radishrail {

namespace {

using Json = nlohmann::json;

// Upper bound of `declared_slots`. The scheduler refuses jobs whose tasks fit
// on no upstream; this bound only keeps sums of slots within an int.
constexpr uint64_t kMaxDeclaredSlots = 1024;
// Limits the length of request text that an error quotes.
constexpr size_t kMaxQuotedBytes = 160;
// Nesting of a response: object, task list, task, error.
constexpr int kMaxAnswerDepth = 4;

absl::string_view Absl(std::string_view text) {
  return {text.data(), text.size()};
}

// Makes untrusted text printable and limits its length.
std::string Quote(std::string_view text) {
  std::string out;
  for (const char it : text.substr(0, kMaxQuotedBytes)) {
    out.push_back(it >= 0x20 && it < 0x7f ? it : '?');
  }
  if (text.size() > kMaxQuotedBytes) {
    out.append("...");
  }
  return out;
}

enum class Field {
  kNone,
  kEnvironment,
  kTeam,
  kDeadline,
  kTasks,
  kId,
  kKind,
  kPayload,
  kDeclaredRun,
  kDeclaredSlots,
  kIdempotent,
};

enum class FieldType { kNone, kName, kOptionalName, kText, kInteger, kBoolean };

struct FieldInfo {
  std::string_view name;
  Field field = Field::kNone;
  FieldType type = FieldType::kNone;
  uint64_t min = 0;
  uint64_t max = 0;
};

constexpr uint64_t kMaxDeadlineMs = 570'000;
static_assert(kMaxDeadline == absl::Milliseconds(kMaxDeadlineMs));
static_assert(kMinDeadline == absl::Milliseconds(1));

constexpr std::array kJobFields = {
    FieldInfo{"environment", Field::kEnvironment, FieldType::kName},
    FieldInfo{"team", Field::kTeam, FieldType::kOptionalName},
    FieldInfo{"deadline_ms", Field::kDeadline, FieldType::kInteger, 1,
              kMaxDeadlineMs},
    FieldInfo{"tasks", Field::kTasks, FieldType::kNone},
};
constexpr std::array kTaskFields = {
    FieldInfo{"id", Field::kId, FieldType::kName},
    FieldInfo{"kind", Field::kKind, FieldType::kName},
    FieldInfo{"payload", Field::kPayload, FieldType::kText},
    FieldInfo{"declared_run_ms", Field::kDeclaredRun, FieldType::kInteger, 0,
              kMaxDeadlineMs},
    FieldInfo{"declared_slots", Field::kDeclaredSlots, FieldType::kInteger, 1,
              kMaxDeclaredSlots},
    FieldInfo{"idempotent", Field::kIdempotent, FieldType::kBoolean},
};

template <size_t kSize>
const FieldInfo* FindField(const std::array<FieldInfo, kSize>& fields,
                           std::string_view name) {
  for (const auto& it : fields) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

template <size_t kSize>
std::string FieldNames(const std::array<FieldInfo, kSize>& fields) {
  std::string out;
  for (const auto& it : fields) {
    absl::StrAppend(&out, out.empty() ? "" : ", ", Absl(it.name));
  }
  return out;
}

std::string AllowedValues(const FieldInfo& info) {
  switch (info.type) {
    case FieldType::kName:
      return absl::StrCat("a string of 1 to ", kMaxNameBytes,
                          " bytes without control characters");
    case FieldType::kOptionalName:
      return absl::StrCat("a string of at most ", kMaxNameBytes,
                          " bytes without control characters");
    case FieldType::kText:
      return "a string";
    case FieldType::kInteger:
      return absl::StrCat("an integer from ", info.min, " to ", info.max);
    case FieldType::kBoolean:
      return "true or false";
    case FieldType::kNone:
      break;
  }
  return absl::StrCat("an array of 1 to ", kMaxTasksPerJob, " task objects");
}

bool IsValidName(std::string_view text, FieldType type) {
  if (text.size() > kMaxNameBytes ||
      (text.empty() && type == FieldType::kName)) {
    return false;
  }
  return std::none_of(text.begin(), text.end(), [](char it) {
    return static_cast<unsigned char>(it) < 0x20 || it == 0x7f;
  });
}

// SAX handler for a job body. Builds the job without an intermediate tree and
// stops at the first violation, so that nesting depth, number of tasks and
// memory are bounded during parsing.
class JobReader {
 public:
  explicit JobReader(JobSpec* job) : job_(*job) {}

  // SAX interface of the JSON library; returning false stops the parser.
  bool null() { return RejectValue("null"); }
  bool boolean(bool value) {
    if (!IsExpected(FieldType::kBoolean)) {
      return RejectValue(value ? "true" : "false");
    }
    job_.tasks.back().idempotent = value;
    return AcceptValue();
  }
  bool number_integer(int64_t value) {
    return RejectValue(absl::StrCat(value));
  }
  bool number_unsigned(uint64_t value) { return StoreInteger(value); }
  bool number_float(double /*value*/, const std::string& text) {
    return RejectValue(Quote(text));
  }
  bool string(const std::string& value) { return StoreString(value); }
  bool binary(Json::binary_t& /*value*/) { return RejectValue("binary data"); }
  bool start_object(size_t /*size*/);
  bool key(const std::string& name);
  bool end_object();
  bool start_array(size_t /*size*/);
  bool end_array();
  bool parse_error(size_t position,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& ec);

  const Error& error() const { return error_; }

 private:
  enum class Level { kStart, kJob, kTaskList, kTask, kEnd };

  bool Reject(std::string detail,
              ErrorCode code = ErrorCode::kInvalidArgument) {
    error_ = {code, Step::kParsing, "", std::move(detail)};
    return false;
  }
  std::string Path() const;
  // Rejects the current value; the error states the field, the allowed values
  // and `found`.
  bool RejectValue(std::string_view found);
  bool IsExpected(FieldType type) const {
    return info_ != nullptr && info_->type == type;
  }
  bool AcceptValue() {
    info_ = nullptr;
    return true;
  }
  bool StoreInteger(uint64_t value);
  bool StoreString(const std::string& value);
  bool Require(Field field, std::string_view name);
  bool HasField(Field field) const {
    return (seen_fields_ >> static_cast<int>(field) & 1) != 0;
  }

  JobSpec& job_;
  Error error_;
  Level level_ = Level::kStart;
  const FieldInfo* info_ = nullptr;  // field of the next value
  uint32_t seen_fields_ = 0;  // bit set of the fields of the current object
  uint32_t seen_job_fields_ = 0;
};

std::string JobReader::Path() const {
  std::string path;
  if (level_ == Level::kTaskList) {
    path = absl::StrCat("tasks[", job_.tasks.size(), "]");
  } else if (level_ == Level::kTask) {
    path = absl::StrCat("tasks[", job_.tasks.size() - 1, "]");
  }
  if (info_ != nullptr) {
    absl::StrAppend(&path, path.empty() ? "" : ".", Absl(info_->name));
  }
  return path.empty() ? "body" : path;
}

bool JobReader::RejectValue(std::string_view found) {
  const std::string allowed =
      info_ != nullptr ? AllowedValues(*info_) : "an object";
  return Reject(
      absl::StrCat(Path(), " must be ", allowed, "; found ", Absl(found)));
}

bool JobReader::StoreInteger(uint64_t value) {
  if (!IsExpected(FieldType::kInteger) || value < info_->min ||
      value > info_->max) {
    return RejectValue(absl::StrCat(value));
  }
  const auto n = static_cast<int64_t>(value);
  if (info_->field == Field::kDeadline) {
    job_.deadline = absl::Milliseconds(n);
  } else if (info_->field == Field::kDeclaredRun) {
    job_.tasks.back().declared_run = absl::Milliseconds(n);
  } else {
    job_.tasks.back().declared_slots = static_cast<int>(n);
  }
  return AcceptValue();
}

bool JobReader::StoreString(const std::string& value) {
  if (info_ == nullptr || info_->type == FieldType::kNone ||
      info_->type == FieldType::kInteger ||
      info_->type == FieldType::kBoolean) {
    return RejectValue("a string");
  }
  if (info_->type != FieldType::kText && !IsValidName(value, info_->type)) {
    return RejectValue(absl::StrCat("a string of ", value.size(), " bytes: '",
                                    Quote(value), "'"));
  }
  // Copies, since moving the library's token buffer out would cause an
  // allocation for each token.
  switch (info_->field) {
    case Field::kEnvironment:
      job_.environment = value;
      break;
    case Field::kTeam:
      job_.team = value;
      break;
    case Field::kId:
      job_.tasks.back().id = value;
      break;
    case Field::kKind:
      job_.tasks.back().kind = value;
      break;
    default:
      job_.tasks.back().payload = value;
      break;
  }
  return AcceptValue();
}

bool JobReader::start_object(size_t /*size*/) {
  if (level_ == Level::kStart) {
    level_ = Level::kJob;
    return true;
  }
  if (level_ != Level::kTaskList) {
    return RejectValue("an object");
  }
  if (job_.tasks.size() == kMaxTasksPerJob) {
    return Reject(absl::StrCat("tasks must have 1 to ", kMaxTasksPerJob,
                               " elements; found more"),
                  ErrorCode::kTooLarge);
  }
  job_.tasks.emplace_back();
  seen_job_fields_ = seen_fields_;
  seen_fields_ = 0;
  level_ = Level::kTask;
  return true;
}

bool JobReader::key(const std::string& name) {
  const bool in_task = level_ == Level::kTask;
  const FieldInfo* info =
      in_task ? FindField(kTaskFields, name) : FindField(kJobFields, name);
  if (info == nullptr) {
    return Reject(
        absl::StrCat(Path(), " must have only the fields ",
                     in_task ? FieldNames(kTaskFields) : FieldNames(kJobFields),
                     "; found '", Quote(name), "'"));
  }
  info_ = info;
  if (HasField(info->field)) {
    return Reject(absl::StrCat(Path(), " must be given once; found it twice"));
  }
  seen_fields_ |= 1U << static_cast<int>(info->field);
  return true;
}

bool JobReader::Require(Field field, std::string_view name) {
  if (HasField(field)) {
    return true;
  }
  const std::string path = level_ == Level::kTask ? Path() + "." : "";
  return Reject(absl::StrCat(path, Absl(name), " is required; found none"));
}

bool JobReader::end_object() {
  if (level_ == Level::kTask) {
    if (!Require(Field::kId, "id") || !Require(Field::kKind, "kind")) {
      return false;
    }
    seen_fields_ = seen_job_fields_;
    level_ = Level::kTaskList;
    return true;
  }
  if (!Require(Field::kEnvironment, "environment") ||
      !Require(Field::kTasks, "tasks")) {
    return false;
  }
  level_ = Level::kEnd;
  return true;
}

bool JobReader::start_array(size_t /*size*/) {
  if (level_ != Level::kJob || info_ == nullptr ||
      info_->field != Field::kTasks) {
    return RejectValue("an array");
  }
  level_ = Level::kTaskList;
  return AcceptValue();
}

bool JobReader::end_array() {
  level_ = Level::kJob;
  if (job_.tasks.empty()) {
    return Reject(absl::StrCat("tasks must have 1 to ", kMaxTasksPerJob,
                               " elements; found 0"));
  }
  return true;
}

bool JobReader::parse_error(size_t position,
                            const std::string& /*token*/,
                            const nlohmann::detail::exception& ec) {
  return Reject(absl::StrCat(Path(), " must be valid JSON in UTF-8; at byte ",
                             position, " found: ", Quote(ec.what())));
}

bool HasUniqueIds(const JobSpec& job, Error* error) {
  absl::flat_hash_map<absl::string_view, size_t> ids;
  ids.reserve(job.tasks.size());
  for (size_t i = 0; i < job.tasks.size(); ++i) {
    const auto [it, inserted] = ids.emplace(Absl(job.tasks[i].id), i);
    if (!inserted) {
      Fail(error, ErrorCode::kInvalidArgument, Step::kParsing,
           absl::StrCat("tasks[", i, "].id must be unique in the job; found '",
                        Quote(job.tasks[i].id), "' also in tasks[", it->second,
                        "]"));
      return false;
    }
  }
  return true;
}

// Appends a JSON string. Text that needs escapes is serialized by the library,
// which also replaces invalid UTF-8 in the output of an upstream.
void AppendString(std::string& out, std::string_view text) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char it) {
    return it >= 0x20 && it < 0x7f && it != '"' && it != '\\';
  });
  if (plain) {
    out.append(1, '"').append(text).append(1, '"');
    return;
  }
  out.append(internal::JsonText(Json(std::string(text))));
}

void AppendMember(std::string& out,
                  std::string_view name,
                  std::string_view text) {
  out.append(name);
  AppendString(out, text);
}

void AppendError(std::string& out, const Error& error) {
  if (error.ok()) {
    out.append("null");
    return;
  }
  AppendMember(out, R"({"code":)", ErrorCodeName(error.code));
  AppendMember(out, R"(,"step":)", StepName(error.step));
  AppendMember(out, R"(,"peer":)", error.peer);
  AppendMember(out, R"(,"detail":)", error.detail);
  out.push_back('}');
}

void AppendTaskSpec(std::string& out, const TaskSpec& task) {
  AppendMember(out, R"({"id":)", task.id);
  AppendMember(out, R"(,"kind":)", task.kind);
  AppendMember(out, R"(,"payload":)", task.payload);
  absl::StrAppend(&out, R"(,"declared_run_ms":)",
                  absl::ToInt64Milliseconds(task.declared_run),
                  R"(,"declared_slots":)", task.declared_slots,
                  R"(,"idempotent":)", task.idempotent ? "true" : "false", "}");
}

bool IsTooDeep(std::string_view body, int max_depth) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < body.size(); ++i) {
    const char it = body[i];
    if (in_string) {
      i += it == '\\' ? 1 : 0;
      in_string = it != '"';
    } else if (it == '"') {
      in_string = true;
    } else if (it == '{' || it == '[') {
      if (++depth > max_depth) {
        return true;
      }
    } else if (it == '}' || it == ']') {
      --depth;
    }
  }
  return false;
}

// Reads members of a response and reports the first violation.
class AnswerReader {
 public:
  explicit AnswerReader(Error* error) : error_(error) {}

  std::string Text(const Json& object, const char* name) {
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string()) {
      Reject(name, "a string");
      return {};
    }
    return it->get_ref<const std::string&>();
  }

  int64_t Integer(const Json& object, const char* name) {
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_integer() ||
        (it->is_number_unsigned() &&
         it->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) ||
        it->get<int64_t>() < 0) {
      Reject(name, "a non-negative integer");
      return 0;
    }
    return it->get<int64_t>();
  }

  Error ReadError(const Json& object) {
    const auto it = object.find("error");
    if (it == object.end() || it->is_null()) {
      return {};
    }
    if (!it->is_object()) {
      Reject("error", "null or an object");
      return {};
    }
    const auto code = ErrorCodeFromName(Text(*it, "code"));
    const auto step = StepFromName(Text(*it, "step"));
    if (!code.has_value() || !step.has_value()) {
      Reject("error", "an object with the name of a code and of a step");
      return {};
    }
    return {*code, *step, Text(*it, "peer"), Text(*it, "detail")};
  }

  TaskAnswer ReadTask(const Json& object) {
    TaskAnswer task;
    if (!object.is_object()) {
      Reject("tasks", "an array of objects");
      return task;
    }
    task.id = Text(object, "id");
    const auto status = TaskStatusFromName(Text(object, "status"));
    if (!status.has_value()) {
      Reject("tasks.status", "the name of a task status");
      return task;
    }
    task.status = *status;
    task.output = Text(object, "output");
    task.error = ReadError(object);
    return task;
  }

  void ReadTasks(const Json& object, JobAnswer& answer) {
    const auto it = object.find("tasks");
    if (it == object.end() || !it->is_array() || it->size() > kMaxTasksPerJob) {
      Reject("tasks",
             absl::StrCat("an array of at most ", kMaxTasksPerJob, " tasks"));
      return;
    }
    answer.tasks.reserve(it->size());
    for (const auto& task : *it) {
      answer.tasks.push_back(ReadTask(task));
    }
  }

  JobAnswer ReadJob(const Json& object) {
    JobAnswer answer;
    answer.key = Text(object, "key");
    answer.environment = Text(object, "environment");
    const auto status = JobStatusFromName(Text(object, "status"));
    if (!status.has_value()) {
      Reject("status", "the name of a job status");
      return answer;
    }
    answer.status = *status;
    answer.document_version = Integer(object, "document_version");
    answer.retry_after = absl::Milliseconds(Integer(object, "retry_after_ms"));
    answer.error = ReadError(object);
    ReadTasks(object, answer);
    return answer;
  }

  void Reject(std::string_view name, std::string_view allowed) {
    if (ok_) {
      Fail(error_, ErrorCode::kProtocol, Step::kParsing,
           absl::StrCat("response field ", Absl(name), " must be ",
                        Absl(allowed), "; found something else or none"));
    }
    ok_ = false;
  }

  bool ok() const { return ok_; }

 private:
  Error* error_;
  bool ok_ = true;
};

}  // namespace

std::optional<JobSpec> ParseJob(std::string_view body,
                                std::string_view key,
                                Error* error) {
  if (body.size() > kMaxJobBodyBytes) {
    return Fail(error, ErrorCode::kTooLarge, Step::kParsing,
                absl::StrCat("body must have at most ", kMaxJobBodyBytes,
                             " bytes; found ", body.size()));
  }
  JobSpec job;
  job.key = key;
  JobReader reader(&job);
  // The library reports syntax errors through `reader`; the handler catches
  // failed allocations and exceptions that newer versions may throw.
  try {
    if (!Json::sax_parse(body.begin(), body.end(), &reader)) {
      if (error != nullptr) {
        *error = reader.error();
      }
      return std::nullopt;
    }
    if (!HasUniqueIds(job, error)) {
      return std::nullopt;
    }
    const std::string canonical = JobToJson(job);
    job.body_hash = XXH64(canonical.data(), canonical.size(), 0);
  } catch (const std::exception& ec) {
    return Fail(error, ErrorCode::kInternal, Step::kParsing, Quote(ec.what()));
  }
  return job;
}

// The canonical body: all fields in a fixed order, explicit defaults, no
// whitespace. Equal jobs have equal text, regardless of the caller's
// formatting.
std::string JobToJson(const JobSpec& job) {
  size_t size = 128;
  for (const auto& it : job.tasks) {
    size += 112 + it.id.size() + it.kind.size() + it.payload.size();
  }
  std::string out;
  out.reserve(size);
  AppendMember(out, R"({"environment":)", job.environment);
  AppendMember(out, R"(,"team":)", job.team);
  absl::StrAppend(&out, R"(,"deadline_ms":)",
                  absl::ToInt64Milliseconds(job.deadline), R"(,"tasks":[)");
  for (size_t i = 0; i < job.tasks.size(); ++i) {
    if (i > 0) {
      out.push_back(',');
    }
    AppendTaskSpec(out, job.tasks[i]);
  }
  out.append("]}");
  return out;
}

std::optional<JobAnswer> ParseJobAnswer(std::string_view body, Error* error) {
  if (IsTooDeep(body, kMaxAnswerDepth)) {
    return Fail(error, ErrorCode::kProtocol, Step::kParsing,
                absl::StrCat("response must have at most ", kMaxAnswerDepth,
                             " levels of nesting; found more"));
  }
  try {
    const Json root = Json::parse(body.begin(), body.end(), nullptr, false);
    if (!root.is_object()) {
      return Fail(error, ErrorCode::kProtocol, Step::kParsing,
                  "response must be a JSON object; found something else");
    }
    AnswerReader reader(error);
    JobAnswer answer = reader.ReadJob(root);
    if (!reader.ok()) {
      return std::nullopt;
    }
    return answer;
  } catch (const std::exception& ec) {
    return Fail(error, ErrorCode::kInternal, Step::kParsing, Quote(ec.what()));
  }
}

std::string JobAnswerToJson(const JobAnswer& answer) {
  std::string out;
  AppendMember(out, R"({"key":)", answer.key);
  AppendMember(out, R"(,"status":)", JobStatusName(answer.status));
  AppendMember(out, R"(,"environment":)", answer.environment);
  absl::StrAppend(&out, R"(,"document_version":)", answer.document_version,
                  R"(,"tasks":[)");
  for (size_t i = 0; i < answer.tasks.size(); ++i) {
    const TaskAnswer& task = answer.tasks[i];
    AppendMember(out, i > 0 ? R"(,{"id":)" : R"({"id":)", task.id);
    AppendMember(out, R"(,"status":)", TaskStatusName(task.status));
    AppendMember(out, R"(,"output":)", task.output);
    out.append(R"(,"error":)");
    AppendError(out, task.error);
    out.push_back('}');
  }
  out.append(R"(],"error":)");
  AppendError(out, answer.error);
  absl::StrAppend(&out, R"(,"retry_after_ms":)",
                  absl::ToInt64Milliseconds(answer.retry_after), "}");
  return out;
}

std::string ErrorToJson(const Error& error) {
  std::string out = R"({"error":)";
  AppendError(out, error);
  out.push_back('}');
  return out;
}

int HttpStatusOf(const JobAnswer& answer) {
  switch (answer.status) {
    case JobStatus::kRunning:
      return 202;
    case JobStatus::kComplete:
      return 200;
    case JobStatus::kFailed:
      return 502;
    case JobStatus::kNotRun:
      break;
  }
  if (answer.error.code == ErrorCode::kConflict) {
    return 409;
  }
  return answer.error.code == ErrorCode::kQuotaExceeded ? 429 : 503;
}

int HttpStatusOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kOk:
      return 200;
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kKeyExpired:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kQuotaExceeded:
      return 429;
    case ErrorCode::kInternal:
      return 500;
    case ErrorCode::kQuarantined:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kConnectionBroken:
    case ErrorCode::kProtocol:
    case ErrorCode::kUpstreamFailed:
    case ErrorCode::kOutcomeUnknown:
      return 502;
    default:
      return 503;
  }
}

}  // namespace radishrail
