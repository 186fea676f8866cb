#include "radishrail/rack_policy.h"

#include <array>
#include <cmath>

#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(RackOutcome::kMaxValue) + 1>
    kRackOutcomeNames = {"no preferred rack", "on the preferred rack",
                         "on another rack by choice",
                         "on another rack for want of room"};

// Expected waits are wrong by about as much as the declared run times that they
// follow from, which are often off by 40%.
constexpr double kWaitSafetyFactor = 1.4;
// While others wait, each second of a longer run delays another task by as
// much.
constexpr double kContendedGainFactor = 2;

}  // namespace

std::string_view RackOutcomeName(RackOutcome outcome) {
  return internal::NameOf(kRackOutcomeNames, outcome);
}

RackChoice AdaptiveRackPolicy::Choose(const RackOptions& options) const {
  if (options.near_wait_s <= 0) {
    return RackChoice::kNear;
  }
  if (std::isinf(options.near_wait_s)) {
    return RackChoice::kFar;
  }
  if (!options.far_has_room) {
    return RackChoice::kWait;
  }
  const double wait_s = options.near_wait_s * kWaitSafetyFactor;
  const bool near_in_time = wait_s + options.near_run_s <= options.time_left_s;
  const bool far_in_time = options.far_run_s <= options.time_left_s;
  if (near_in_time != far_in_time) {
    return near_in_time ? RackChoice::kWait : RackChoice::kFar;
  }
  const double saved_s = options.far_run_s - options.near_run_s;
  const double gain_s =
      options.others_wait ? kContendedGainFactor * saved_s : saved_s;
  return wait_s < gain_s ? RackChoice::kWait : RackChoice::kFar;
}

}  // namespace radishrail
