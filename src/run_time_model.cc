#include "run_time_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "absl/strings/str_cat.h"

namespace radishrail::internal {

namespace {

// Bounds memory: callers choose the names of kinds.
constexpr size_t kMaxKinds = 10000;
constexpr int kMinKindSamples = 5;
// Weight of a new sample once the kind has many.
constexpr double kMinKindWeight = 0.02;
// Bounds the influence of a single outlier.
constexpr double kMaxKindLogStep = 2.0;

}  // namespace

uint32_t RunTimeModel::KindNumber(const std::string& environment,
                                  const std::string& kind) {
  std::string name = absl::StrCat(environment, "\n", kind);
  const auto it = numbers_.find(name);
  if (it != numbers_.end()) {
    return it->second;
  }
  if (kinds_.size() >= kMaxKinds) {
    return 0;  // shared by all kinds beyond the limit; never learned
  }
  const auto number = static_cast<uint32_t>(kinds_.size());
  kinds_.emplace_back();
  numbers_.emplace(std::move(name), number);
  return number;
}

absl::Duration RunTimeModel::Expected(uint32_t kind) const {
  const Kind& it = kinds_[kind];
  return it.samples < kMinKindSamples ? absl::ZeroDuration()
                                      : absl::Seconds(std::exp(it.log_seconds));
}

void RunTimeModel::Learn(uint32_t kind, absl::Duration run, double speed) {
  if (kind == 0 || run <= absl::ZeroDuration() || speed <= 0) {
    return;
  }
  Kind& it = kinds_[kind];
  const double sample = std::log(absl::ToDoubleSeconds(run) * speed);
  ++it.samples;
  const double weight = std::max(kMinKindWeight, 1.0 / it.samples);
  const double step = it.samples == 1
                          ? sample - it.log_seconds
                          : std::clamp(sample - it.log_seconds,
                                       -kMaxKindLogStep, kMaxKindLogStep);
  it.log_seconds += weight * step;
}

}  // namespace radishrail::internal
