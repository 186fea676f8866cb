#ifndef RADISHRAIL_LINE_BUDGET_H_
#define RADISHRAIL_LINE_BUDGET_H_

#include <cstdint>
#include <utility>

#include "absl/time/time.h"

namespace radishrail {

// Limits the log lines of one kind to a number per second, in fixed windows of
// 1 s. Not thread-safe.
class LineBudget {
 public:
  explicit LineBudget(int lines_per_second)
      : lines_per_second_(lines_per_second) {}

  // True if a line may be written at `now`; otherwise it counts as suppressed.
  // A clock that jumps back starts a new window.
  bool TryConsume(absl::Time now) {
    if (now - window_start_ >= absl::Seconds(1) || now < window_start_) {
      window_start_ = now;
      lines_in_window_ = 0;
    }
    if (lines_in_window_ >= lines_per_second_) {
      ++suppressed_lines_;
      return false;
    }
    ++lines_in_window_;
    return true;
  }
  // Number of lines suppressed since the last call.
  uint64_t TakeSuppressed() { return std::exchange(suppressed_lines_, 0); }

 private:
  int lines_per_second_;
  absl::Time window_start_ = absl::InfinitePast();
  int lines_in_window_ = 0;
  uint64_t suppressed_lines_ = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_LINE_BUDGET_H_
