#include "admission_ledger.h"

#include <algorithm>
#include <cmath>

namespace radishrail::internal {

namespace {

// Promised times are 100 ms and more, so a finer division decides nothing.
constexpr double kBucketSeconds = 0.02;
// Weight of a sample of the efficiency, and its bounds.
constexpr double kEfficiencyStep = 0.01;
constexpr double kMinEfficiency = 0.5;
// About 100 tasks: enough for a mean of the rare tasks that run many times
// longer than expected.
constexpr double kExcessDecay = 0.99;

}  // namespace

AdmissionLedger::Bucket AdmissionLedger::Find(double at_s) const {
  const auto bucket = static_cast<Bucket>(std::floor(at_s / kBucketSeconds));
  return bucket < first_ + static_cast<Bucket>(kBuckets)
             ? std::max(bucket, first_)
             : kFar;
}

double* AdmissionLedger::Total(std::array<double, kBuckets>* totals,
                               Bucket bucket,
                               Bucket first,
                               double* far,
                               double* overdue) {
  if (bucket == kFar) {
    return far;
  }
  return bucket < first ? overdue : &(*totals)[bucket % kBuckets];
}

AdmissionLedger::Bucket AdmissionLedger::AddQueued(double latest_start_s,
                                                   double slots,
                                                   double work) {
  const Bucket bucket = Find(latest_start_s);
  *Total(&queued_, bucket, first_, &far_queued_, &overdue_queued_) += slots;
  queued_slots_ += slots;
  queued_work_ += work;
  return bucket;
}

void AdmissionLedger::RemoveQueued(Bucket bucket, double slots, double work) {
  *Total(&queued_, bucket, first_, &far_queued_, &overdue_queued_) -= slots;
  queued_slots_ -= slots;
  queued_work_ -= work;
}

AdmissionLedger::Bucket AdmissionLedger::AddRunning(double end_s, int slots) {
  const Bucket bucket = Find(end_s);
  *Total(&ending_, bucket, first_, &far_running_, &overdue_running_) += slots;
  running_slots_ += slots;
  return bucket;
}

void AdmissionLedger::RemoveRunning(Bucket bucket, int slots, double now_s) {
  *Total(&ending_, bucket, first_, &far_running_, &overdue_running_) -= slots;
  running_slots_ -= slots;
  if (bucket != kFar && bucket < first_) {
    const double excess =
        now_s - static_cast<double>(bucket + 1) * kBucketSeconds;
    excess_ = excess_ * kExcessDecay + excess;
    excess_squares_ = excess_squares_ * kExcessDecay + excess * excess;
  }
}

void AdmissionLedger::Advance(double now_s) {
  const auto now = static_cast<Bucket>(std::floor(now_s / kBucketSeconds));
  const Bucket last = std::min(now, first_ + static_cast<Bucket>(kBuckets));
  for (; first_ < last; ++first_) {
    overdue_queued_ += queued_[first_ % kBuckets];
    overdue_running_ += ending_[first_ % kBuckets];
    queued_[first_ % kBuckets] = 0;
    ending_[first_ % kBuckets] = 0;
  }
  first_ = std::max(first_, now);
}

// So far ahead, single tasks do not matter: all waiting work has to be done by
// then.
AdmissionLedger::Shortage AdmissionLedger::CheckFar(
    double now_s,
    const Demand& demand,
    const Supply& supply) const {
  const double slots = efficiency_ * supply.slots;
  const double time_s = demand.latest_start_s - now_s;
  const double needed =
      (queued_work_ + demand.work) / (supply.mean_speed * time_s);
  return {demand.latest_start_s, needed - slots};
}

// Plays the coming starts and ends bucket by bucket: queued tasks start as soon
// as slots are given back, and give theirs back after their mean run time.
AdmissionLedger::Shortage AdmissionLedger::Check(double now_s,
                                                 const Demand& demand,
                                                 const Supply& supply) const {
  if (Find(demand.latest_start_s) == kFar) {
    return CheckFar(now_s, demand, supply);
  }
  const double waiting = queued_slots_ + demand.slots;
  const double mean_run_s =
      waiting > 0 ? (queued_work_ + demand.work) / (waiting * supply.mean_speed)
                  : 0;
  const auto run_buckets = std::max<Bucket>(
      1, static_cast<Bucket>(std::ceil(mean_run_s / kBucketSeconds)));
  // Expected rest of a task that is past its expected end: the mean residual
  // life seen at a random moment.
  const double rest_s = excess_ > 0 ? excess_squares_ / (2 * excess_) : 0;
  const Bucket rest = Find(now_s + rest_s);
  const Bucket due = Find(demand.latest_start_s);
  std::array<double, kBuckets> started{};
  double given_back = efficiency_ * supply.slots - running_slots_;
  double due_slots = overdue_queued_;
  Shortage worst{demand.latest_start_s, -static_cast<double>(supply.slots)};
  for (Bucket i = 0; i < static_cast<Bucket>(kBuckets); ++i) {
    const Bucket bucket = first_ + i;
    given_back += ending_[bucket % kBuckets];
    given_back += bucket == rest ? overdue_running_ : 0;
    due_slots += queued_[bucket % kBuckets];
    due_slots += bucket == due ? demand.slots : 0;
    const double room =
        given_back + (i >= run_buckets ? started[i - run_buckets] : 0);
    started[i] = std::clamp(room, i > 0 ? started[i - 1] : 0.0, waiting);
    if (bucket >= due && due_slots - room > worst.slots) {
      worst = {static_cast<double>(bucket + 1) * kBucketSeconds,
               due_slots - room};
    }
  }
  return worst;
}

void AdmissionLedger::LearnEfficiency(double used) {
  efficiency_ +=
      (std::clamp(used, kMinEfficiency, 1.0) - efficiency_) * kEfficiencyStep;
}

}  // namespace radishrail::internal
