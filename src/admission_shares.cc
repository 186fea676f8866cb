#include "admission_shares.h"

#include <algorithm>
#include <cmath>

namespace radishrail::internal {

namespace {

// Time constant of the offered and admitted work. Shorter than the time that
// jobs have, so that what is not used is lent within it.
constexpr double kWorkDecaySeconds = 0.5;
// Time constant of the counts of wide and narrow jobs.
constexpr double kKeptDecaySeconds = 3;
constexpr double kLevelIntervalSeconds = 0.01;
// Part of the jobs of an environment that count as wide.
constexpr double kWideShare = 0.3;
// Relative step of the estimate of the work that separates them.
constexpr double kWideStep = 0.02;
// Part of the capacity that is divided. Less than all, since jobs with little
// time find no room where all slots are in use.
constexpr double kSharedCapacity = 0.9;
// Nothing is left free while less than this part of it was admitted. Offers do
// not show it, since a job that another pool refused is offered again here.
constexpr double kScarceShare = 0.85;
// Changes of the slots that environments over their share leave free: up with
// each job within its share that finds no room, down with each that does. The
// environments within their shares are thus refused every eleventh job at most.
constexpr double kShareStepUp = 0.01;
constexpr double kShareStepDown = 0.001;
constexpr double kMaxShareHeadroom = 0.5;
// Wide jobs lag if they keep their promises less often than this part of the
// narrow ones. Below 1, since equality would refuse many narrow jobs for few
// wide ones.
constexpr double kWideTarget = 0.95;
// Change of the headroom of narrow jobs with each offer, and its bound.
constexpr double kHeadroomStep = 0.003;
constexpr double kMaxNarrowHeadroom = 0.5;

}  // namespace

void AdmissionShares::Sum::Add(double amount, double decay_s, double now_s) {
  value = At(decay_s, now_s) + amount;
  time_s = now_s;
}

double AdmissionShares::Sum::At(double decay_s, double now_s) const {
  return value * std::exp((time_s - now_s) / decay_s);
}

AdmissionShares::Environment& AdmissionShares::FindEnvironment(
    uint32_t environment) {
  if (environment >= environments_.size()) {
    environments_.resize(environment + 1);
  }
  return environments_[environment];
}

AdmissionShares::Kind& AdmissionShares::FindKind(uint32_t kind) {
  if (kind >= kinds_.size()) {
    kinds_.resize(kind + 1);
  }
  return kinds_[kind];
}

bool AdmissionShares::Offer(const Group& group, double work, double now_s) {
  FindEnvironment(group.environment)
      .offered.Add(work, kWorkDecaySeconds, now_s);
  Kind& kind = FindKind(group.kind);
  // Moves up for a wide job and down for a narrow one, so that it settles where
  // `kWideShare` of the jobs are wide.
  if (kind.wide_work == 0) {
    kind.wide_work = work;
  }
  const bool wide = work > kind.wide_work;
  kind.wide_work *=
      wide ? 1 + kWideStep * (1 - kWideShare) : 1 - kWideStep * kWideShare;
  kind.jobs[wide ? 1 : 0].Add(1, kKeptDecaySeconds, now_s);
  return wide;
}

void AdmissionShares::Admitted(const Group& group, double work, double now_s) {
  Environment& it = FindEnvironment(group.environment);
  if (!OverShare(it, now_s)) {
    share_headroom_ = std::max(share_headroom_ - kShareStepDown, 0.0);
  }
  it.admitted.Add(work, kWorkDecaySeconds, now_s);
}

void AdmissionShares::Refused(const Group& group, double now_s) {
  if (any_over_share_ &&
      !OverShare(FindEnvironment(group.environment), now_s)) {
    share_headroom_ =
        std::min(share_headroom_ + kShareStepUp, kMaxShareHeadroom);
  }
}

void AdmissionShares::Kept(const Group& group, bool wide, double now_s) {
  FindKind(group.kind).kept[wide ? 1 : 0].Add(1, kKeptDecaySeconds, now_s);
}

bool AdmissionShares::OverShare(const Environment& environment,
                                double now_s) const {
  return environment.admitted.At(kWorkDecaySeconds, now_s) / kWorkDecaySeconds >
         level_;
}

double AdmissionShares::KeptShare(const Kind& kind, bool wide, double now_s) {
  const size_t i = wide ? 1 : 0;
  const double jobs = kind.jobs[i].At(kKeptDecaySeconds, now_s);
  return jobs > 0 ? kind.kept[i].At(kKeptDecaySeconds, now_s) / jobs : 0;
}

// The highest level at which the offered work of all environments, each cut at
// the level, fits into the capacity.
void AdmissionShares::UpdateLevel(double capacity, double now_s) {
  if (now_s < level_time_s_ + kLevelIntervalSeconds) {
    return;
  }
  level_time_s_ = now_s;
  std::vector<double> rates;
  for (const auto& it : environments_) {
    rates.push_back(it.offered.At(kWorkDecaySeconds, now_s) /
                    kWorkDecaySeconds);
  }
  std::sort(rates.begin(), rates.end());
  level_ = capacity;
  double left = capacity;
  for (size_t i = 0; i < rates.size(); ++i) {
    level_ = left / static_cast<double>(rates.size() - i);
    if (rates[i] > level_) {
      break;
    }
    left -= rates[i];
    level_ = capacity;
  }
  double admitted = 0;
  for (const auto& it : environments_) {
    admitted += it.admitted.At(kWorkDecaySeconds, now_s) / kWorkDecaySeconds;
  }
  scarce_ = admitted > kScarceShare * capacity;
  any_over_share_ = std::any_of(
      environments_.begin(), environments_.end(),
      [this, now_s](const Environment& it) { return OverShare(it, now_s); });
}

double AdmissionShares::Headroom(const Group& group,
                                 bool wide,
                                 double capacity,
                                 double now_s) {
  UpdateLevel(kSharedCapacity * capacity, now_s);
  if (!scarce_) {
    return 0;
  }
  double headroom = OverShare(FindEnvironment(group.environment), now_s)
                        ? share_headroom_
                        : 0;
  if (!wide) {
    Kind& kind = FindKind(group.kind);
    const bool lags = KeptShare(kind, true, now_s) <
                      kWideTarget * KeptShare(kind, false, now_s);
    kind.narrow_headroom = std::clamp(
        kind.narrow_headroom + (lags ? kHeadroomStep : -kHeadroomStep), 0.0,
        kMaxNarrowHeadroom);
    headroom += kind.narrow_headroom;
  }
  return headroom;
}

}  // namespace radishrail::internal
