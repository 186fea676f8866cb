#include "radishrail/error.h"

#include <array>
#include <utility>

#include "name_table.h"

namespace radishrail {

namespace {

struct ErrorCodeInfo {
  std::string_view name;
  std::string_view message;
};

constexpr std::array<ErrorCodeInfo,
                     static_cast<size_t>(ErrorCode::kMaxValue) + 1>
    kErrorCodes = {{
        {"ok", "no error"},
        {"invalid_argument", "the request is not valid"},
        {"too_large", "the request exceeds a size limit"},
        {"unauthenticated", "no valid token was given"},
        {"permission_denied", "the token does not allow this"},
        {"not_found", "the object does not exist"},
        {"conflict", "the request conflicts with an earlier one"},
        {"quota_exceeded", "the quota of the team or environment is used up"},
        {"overloaded", "the promised response time cannot be met now"},
        {"infeasible", "no upstream can ever run the job"},
        {"no_owner", "no daemon owns the key range at present"},
        {"lease_invalid", "the owner of the key range has no valid lease"},
        {"quarantined", "a former owner may have run the job"},
        {"key_expired", "the key is older than the resubmission window"},
        {"not_ready", "the daemon is not ready"},
        {"draining", "the daemon is shutting down"},
        {"cancelled", "the job was cancelled"},
        {"deadline_exceeded", "the deadline passed"},
        {"unreachable", "could not connect to the peer"},
        {"connection_broken", "the connection broke before the response"},
        {"protocol", "the peer sent an invalid message"},
        {"upstream_busy", "the upstream has no free slot"},
        {"upstream_leaving", "the upstream is leaving"},
        {"upstream_failed", "the upstream reported a failure"},
        {"retry_budget_exhausted", "the retry budget is used up"},
        {"platform_unavailable", "the platform did not respond"},
        {"outcome_unknown", "the outcome is unknown"},
        {"internal", "internal error"},
    }};

constexpr std::array<std::string_view, static_cast<size_t>(Step::kMaxValue) + 1>
    kStepNames = {
        "none",          "settings",    "receive",       "authentication",
        "parsing",       "environment", "quota",         "ownership",
        "deduplication", "admission",   "queue",         "hand_over",
        "execution",     "forward",     "platform_read", "platform_write",
        "peer_message",  "document",    "drain"};

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) {
  return kErrorCodes[static_cast<size_t>(code)].name;
}

std::string_view ErrorCodeMessage(ErrorCode code) {
  return kErrorCodes[static_cast<size_t>(code)].message;
}

std::optional<ErrorCode> ErrorCodeFromName(std::string_view name) {
  for (size_t i = 0; i < kErrorCodes.size(); ++i) {
    if (kErrorCodes[i].name == name) {
      return static_cast<ErrorCode>(i);
    }
  }
  return std::nullopt;
}

std::string_view StepName(Step step) {
  return internal::NameOf(kStepNames, step);
}

std::optional<Step> StepFromName(std::string_view name) {
  return internal::FromName<Step>(kStepNames, name);
}

std::string Error::ToString() const {
  std::string text;
  if (step != Step::kNone) {
    text.append(StepName(step)).append(": ");
  }
  text.append(ErrorCodeName(code)).append(": ");
  text.append(detail.empty() ? ErrorCodeMessage(code)
                             : std::string_view{detail});
  if (!peer.empty()) {
    text.append(" (peer ").append(peer).append(")");
  }
  return text;
}

std::nullopt_t Fail(Error* error,
                    ErrorCode code,
                    Step step,
                    std::string detail,
                    std::string peer) {
  if (error != nullptr) {
    *error = Error{code, step, std::move(peer), std::move(detail)};
  }
  return std::nullopt;
}

}  // namespace radishrail
