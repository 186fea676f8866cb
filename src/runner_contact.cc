#include "runner_contact.h"

#include <algorithm>

namespace radishrail::internal {

namespace {

// Half of the longest lease: a runner that is gone counts as silent before the
// leases of its runs expire, while a lost order leaves time for two more.
constexpr absl::Duration kMaxSilence = absl::Milliseconds(500);
constexpr double kLossWeight = 1.0 / 64;
constexpr double kHighLossRate = 0.03;

}  // namespace

void RunnerContact::OnAnswer(absl::Time now) {
  last_answer_ = now;
  silent_since_ = absl::InfiniteFuture();
}

void RunnerContact::OnNoAnswer(absl::Time due) {
  // Answers on different connections may overtake each other, so an order that
  // was due before the last answer says nothing about the time after it.
  if (due > last_answer_) {
    silent_since_ = std::min(silent_since_, due);
  }
}

bool RunnerContact::IsDoubtful() const {
  return silent_since_ != absl::InfiniteFuture();
}

bool RunnerContact::IsSilent(absl::Time now) const {
  return now - silent_since_ >= kMaxSilence;
}

void OrderLossRate::Record(bool lost) {
  rate_ += kLossWeight * ((lost ? 1.0 : 0.0) - rate_);
}

bool OrderLossRate::IsHigh() const {
  return rate_ > kHighLossRate;
}

}  // namespace radishrail::internal
