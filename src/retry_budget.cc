#include "retry_budget.h"

#include <algorithm>

namespace radishrail::internal {

namespace {

// Retries that a budget allows at once and, without traffic, per second.
constexpr double kRetryBurst = 100;
constexpr double kRetriesPerSecond = 1;
// Retries that one upstream may cause, as a share of the first attempts there.
constexpr double kUpstreamRetryShare = 0.2;
constexpr double kUpstreamRetryBurst = 20;
constexpr size_t kMaxUpstreamBudgets = 50000;

}  // namespace

bool RetryBudget::HasToken(absl::Time now) {
  Add(absl::ToDoubleSeconds(now - filled_) * kRetriesPerSecond);
  filled_ = now;
  return tokens_ >= 1;
}

void RetryBudget::Add(double n) {
  tokens_ = std::min(burst_, tokens_ + n);
}

void RetryBudgets::OnFirstAttempt(uint32_t environment,
                                  UpstreamId upstream,
                                  double share,
                                  absl::Time now) {
  OfEnvironment(environment, now).OnFirstAttempt(share);
  if (upstreams_.size() >= kMaxUpstreamBudgets) {
    upstreams_.clear();
  }
  OfUpstream(upstream, now).OnFirstAttempt(kUpstreamRetryShare);
}

RetryPermission RetryBudgets::Request(uint32_t environment,
                                      UpstreamId upstream,
                                      absl::Time now) {
  RetryBudget& of_environment = OfEnvironment(environment, now);
  RetryBudget& of_upstream = OfUpstream(upstream, now);
  // Both are asked, so that both are filled up to the present.
  const bool environment_allows = of_environment.HasToken(now);
  const bool upstream_allows = of_upstream.HasToken(now);
  if (!environment_allows) {
    return RetryPermission::kEnvironmentEmpty;
  }
  if (!upstream_allows) {
    return RetryPermission::kUpstreamEmpty;
  }
  of_environment.Take();
  of_upstream.Take();
  return RetryPermission::kGranted;
}

// A budget starts full and time cannot fill it further, so it makes no
// difference that it is added at its first use.
RetryBudget& RetryBudgets::OfEnvironment(uint32_t environment, absl::Time now) {
  if (environment >= environments_.size()) {
    environments_.resize(environment + 1, RetryBudget(kRetryBurst, now));
  }
  return environments_[environment];
}

RetryBudget& RetryBudgets::OfUpstream(UpstreamId upstream, absl::Time now) {
  return upstreams_.try_emplace(upstream, kUpstreamRetryBurst, now)
      .first->second;
}

}  // namespace radishrail::internal
