#include "radishrail/clock.h"

#include <time.h>

namespace radishrail {

namespace {

absl::Time ReadClock(clockid_t id) {
  timespec now{};
  clock_gettime(id, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace

absl::Time SystemClock::Monotonic() const {
  return ReadClock(CLOCK_BOOTTIME);
}

absl::Time SystemClock::Wall() const {
  return ReadClock(CLOCK_REALTIME);
}

}  // namespace radishrail
