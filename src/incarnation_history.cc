#include "incarnation_history.h"

#include <algorithm>

namespace radishrail::internal {

IncarnationState IncarnationHistory::Observe(uint64_t incarnation) {
  if (!seen_.empty() && seen_.back() == incarnation) {
    return IncarnationState::kCurrent;
  }
  if (IsReplaced(incarnation)) {
    return IncarnationState::kReplaced;
  }
  seen_.push_back(incarnation);
  if (seen_.size() > kMaxSeen) {
    seen_.pop_front();
  }
  return IncarnationState::kNew;
}

bool IncarnationHistory::IsReplaced(uint64_t incarnation) const {
  return !seen_.empty() && seen_.back() != incarnation &&
         std::find(seen_.begin(), seen_.end(), incarnation) != seen_.end();
}

}  // namespace radishrail::internal
