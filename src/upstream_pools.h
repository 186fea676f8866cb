#ifndef RADISHRAIL_SRC_UPSTREAM_POOLS_H_
#define RADISHRAIL_SRC_UPSTREAM_POOLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "free_room.h"
#include "rack_room.h"
#include "radishrail/policy_scheduler.h"
#include "radishrail/scheduler.h"
#include "tournament_tree.h"

namespace radishrail::internal {

using PoolId = uint32_t;

// Tracks the free slots of upstreams. A pool contains the upstreams of a set of
// classes and chooses among those that have at least a given number of free
// slots.
class UpstreamPools {
 public:
  UpstreamPools(SpillPolicy spill, double home_preference);

  // `rack` is `kNoRack` if the rack of the upstream is unknown.
  void Set(const UpstreamCapacity& capacity, RackId rack = kNoRack);
  void Remove(UpstreamId upstream);
  // Occupies slots, or frees them if `slots` is negative. Slots of a removed
  // upstream may stay occupied.
  void Occupy(UpstreamId upstream, int slots);

  // Finds or adds a pool. Cost: linear in the number of pools, and of upstreams
  // if the pool is added.
  PoolId FindPool(const std::vector<std::string>& classes, int slots);
  bool HasFree(PoolId pool) const;
  // Chooses an upstream other than `avoid` for a task of a job that already
  // uses `used_domains` (bits of `DomainBit`).
  std::optional<UpstreamId> Choose(PoolId pool,
                                   uint64_t used_domains,
                                   std::optional<UpstreamId> avoid);
  // The fastest upstream of the rack with room, other than `avoid`. Linear in
  // the number of its upstreams.
  std::optional<UpstreamId> ChooseOnRack(PoolId pool,
                                         RackId rack,
                                         std::optional<UpstreamId> avoid) const;
  // True if an upstream of the rack has enough slots for the pool, free or not.
  bool IsRackCapable(PoolId pool, RackId rack) const;
  RackId rack(UpstreamId upstream) const { return upstreams_[upstream].rack; }
  // True if an upstream other than `avoid` has enough slots for the pool, free
  // or not.
  bool HasOther(PoolId pool, UpstreamId avoid) const;
  uint64_t DomainBit(UpstreamId upstream) const {
    return uint64_t{1} << (upstreams_[upstream].domain % 64);
  }

  // Reserves one upstream for a pool: other pools cannot choose it until
  // `EndReservation`, so that enough of its slots become free for a task.
  void Reserve(PoolId pool);
  void EndReservation();
  bool reserved() const { return reserved_.has_value(); }

  // True if an upstream of one of these classes was ever set.
  bool HasSeenClass(const std::vector<std::string>& classes) const;
  double speed(UpstreamId upstream) const { return upstreams_[upstream].speed; }
  int largest_slots() const { return largest_slots_; }
  int total_slots() const { return total_slots_; }
  // Sum of slots times speed.
  double capacity() const { return capacity_; }
  // Slots, and their sum times speed, of the accepting upstreams that have
  // enough slots for the pool, free or not.
  int capable_slots(PoolId pool) const { return pools_[pool].capable_slots; }
  double capacity(PoolId pool) const { return pools_[pool].capacity; }
  // Room for tasks of the sizes that `FindPool` was called with lately;
  // recomputed at most each `kRoomInterval`. Empty while upstreams of more than
  // one class are known, since it does not tell them apart.
  const std::vector<RoomForSize>& Room(double now_s);
  // Highest speed that an accepting upstream has had so far, at least 1.
  double top_speed() const { return top_speed_; }

 private:
  struct Membership {
    PoolId pool = 0;
    uint32_t leaf = 0;
    bool capable = false;  // has enough slots, free or not
    int slots = 0;         // counted in the pool
    double capacity = 0;   // counted in the pool
  };
  struct Upstream {
    bool registered = false;
    bool accepting = false;
    bool home = false;
    uint32_t domain = 0;
    int slots = 0;
    int slots_if_idle = 0;
    int occupied = 0;
    double speed = 1;
    RackId rack = kNoRack;
    std::string upstream_class;
    std::vector<Membership> pools;
  };
  struct DomainTree {
    bool home = false;
    int usable = 0;  // upstreams with enough free slots
    TournamentTree tree;
    std::vector<UpstreamId> upstreams;  // by leaf
  };
  struct Pool {
    std::vector<std::string> classes;
    int slots = 1;
    int usable = 0;         // upstreams with enough free slots
    int capable = 0;        // upstreams with enough slots, free or not
    int capable_slots = 0;  // of these
    double capacity = 0;    // of these
    std::vector<DomainTree> domains;
  };

  static bool Matches(const std::vector<std::string>& classes,
                      const std::string& upstream_class);
  uint32_t FindDomain(const std::string& name);
  void AddToPool(PoolId pool, UpstreamId upstream);
  void Update(UpstreamId upstream);
  double LeafValue(PoolId pool, UpstreamId upstream) const;
  double Score(const DomainTree& domain,
               uint32_t index,
               double speed,
               uint64_t used_domains) const;

  void SetRack(UpstreamId upstream, RackId rack);

  const SpillPolicy spill_;
  const double home_preference_;
  std::vector<Upstream> upstreams_;
  std::vector<Pool> pools_;
  std::vector<std::vector<UpstreamId>> racks_;  // by rack
  std::vector<std::string> domains_;
  std::vector<std::string> seen_classes_;
  struct Reservation {
    PoolId pool = 0;
    UpstreamId upstream = 0;
  };
  std::optional<Reservation> reserved_;
  int largest_slots_ = 0;
  int total_slots_ = 0;
  double capacity_ = 0;
  double top_speed_ = 1;
  FreeRoom free_room_;
  std::vector<RoomForSize> room_;
  double room_computed_s_ = -1;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_UPSTREAM_POOLS_H_
