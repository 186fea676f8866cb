#ifndef RADISHRAIL_DOCUMENT_H_
#define RADISHRAIL_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"

namespace radishrail {

enum class Stage { kTrial, kProduction, kMaxValue = kProduction };

std::string_view StageName(Stage stage);
std::optional<Stage> StageFromName(std::string_view name);

struct TeamQuota {
  std::string name;
  int share = 1;
  int max_running_tasks = 0;  // 0: no limit
};

struct RetryPolicy {
  int max_attempts = 3;
  absl::Duration backoff = absl::Milliseconds(20);
  // Retries allowed as a percentage of first attempts.
  int budget_percent = 10;
};

// The document of one environment, as operators edit it.
struct EnvironmentDocument {
  std::string environment;
  std::vector<std::string> caller_tokens;
  absl::Duration promised = absl::Seconds(2);
  std::vector<std::string> upstream_classes;
  int max_queued_tasks = 100000;
  std::vector<TeamQuota> teams;  // empty: one default team
  RetryPolicy retry;

  // The quota of a team; nullptr if the document has none for it.
  const TeamQuota* FindTeam(std::string_view team) const;
  // Compares in constant time, so that timing does not reveal a token.
  bool AllowsToken(std::string_view token) const;
};

// Parses and checks a document. Errors name the field and what is allowed.
std::optional<EnvironmentDocument> ParseDocument(std::string_view body,
                                                 Error* error);

// Compares two secrets; the run time depends only on the length of `expected`.
bool SecretsEqual(std::string_view given, std::string_view expected);

}  // namespace radishrail

#endif  // RADISHRAIL_DOCUMENT_H_
