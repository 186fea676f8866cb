#include "incarnation_history.h"

#include <algorithm>

namespace radishrail::internal {

IncarnationState IncarnationHistory::Observe(uint64_t incarnation,
                                             absl::Time now) {
  if (IsCurrent(incarnation)) {
    last_message_ = now;
    return IncarnationState::kCurrent;
  }
  const bool current_is_alive =
      !seen_.empty() && now - last_message_ < kAliveTime;
  if (WasSeen(incarnation) ||
      (current_is_alive && incarnation < seen_.back())) {
    return IncarnationState::kReplaced;
  }
  last_message_ = now;
  seen_.push_back(incarnation);
  if (seen_.size() > kMaxSeen) {
    seen_.pop_front();
  }
  return IncarnationState::kNew;
}

bool IncarnationHistory::WasSeen(uint64_t incarnation) const {
  return std::find(seen_.begin(), seen_.end(), incarnation) != seen_.end();
}

}  // namespace radishrail::internal
