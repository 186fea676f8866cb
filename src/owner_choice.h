#ifndef RADISHRAIL_OWNER_CHOICE_H_
#define RADISHRAIL_OWNER_CHOICE_H_

#include <cstdint>

#include "absl/time/time.h"

// Which VM owns a pool if VMs have unequal sizes. An owner starts every task of
// its pool and reads every runner's list, which a small VM cannot do for a
// large pool.
namespace radishrail::internal {

// Delay before a VM claims a pool without an owner, so that the largest VM that
// is alive claims first.
absl::Duration ClaimDelay(uint32_t own_millicores, uint32_t largest_millicores);

// True if the difference in size is worth the pause of a change of the owner.
bool IsMuchLarger(uint32_t peer_millicores, uint32_t own_millicores);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_OWNER_CHOICE_H_
