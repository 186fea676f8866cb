#ifndef RADISHRAIL_LINE_BUDGET_H_
#define RADISHRAIL_LINE_BUDGET_H_

#include <cstdint>
#include <utility>

#include "absl/time/time.h"

namespace radishrail {

// Limits the log lines of one kind to a number in each second. Not thread-safe.
class LineBudget {
 public:
  explicit LineBudget(int lines_per_second)
      : lines_per_second_(lines_per_second) {}

  // True if a line may be written at `now`; otherwise it counts as left out.
  bool Spend(absl::Time now) {
    if (now - second_ >= absl::Seconds(1) || now < second_) {
      second_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
      ++left_out_;
      return false;
    }
    ++lines_;
    return true;
  }
  // Lines left out since the last call.
  uint64_t TakeLeftOut() { return std::exchange(left_out_, 0); }

 private:
  int lines_per_second_;
  absl::Time second_ = absl::InfinitePast();
  int lines_ = 0;
  uint64_t left_out_ = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_LINE_BUDGET_H_
