#ifndef RADISHRAIL_SRC_INCARNATION_HISTORY_H_
#define RADISHRAIL_SRC_INCARNATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>

namespace radishrail::internal {

// Whether a message is of the current incarnation of its sender.
enum class IncarnationState { kCurrent, kNew, kReplaced };

// The incarnations of a peer, in the order in which they were first seen. Their
// numbers are not compared: they are start times, and a clock may be set back.
class IncarnationHistory {
 public:
  // An incarnation that was not seen before becomes the current one.
  IncarnationState Observe(uint64_t incarnation);
  bool IsReplaced(uint64_t incarnation) const;

 private:
  // Messages of older incarnations cannot still be on their way.
  static constexpr size_t kMaxSeen = 16;

  std::deque<uint64_t> seen_;  // the current one is the last
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_INCARNATION_HISTORY_H_
