#ifndef RADISHRAIL_SRC_FREE_ROOM_H_
#define RADISHRAIL_SRC_FREE_ROOM_H_

#include <array>
#include <cstddef>
#include <vector>

#include "radishrail/scheduler.h"

namespace radishrail::internal {

// Sizes of the tasks seen lately. Sizes may be nearly continuous, so only
// quantiles of them are kept apart.
class RecentSizes {
 public:
  // Number of sizes in a report.
  static constexpr size_t kMaxSizes = 8;

  void Add(int slots);
  // At most `kMaxSizes` distinct sizes, ascending; the last is the largest one.
  std::vector<int> Quantiles() const;

 private:
  static constexpr size_t kRemembered = 64;
  std::array<int, kRemembered> sizes_{};
  size_t added_ = 0;
};

// Computes how many tasks of the recent sizes fit on a set of upstreams, and
// estimates from the time for which slots stay occupied when the next one will.
class FreeRoom {
 public:
  struct Upstream {
    int slots = 0;
    int free = 0;  // negative if slots were withdrawn under tasks
  };

  void OnTask(int slots) { sizes_.Add(slots); }
  // Slots became free.
  void OnReleased(int slots);
  // Cost: the number of upstreams times that of sizes.
  std::vector<RoomForSize> Compute(const std::vector<Upstream>& upstreams,
                                   double now_s);

 private:
  void UpdateHoldTime(const std::vector<Upstream>& upstreams, double now_s);
  double NextFit(const std::vector<Upstream>& upstreams, int slots) const;

  RecentSizes sizes_;
  // Sums that decay: occupied slots times time, released slots and releases.
  // Their ratios are the mean time for which a slot stays occupied and the mean
  // size of a task.
  double occupied_slot_s_ = 0;
  double released_slots_ = 0;
  double releases_ = 0;
  double updated_s_ = -1;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_FREE_ROOM_H_
