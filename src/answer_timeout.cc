#include "answer_timeout.h"

#include <algorithm>

namespace radishrail::internal {

namespace {

constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;

}  // namespace

AnswerTimeout::AnswerTimeout(absl::Duration min, absl::Duration max)
    : min_(min), max_(max) {}

void AnswerTimeout::Record(absl::Duration response_time) {
  if (!has_samples_) {
    has_samples_ = true;
    mean_ = response_time;
    deviation_ = response_time / 2;
    return;
  }
  deviation_ += kDeviationWeight *
                (absl::AbsDuration(response_time - mean_) - deviation_);
  mean_ += kMeanWeight * (response_time - mean_);
}

absl::Duration AnswerTimeout::Get() const {
  return has_samples_ ? std::clamp(mean_ + kDeviations * deviation_, min_, max_)
                      : max_;
}

}  // namespace radishrail::internal
