#include "retry_budget.h"

#include <algorithm>

namespace radishrail::internal {

namespace {

// Capacity of the token bucket of an environment, and tokens per second that
// every bucket gains even without traffic.
constexpr double kEnvironmentRetryBurst = 100;
constexpr double kRetriesPerSecond = 1;
// Tokens that a first attempt adds to the bucket of its upstream, and capacity
// of that bucket.
constexpr double kUpstreamRetryShare = 0.2;
constexpr double kUpstreamRetryBurst = 20;
// Bounds memory; all upstream budgets are reset when the limit is reached.
constexpr size_t kMaxUpstreamBudgets = 50000;

}  // namespace

bool RetryBudget::HasToken(absl::Time now) {
  AddTokens(absl::ToDoubleSeconds(now - last_refill_) * kRetriesPerSecond);
  last_refill_ = now;
  return tokens_ >= 1;
}

void RetryBudget::AddTokens(double n) {
  tokens_ = std::min(burst_, tokens_ + n);
}

void RetryBudgets::OnFirstAttempt(uint32_t environment,
                                  UpstreamId upstream,
                                  double share,
                                  absl::Time now) {
  EnvironmentBudget(environment, now).OnFirstAttempt(share);
  if (upstreams_.size() >= kMaxUpstreamBudgets) {
    upstreams_.clear();
  }
  UpstreamBudget(upstream, now).OnFirstAttempt(kUpstreamRetryShare);
}

RetryPermission RetryBudgets::Request(uint32_t environment,
                                      UpstreamId upstream,
                                      absl::Time now) {
  RetryBudget& environment_budget = EnvironmentBudget(environment, now);
  RetryBudget& upstream_budget = UpstreamBudget(upstream, now);
  // Both calls are needed: `HasToken` also refills the bucket up to `now`.
  const bool environment_allows = environment_budget.HasToken(now);
  const bool upstream_allows = upstream_budget.HasToken(now);
  if (!environment_allows) {
    return RetryPermission::kEnvironmentEmpty;
  }
  if (!upstream_allows) {
    return RetryPermission::kUpstreamEmpty;
  }
  environment_budget.ConsumeToken();
  upstream_budget.ConsumeToken();
  return RetryPermission::kGranted;
}

// A budget starts full and never exceeds its capacity, so creating it at its
// first use is equivalent to creating it at the start.
RetryBudget& RetryBudgets::EnvironmentBudget(uint32_t environment,
                                             absl::Time now) {
  if (environment >= environments_.size()) {
    environments_.resize(environment + 1,
                         RetryBudget(kEnvironmentRetryBurst, now));
  }
  return environments_[environment];
}

RetryBudget& RetryBudgets::UpstreamBudget(UpstreamId upstream, absl::Time now) {
  return upstreams_.try_emplace(upstream, kUpstreamRetryBurst, now)
      .first->second;
}

}  // namespace radishrail::internal
