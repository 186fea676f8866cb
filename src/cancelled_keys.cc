#include "radishrail/cancelled_keys.h"

namespace radishrail {

void CancelledKeys::Add(const std::string& key, absl::Duration age) {
  RemoveExpired();
  if (age >= kRetention) {
    return;
  }
  const absl::Time expiry = clock_.Monotonic() + kRetention - age;
  if (!expiries_.emplace(key, expiry).second) {
    return;
  }
  by_expiry_.emplace(expiry, key);
  if (expiries_.size() > kMaxKeys) {
    RemoveFirst();
  }
}

void CancelledKeys::RemoveExpired() {
  const absl::Time now = clock_.Monotonic();
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    RemoveFirst();
  }
}

void CancelledKeys::RemoveFirst() {
  expiries_.erase(by_expiry_.begin()->second);
  by_expiry_.erase(by_expiry_.begin());
}

std::vector<CancelledKey> CancelledKeys::Encode() const {
  const absl::Time now = clock_.Monotonic();
  std::vector<CancelledKey> keys;
  keys.reserve(expiries_.size());
  for (const auto& [expiry, key] : by_expiry_) {
    const absl::Duration age = kRetention - (expiry - now);
    keys.push_back(
        {key, static_cast<uint32_t>(absl::ToInt64Milliseconds(age))});
  }
  return keys;
}

void CancelledKeys::AddFromPeer(const std::vector<CancelledKey>& keys) {
  for (const auto& it : keys) {
    Add(it.key, absl::Milliseconds(it.age_ms));
  }
}

}  // namespace radishrail
