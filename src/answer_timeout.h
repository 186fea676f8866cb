#ifndef RADISHRAIL_SRC_ANSWER_TIMEOUT_H_
#define RADISHRAIL_SRC_ANSWER_TIMEOUT_H_

#include "absl/time/time.h"

namespace radishrail::internal {

// Learns how long answers take and from it when an order is probably lost: the
// smoothed response time plus a multiple of its mean deviation, as TCP computes
// its retransmission timeout.
class AnswerTimeout {
 public:
  // `max` is returned until an answer has been seen.
  AnswerTimeout(absl::Duration min, absl::Duration max);

  void Record(absl::Duration response_time);
  absl::Duration Get() const;

 private:
  const absl::Duration min_;
  const absl::Duration max_;
  bool has_samples_ = false;
  absl::Duration mean_ = absl::ZeroDuration();
  absl::Duration deviation_ = absl::ZeroDuration();
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_ANSWER_TIMEOUT_H_
