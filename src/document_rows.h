#ifndef RADISHRAIL_SRC_DOCUMENT_ROWS_H_
#define RADISHRAIL_SRC_DOCUMENT_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrail/document.h"
#include "radishrail/error.h"

namespace radishrail::internal {

inline constexpr char kHeadKey[] = "documents/head";
inline constexpr char kEnvironmentPrefix[] = "environment/";

std::string EnvironmentKey(std::string_view environment);
std::string LogKey(int64_t revision);
std::string OperationKey(std::string_view operation);
// The name contains the hash of the body, so that a repeated or delayed write
// of an object stores the same body.
std::string ObjectName(std::string_view environment,
                       int64_t version,
                       std::string_view body_hash);
// 32 hexadecimal digits.
std::string BodyHash(std::string_view body);

// 1 to 64 characters of [A-Za-z0-9_-].
bool IsEnvironmentName(std::string_view text);
// 1 to 64 characters of [A-Za-z0-9._:-].
bool IsOperationId(std::string_view text);

// The latest accepted change of one stage of an environment.
struct StageState {
  int64_t version = 0;
  int64_t revision = 0;
  std::string body_hash;
  std::string operation;
};

// An accepted trial version that can be promoted.
struct Candidate {
  int64_t version = 0;
  std::string body_hash;
};

// Row `environment/<name>`.
struct EnvironmentRow {
  StageState trial;
  StageState production;
  int64_t last_version = 0;
  int64_t revision = 0;
  std::string operation;  // operation id of the latest change
  // The newest `kMaxCandidates` accepted trial versions above the production
  // version, in ascending order.
  std::vector<Candidate> candidates;
};

// Bounds the size of an environment row.
inline constexpr size_t kMaxCandidates = 64;

// Row `documents/log/<revision>`.
struct LogRow {
  std::string environment;
  Stage stage = Stage::kTrial;
  int64_t version = 0;
  std::string body_hash;
};

enum class OperationState { kAccepted, kRejected, kMaxValue = kRejected };

// Row `operation/<id>`: the final outcome of a change. `request` identifies the
// change, so that an id cannot be reused for a different change.
struct OperationRow {
  OperationState state = OperationState::kRejected;
  std::string environment;
  std::string request;
  int64_t version = 0;
  int64_t revision = 0;
  ErrorCode code = ErrorCode::kOk;
  std::string detail;
};

// The empty value of an absent row decodes to the default. Other invalid values
// decode to nullopt.
std::string EncodeHead(int64_t revision);
std::optional<int64_t> DecodeHead(std::string_view value);
std::string EncodeEnvironment(const EnvironmentRow& row);
std::optional<EnvironmentRow> DecodeEnvironment(std::string_view value);
std::string EncodeLog(const LogRow& row);
std::optional<LogRow> DecodeLog(std::string_view value);
std::string EncodeOperation(const OperationRow& row);
std::optional<OperationRow> DecodeOperation(std::string_view value);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_DOCUMENT_ROWS_H_
