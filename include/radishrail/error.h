#ifndef RADISHRAIL_ERROR_H_
#define RADISHRAIL_ERROR_H_

#include <optional>
#include <string>
#include <string_view>

namespace radishrail {

// Reason of an error. Every value has one name and one message in `error.cc`.
enum class ErrorCode {
  kOk,
  kInvalidArgument,
  kTooLarge,
  kUnauthenticated,
  kPermissionDenied,
  kNotFound,
  kConflict,
  kQuotaExceeded,
  kOverloaded,
  kInfeasible,
  kNoOwner,
  kLeaseInvalid,
  kQuarantined,
  kKeyExpired,
  kNotReady,
  kDraining,
  kCancelled,
  kDeadlineExceeded,
  kUnreachable,
  kConnectionBroken,
  kProtocol,
  kUpstreamBusy,
  kUpstreamLeaving,
  kUpstreamFailed,
  kRetryBudgetExhausted,
  kPlatformUnavailable,
  kOutcomeUnknown,
  kInternal,
  kMaxValue = kInternal,
};

// Processing step in which an error occurred.
enum class Step {
  kNone,
  kSettings,
  kReceive,
  kAuthentication,
  kParsing,
  kEnvironment,
  kQuota,
  kOwnership,
  kDeduplication,
  kAdmission,
  kQueue,
  kHandOver,
  kExecution,
  kForward,
  kPlatformRead,
  kPlatformWrite,
  kPeerMessage,
  kDocument,
  kDrain,
  kMaxValue = kDrain,
};

// An error with the step and the peer (address or name) where it occurred.
struct Error {
  ErrorCode code = ErrorCode::kOk;
  Step step = Step::kNone;
  std::string peer;
  std::string detail;

  bool ok() const { return code == ErrorCode::kOk; }
  // "admission: overloaded: <detail> (peer <peer>)"
  std::string ToString() const;
};

// Stable lower-case name, for example "lease_invalid".
std::string_view ErrorCodeName(ErrorCode code);
// Human-readable message.
std::string_view ErrorCodeMessage(ErrorCode code);
std::optional<ErrorCode> ErrorCodeFromName(std::string_view name);
std::string_view StepName(Step step);
std::optional<Step> StepFromName(std::string_view name);

// Assigns `error` if it is not null and returns nullopt, so that a function
// with an optional result can report an error and return in one statement.
std::nullopt_t Fail(Error* error,
                    ErrorCode code,
                    Step step,
                    std::string detail,
                    std::string peer = {});

}  // namespace radishrail

#endif  // RADISHRAIL_ERROR_H_
