#ifndef RADISHRAIL_SRC_RACK_ROOM_H_
#define RADISHRAIL_SRC_RACK_ROOM_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace radishrail::internal {

using RackId = uint32_t;
inline constexpr RackId kNoRack = 0;

// Expected ends of the tasks that run on each rack, from which follows how soon
// a rack has room. All times are in seconds on the scheduler's clock.
class RackRoom {
 public:
  // `kNoRack` for an empty name.
  RackId FindOrAdd(const std::string& name);
  // `kNoRack` if the rack was not added: callers of jobs may name any.
  RackId Find(const std::string& name) const;

  void OnPlaced(RackId rack, int slots, double expected_end_s);
  // With the arguments of the call of `OnPlaced`.
  void OnEnded(RackId rack, int slots, double expected_end_s);

  // Expected time until running tasks have freed this many slots; infinite if
  // they occupy fewer. Linear in the number of tasks that must end.
  double WaitForSlots(RackId rack, int slots, double now_s) const;

 private:
  using Run = std::pair<double, int>;  // expected end, slots

  std::vector<std::multiset<Run>> runs_{1};  // by rack
  absl::flat_hash_map<std::string, RackId> ids_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_RACK_ROOM_H_
