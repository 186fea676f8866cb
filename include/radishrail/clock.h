#ifndef RADISHRAIL_CLOCK_H_
#define RADISHRAIL_CLOCK_H_

#include "absl/time/time.h"

namespace radishrail {

// Source of time. Instants of the two clocks must never be compared with each
// other.
class Clock {
 public:
  virtual ~Clock() = default;
  // Never goes backwards, and includes time during which the VM was suspended,
  // so that a lease also expires while its holder is paused.
  virtual absl::Time Monotonic() const = 0;
  // Time of day; may jump.
  virtual absl::Time Wall() const = 0;
};

// Clock of the operating system: CLOCK_BOOTTIME and CLOCK_REALTIME.
class SystemClock : public Clock {
 public:
  absl::Time Monotonic() const override;
  absl::Time Wall() const override;
};

}  // namespace radishrail

#endif  // RADISHRAIL_CLOCK_H_
