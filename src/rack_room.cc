#include "rack_room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace radishrail::internal {

RackId RackRoom::FindOrAdd(const std::string& name) {
  if (name.empty()) {
    return kNoRack;
  }
  const auto [it, added] =
      ids_.try_emplace(name, static_cast<RackId>(runs_.size()));
  if (added) {
    runs_.emplace_back();
  }
  return it->second;
}

RackId RackRoom::Find(const std::string& name) const {
  const auto it = ids_.find(name);
  return it == ids_.end() ? kNoRack : it->second;
}

void RackRoom::OnPlaced(RackId rack, int slots, double expected_end_s) {
  if (rack != kNoRack) {
    runs_[rack].emplace(expected_end_s, slots);
  }
}

void RackRoom::OnEnded(RackId rack, int slots, double expected_end_s) {
  if (rack == kNoRack) {
    return;
  }
  const auto it = runs_[rack].find({expected_end_s, slots});
  if (it != runs_[rack].end()) {
    runs_[rack].erase(it);
  }
}

double RackRoom::WaitForSlots(RackId rack, int slots, double now_s) const {
  if (rack == kNoRack || rack >= runs_.size()) {
    return std::numeric_limits<double>::infinity();
  }
  double wait_s = 0;
  for (const auto& [end_s, freed] : runs_[rack]) {
    // A task that is overdue is expected to take as long again as it is late:
    // few tasks run many times longer than the others.
    wait_s = std::max(wait_s, std::abs(end_s - now_s));
    slots -= freed;
    if (slots <= 0) {
      return wait_s;
    }
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace radishrail::internal
