#include "owner_choice.h"

#include <algorithm>
#include <cmath>

namespace radishrail::internal {

namespace {

// For each halving of the size. Exceeds the time in which a daemon of the
// larger size reads and writes the row of the pool.
constexpr absl::Duration kDelayPerHalving = absl::Milliseconds(150);
// Bounds the time without an owner if only small VMs are left.
constexpr absl::Duration kMaxClaimDelay = absl::Milliseconds(450);
constexpr double kMuchLargerFactor = 2;

}  // namespace

absl::Duration ClaimDelay(uint32_t own_millicores,
                          uint32_t largest_millicores) {
  if (largest_millicores <= own_millicores || own_millicores == 0) {
    return absl::ZeroDuration();
  }
  const double ratio = static_cast<double>(largest_millicores) / own_millicores;
  return std::min(kDelayPerHalving * std::log2(ratio), kMaxClaimDelay);
}

bool IsMuchLarger(uint32_t peer_millicores, uint32_t own_millicores) {
  return peer_millicores >= kMuchLargerFactor * own_millicores;
}

}  // namespace radishrail::internal
