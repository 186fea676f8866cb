#include "free_room.h"

#include <algorithm>
#include <cmath>

namespace radishrail::internal {

namespace {

// Time constant with which past releases are forgotten: a few runs of the
// longest common tasks.
constexpr double kDecaySeconds = 2;
// Assumed while no slot has been released yet.
constexpr double kInitialHoldSeconds = 0.2;
// Bound of the estimate for sizes that fit nowhere at present.
constexpr double kMaxNextSeconds = 60;

}  // namespace

void RecentSizes::Add(int slots) {
  sizes_[added_ % kRemembered] = slots;
  ++added_;
}

std::vector<int> RecentSizes::Quantiles() const {
  const size_t count = std::min(added_, kRemembered);
  std::vector<int> sorted(sizes_.begin(),
                          sizes_.begin() + static_cast<std::ptrdiff_t>(count));
  std::sort(sorted.begin(), sorted.end());
  std::vector<int> distinct = sorted;
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  if (distinct.size() <= kMaxSizes) {
    return distinct;
  }
  std::vector<int> quantiles;
  for (size_t i = 1; i <= kMaxSizes; ++i) {
    quantiles.push_back(sorted[count * i / kMaxSizes - 1]);
  }
  quantiles.erase(std::unique(quantiles.begin(), quantiles.end()),
                  quantiles.end());
  return quantiles;
}

void FreeRoom::OnReleased(int slots) {
  released_slots_ += slots;
  releases_ += 1;
}

std::vector<RoomForSize> FreeRoom::Compute(
    const std::vector<Upstream>& upstreams,
    double now_s) {
  UpdateHoldTime(upstreams, now_s);
  std::vector<RoomForSize> room;
  for (const int slots : sizes_.Quantiles()) {
    RoomForSize it;
    it.slots = slots;
    for (const auto& upstream : upstreams) {
      it.fitting += std::max(upstream.free, 0) / std::max(slots, 1);
    }
    if (it.fitting == 0) {
      it.next = absl::Seconds(NextFit(upstreams, slots));
    }
    room.push_back(it);
  }
  return room;
}

void FreeRoom::UpdateHoldTime(const std::vector<Upstream>& upstreams,
                              double now_s) {
  int occupied = 0;
  for (const auto& it : upstreams) {
    occupied += it.slots - it.free;
  }
  const double passed_s = updated_s_ < 0 ? 0 : std::max(now_s - updated_s_, 0.);
  const double decay = std::exp(-passed_s / kDecaySeconds);
  occupied_slot_s_ = (occupied_slot_s_ + occupied * passed_s) * decay;
  released_slots_ *= decay;
  releases_ *= decay;
  updated_s_ = now_s;
}

// Each upstream frees its slots at an even rate, and at least one of its tasks
// must end. The first of several upstreams is free at the sum of their rates.
double FreeRoom::NextFit(const std::vector<Upstream>& upstreams,
                         int slots) const {
  const bool known = releases_ > 0.01 && occupied_slot_s_ > 0;
  const double hold_s =
      known ? occupied_slot_s_ / released_slots_ : kInitialHoldSeconds;
  const double mean_slots = known ? released_slots_ / releases_ : slots;
  double rate = 0;
  for (const auto& it : upstreams) {
    const int occupied = it.slots - it.free;
    if (it.slots >= slots && occupied > 0) {
      const double needed = std::min<double>(
          std::max<double>(slots - it.free, mean_slots), occupied);
      rate += occupied / (hold_s * std::max(needed, 1.));
    }
  }
  return rate > 1 / kMaxNextSeconds ? 1 / rate : kMaxNextSeconds;
}

}  // namespace radishrail::internal
