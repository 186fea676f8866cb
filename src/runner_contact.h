#ifndef RADISHRAIL_RUNNER_CONTACT_H_
#define RADISHRAIL_RUNNER_CONTACT_H_

#include "absl/time/time.h"

namespace radishrail::internal {

// Distinguishes a runner that lost single orders from one that answers nothing.
class RunnerContact {
 public:
  // Any answer, including a rejection, shows that the runner is reachable.
  void OnAnswer(absl::Time now);
  // An order got no answer, which was due at `due`: the time of sending plus
  // the wait that the order asked for.
  void OnNoAnswer(absl::Time due);
  // True if orders went without an answer since the last answer.
  bool IsDoubtful() const;
  // True if every order of at least `kMaxSilence` went without an answer.
  bool IsSilent(absl::Time now) const;

 private:
  absl::Time last_answer_ = absl::InfinitePast();
  // When the oldest missing answer since the last answer was due.
  absl::Time silent_since_ = absl::InfiniteFuture();
};

// Share of recent orders that got no answer, as an exponential average.
class OrderLossRate {
 public:
  void Record(bool lost);
  // True while losses are too frequent to be due to a few runners that are
  // gone.
  bool IsHigh() const;

 private:
  double rate_ = 0;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_RUNNER_CONTACT_H_
