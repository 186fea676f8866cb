#ifndef RADISHRAIL_SRC_INCARNATION_HISTORY_H_
#define RADISHRAIL_SRC_INCARNATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace radishrail::internal {

// Whether a message is of the current incarnation of its sender.
enum class IncarnationState { kCurrent, kNew, kReplaced };

// The incarnations of a peer, in the order in which they were first seen. Their
// numbers are the wall clock at the start, which may be set back, so a lower
// one that was not seen before is new unless the current one is alive.
class IncarnationHistory {
 public:
  // Called for each message at its time of receipt.
  IncarnationState Observe(uint64_t incarnation, absl::Time now);
  bool IsCurrent(uint64_t incarnation) const {
    return !seen_.empty() && seen_.back() == incarnation;
  }

 private:
  bool WasSeen(uint64_t incarnation) const;

  // Messages of older incarnations cannot still be on their way.
  static constexpr size_t kMaxSeen = 16;
  // Several times the interval of status messages.
  static constexpr absl::Duration kAliveTime = absl::Seconds(3);

  std::deque<uint64_t> seen_;  // the current one is the last
  absl::Time last_message_;    // of the current one
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_INCARNATION_HISTORY_H_
