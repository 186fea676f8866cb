#include "retry_schedule.h"

#include <algorithm>
#include <cmath>

namespace radishrail::internal {

namespace {

// Time constant of the rate at which jobs are served.
constexpr absl::Duration kServedDecay = absl::Seconds(2);
// Share of the rate at which jobs are served that returning jobs may take. New
// jobs go on arriving, and what was refused is what exceeded the capacity.
constexpr double kReturnShare = 0.25;
// A daemon that serves nothing at present still learns by some callers when
// that has changed.
constexpr double kMinReturnsPerSecond = 5;
constexpr absl::Duration kUnit = absl::Seconds(1);

}  // namespace

void RetrySchedule::OnServed(absl::Time now) {
  served_ = served_at_ == absl::InfinitePast()
                ? 1
                : served_ * std::exp(-absl::FDivDuration(now - served_at_,
                                                         kServedDecay)) +
                      1;
  served_at_ = now;
}

double RetrySchedule::ReturnsPerSecond(absl::Time now) const {
  const double served = served_at_ == absl::InfinitePast()
                            ? 0
                            : served_ * std::exp(-absl::FDivDuration(
                                            now - served_at_, kServedDecay));
  return std::max(kReturnShare * served / absl::ToDoubleSeconds(kServedDecay),
                  kMinReturnsPerSecond);
}

double RetrySchedule::RoomIn(int64_t second, double limit) const {
  const auto it = returns_.find(second);
  return std::max(limit - (it == returns_.end() ? 0 : it->second), 0.0);
}

// The first second is taken while at most half of its returns are handed out;
// then the next one gets a part in proportion to its room, so that callers do
// not return in steps.
absl::Duration RetrySchedule::Next(absl::Time now, absl::Duration wait) {
  const int64_t second = absl::ToUnixSeconds(now);
  returns_.erase(returns_.begin(), returns_.lower_bound(second));
  const double limit = ReturnsPerSecond(now);
  const int64_t last = absl::ToInt64Seconds(kMaxDelay);
  const int64_t first = std::clamp<int64_t>(
      absl::ToInt64Seconds(absl::Ceil(wait, kUnit)), 1, last);
  int64_t delay = first;
  while (delay < last && RoomIn(second + delay, limit) < 1) {
    ++delay;
  }
  const double room = RoomIn(second + delay, limit);
  const double next_room = delay < last ? RoomIn(second + delay + 1, limit) : 0;
  if (room < 1) {
    delay = first + static_cast<int64_t>(random_.Below(last - first + 1));
  } else if (room < limit / 2 && random_.Unit() * (room + next_room) >= room) {
    ++delay;
  }
  ++returns_[second + delay];
  return delay * kUnit;
}

}  // namespace radishrail::internal
