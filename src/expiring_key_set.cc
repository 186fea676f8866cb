#include "radishrail/expiring_key_set.h"

namespace radishrail {

ExpiringKeySet::ExpiringKeySet(const Clock& clock,
                               absl::Duration retention,
                               size_t max_keys)
    : clock_(clock), retention_(retention), max_keys_(max_keys) {}

void ExpiringKeySet::Add(const std::string& key) {
  RemoveExpired();
  if (!keys_.emplace(key).second) {
    return;
  }
  entries_.push_back({clock_.Monotonic() + retention_, key});
  if (entries_.size() > max_keys_) {
    RemoveOldest();
  }
}

bool ExpiringKeySet::Contains(const std::string& key) const {
  return keys_.contains(key);
}

void ExpiringKeySet::RemoveExpired() {
  const absl::Time now = clock_.Monotonic();
  while (!entries_.empty() && entries_.front().expires <= now) {
    RemoveOldest();
  }
}

void ExpiringKeySet::RemoveOldest() {
  keys_.erase(entries_.front().key);
  entries_.pop_front();
}

}  // namespace radishrail
