#ifndef RADISHRAIL_SRC_RETRY_BUDGET_H_
#define RADISHRAIL_SRC_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "radishrail/scheduler.h"

namespace radishrail::internal {

// Token bucket. First attempts and elapsed time add tokens; a retry consumes
// one.
class RetryBudget {
 public:
  RetryBudget(double burst, absl::Time now)
      : burst_(burst), tokens_(burst), last_refill_(now) {}

  void OnFirstAttempt(double share) { AddTokens(share); }
  // Refills the bucket up to `now` and returns whether it holds a token.
  bool HasToken(absl::Time now);
  // Call it only after `HasToken` returned true.
  void ConsumeToken() { tokens_ -= 1; }

 private:
  void AddTokens(double n);

  double burst_;
  double tokens_;
  absl::Time last_refill_;
};

enum class RetryPermission { kGranted, kEnvironmentEmpty, kUpstreamEmpty };

// Retry budgets of all environments and upstreams. A retry needs a token from
// both its environment and its upstream.
class RetryBudgets {
 public:
  // `share` is the number of tokens added to the environment's budget.
  void OnFirstAttempt(uint32_t environment,
                      UpstreamId upstream,
                      double share,
                      absl::Time now);
  // Consumes a token from both budgets, or from neither.
  RetryPermission Request(uint32_t environment,
                          UpstreamId upstream,
                          absl::Time now);

 private:
  RetryBudget& EnvironmentBudget(uint32_t environment, absl::Time now);
  RetryBudget& UpstreamBudget(UpstreamId upstream, absl::Time now);

  std::vector<RetryBudget> environments_;
  absl::flat_hash_map<UpstreamId, RetryBudget> upstreams_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_RETRY_BUDGET_H_
