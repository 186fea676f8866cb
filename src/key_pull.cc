#include "key_pull.h"

#include <utility>

namespace radishrail::internal {

void KeyPull::Begin(const std::string& pool, absl::Time now) {
  pools_.insert(pool);
  deadline_ = now + kMaxWait;
}

std::vector<std::string> KeyPull::TakeFinished(bool peers_known,
                                               absl::Time now) {
  const bool complete = peers_known && awaited_.empty();
  if (pools_.empty() || (!complete && now < deadline_)) {
    return {};
  }
  awaited_.clear();
  const std::set<std::string> pools = std::exchange(pools_, {});
  return {pools.begin(), pools.end()};
}

}  // namespace radishrail::internal
