#ifndef RADISHRAIL_RACK_POLICY_H_
#define RADISHRAIL_RACK_POLICY_H_

#include <string_view>

namespace radishrail {

// The alternatives of a task that runs fastest on one rack; times in seconds.
struct RackOptions {
  // Expected time until an upstream of the rack has room; zero: now. Infinite
  // if no upstream of the rack can run the task.
  double near_wait_s = 0;
  double near_run_s = 0;
  // On an upstream elsewhere, if one has room now.
  double far_run_s = 0;
  bool far_has_room = false;
  double time_left_s = 0;  // until the job's promised response time
  double waited_s = 0;     // for room on the rack so far
  // Other tasks are queued, so a longer run delays them.
  bool others_wait = false;
};

enum class RackChoice {
  kNear,
  kWait,  // for room on the rack
  kFar,
  kMaxValue = kFar,
};

// How a task with a preferred rack was placed.
enum class RackOutcome {
  kNoPreference,
  kNear,
  kFarByChoice,  // the wait for room on the rack would not have paid
  kFarNoRoom,    // no upstream of the rack can run the task
  kMaxValue = kFarNoRoom,
};

std::string_view RackOutcomeName(RackOutcome outcome);

// Decides whether a task waits for room on its preferred rack.
class RackPolicy {
 public:
  virtual ~RackPolicy() = default;
  virtual RackChoice Choose(const RackOptions& options) const = 0;
};

// Weighs the expected wait against the longer run elsewhere. Never chooses a
// wait with which the job is expected to miss its promised response time if it
// would meet it elsewhere.
class AdaptiveRackPolicy : public RackPolicy {
 public:
  RackChoice Choose(const RackOptions& options) const override;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RACK_POLICY_H_
