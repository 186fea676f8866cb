#ifndef RADISHRAIL_SRC_RETRY_SCHEDULE_H_
#define RADISHRAIL_SRC_RETRY_SCHEDULE_H_

#include <cstdint>
#include <map>

#include "absl/time/time.h"
#include "radishrail/random.h"

namespace radishrail::internal {

// Tells refused callers after how many seconds to return. Callers wait for
// whole seconds, so those that are refused within one second would return
// within one second as well; each second gets only as many returns as there
// will be room for. Single-threaded.
class RetrySchedule {
 public:
  static constexpr absl::Duration kMaxDelay = absl::Seconds(8);

  explicit RetrySchedule(Random& random) : random_(random) {}

  void OnServed(absl::Time now);
  // The time after which a caller that is refused now returns: whole seconds,
  // at least `wait`, the time until there may be room again.
  absl::Duration Next(absl::Time now, absl::Duration wait);

 private:
  // Number of callers that may return within a second.
  double ReturnsPerSecond(absl::Time now) const;
  // Number of further callers that may return in the second.
  double RoomIn(int64_t second, double limit) const;

  Random& random_;
  double served_ = 0;  // decays
  absl::Time served_at_ = absl::InfinitePast();
  std::map<int64_t, int> returns_;  // by second of the return
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_RETRY_SCHEDULE_H_
