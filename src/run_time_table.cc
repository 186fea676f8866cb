#include "run_time_table.h"

#include <algorithm>

namespace radishrail::internal {

namespace {

// Shared by all further kinds once the table is full.
constexpr KindId kSharedKind = 0;
// Limit of the sample count used as the weight of a mean, so that it adapts to
// a changed run time within a few dozen tasks.
constexpr uint32_t kMaxMeanSamples = 32;
// Relative step of the median estimate, and weight of a sample in the mean of
// all kinds.
constexpr double kEstimateStep = 0.02;
// Samples after which a mean is good enough to recognise an outlier.
constexpr uint32_t kMinSamplesToClip = 5;
constexpr double kMinRunSeconds = 1e-4;
constexpr double kEvictionIntervalSeconds = 1;
constexpr double kUnusedKindSeconds = 60;

}  // namespace

RunTimeTable::RunTimeTable(size_t max_kinds,
                           double long_factor,
                           double min_long_s,
                           double outlier_factor)
    : max_kinds_(max_kinds),
      long_factor_(long_factor),
      min_long_s_(min_long_s),
      outlier_factor_(outlier_factor),
      kinds_(1) {}

KindId RunTimeTable::Acquire(uint32_t environment,
                             std::string_view kind,
                             double now_s) {
  std::pair<uint32_t, std::string> key(environment, kind);
  KindId id = kSharedKind;
  if (const auto it = ids_.find(key); it != ids_.end()) {
    id = it->second;
  } else {
    if (ids_.size() >= max_kinds_) {
      EvictUnusedKinds(now_s);
    }
    if (ids_.size() < max_kinds_) {
      if (free_ids_.empty()) {
        id = static_cast<KindId>(kinds_.size());
        kinds_.emplace_back();
      } else {
        id = free_ids_.back();
        free_ids_.pop_back();
        kinds_[id] = Kind();
      }
      kinds_[id].key = key;
      ids_.emplace(std::move(key), id);
    }
  }
  ++kinds_[id].references;
  return id;
}

void RunTimeTable::Release(KindId kind, double now_s) {
  --kinds_[kind].references;
  kinds_[kind].last_used_s = now_s;
}

void RunTimeTable::EvictUnusedKinds(double now_s) {
  if (now_s < last_eviction_s_ + kEvictionIntervalSeconds) {
    return;
  }
  last_eviction_s_ = now_s;
  for (KindId id = 1; id < kinds_.size(); ++id) {
    Kind& kind = kinds_[id];
    if (kind.references == 0 && kind.last_used_s + kUnusedKindSeconds < now_s &&
        ids_.erase(kind.key) > 0) {
      free_ids_.push_back(id);
    }
  }
}

bool RunTimeTable::ClassifyLong(KindId id, double expected_s) {
  Kind& kind = kinds_[id];
  const bool is_long =
      expected_s > min_long_s_ && expected_s > long_factor_ * median_s_;
  if (is_long != kind.is_long) {
    kind.is_long = is_long;
    long_slots_ += is_long ? kind.running_slots : -kind.running_slots;
  }
  return is_long;
}

void RunTimeTable::OnPlaced(KindId id, int slots, double now_s) {
  Kind& kind = kinds_[id];
  kind.running_slots += slots;
  long_slots_ += kind.is_long ? slots : 0;
  if (kind.running++ == 0) {
    kind.first_placed_s = now_s;
  }
}

void RunTimeTable::OnEnded(KindId id, int slots, double run_s) {
  Kind& kind = kinds_[id];
  --kind.running;
  kind.running_slots -= slots;
  long_slots_ -= kind.is_long ? slots : 0;
  if (run_s < 0) {
    return;
  }
  run_s = std::max(run_s, kMinRunSeconds);
  if (kind.completions >= kMinSamplesToClip) {
    run_s = std::min(run_s, outlier_factor_ * kind.mean_s);
  }
  kind.completions = std::min(kind.completions + 1, kMaxMeanSamples);
  kind.mean_s += (run_s - kind.mean_s) / kind.completions;
  mean_s_ += (run_s - mean_s_) * kEstimateStep;
  // The estimate moves by a constant factor per sample, so that outliers have
  // no more influence than other run times.
  median_s_ *= run_s > median_s_ ? 1 + kEstimateStep : 1 / (1 + kEstimateStep);
}

double RunTimeTable::Expected(KindId id,
                              double declared_s,
                              double now_s) const {
  const Kind& kind = kinds_[id];
  if (kind.completions > 0) {
    return kind.mean_s;
  }
  const double hint =
      declared_s > 0 ? declared_s : std::min(median_s_, mean_s_);
  // Without a completion so far, the time since the first placement is a lower
  // bound of the run time, whatever was declared.
  return kind.running > 0 ? std::max(hint, now_s - kind.first_placed_s) : hint;
}

}  // namespace radishrail::internal
