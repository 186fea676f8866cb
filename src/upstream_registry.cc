#include "radishrail/upstream_registry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 4> kStateNames = {"healthy", "probation",
                                                         "ejected", "leaving"};

// A sample changes the logarithm of the speed by at most this much times the
// weight of the sample, so that a run that is many times longer than expected
// counts like one that takes e times the expected time.
constexpr double kMaxLogStep = 1.0;
constexpr double kMinSpeedWeight = 0.05;
// The initial speed of 1 has the weight of this many samples.
constexpr double kPriorSamples = 4;
constexpr double kMaxLogSpeed = 2.3;  // speeds from 0.1 to 10
// Relative changes of the speed up to this are not reported to the scheduler.
constexpr double kReportedSpeedChange = 0.05;

constexpr double kFailureWeight = 0.1;
constexpr int kMinResultsForRate = 20;
constexpr double kOutlierFailureRate = 0.6;
constexpr double kOutlierExcessRate = 0.3;
// A series of failures counts as chance unless its probability, given the
// failure rate of the other upstreams, is at most this.
constexpr double kMaxChanceProbability = 1e-4;
constexpr double kMaxOthersFailureRate = 0.95;

constexpr int kProbationSuccesses = 3;
// A task that reaches its deadline while running counts as a failure of the
// upstream only if it took more than this many times the learned run time of
// its kind.
constexpr double kTimeoutFactor = 4;
// Shares of its slots and of its speed that a cold upstream is used with. The
// platform does not say how slow it is. The share of the speed rises to 1 until
// the upstream is no longer cold.
constexpr double kColdSlotShare = 0.5;
constexpr double kColdSpeed = 0.5;
// Entries of unlisted upstreams are kept this long. This exceeds the longest
// deadline, so that late results still find their upstream.
constexpr absl::Duration kEntryRetention = absl::Minutes(20);

enum class ResultClass { kSuccess, kFailure, kNeutral };

ResultClass ClassifyResult(const TaskResult& result, absl::Duration expected) {
  switch (result.outcome) {
    case TaskOutcome::kDone:
      return ResultClass::kSuccess;
    case TaskOutcome::kFailed:
      return ResultClass::kFailure;
    case TaskOutcome::kEnded:
    case TaskOutcome::kNotStarted:
      // A busy or leaving upstream or an expired start-by time is not a failure
      // of the upstream.
      return result.error.code == ErrorCode::kUnreachable ||
                     result.error.code == ErrorCode::kConnectionBroken ||
                     result.error.code == ErrorCode::kProtocol
                 ? ResultClass::kFailure
                 : ResultClass::kNeutral;
    case TaskOutcome::kUnknown:
      break;
  }
  if (result.error.code == ErrorCode::kDeadlineExceeded) {
    return expected > absl::ZeroDuration() &&
                   result.run_time > kTimeoutFactor * expected
               ? ResultClass::kFailure
               : ResultClass::kNeutral;
  }
  return ResultClass::kFailure;
}

struct Entry {
  UpstreamId id = 0;
  VmInfo info;
  bool listed = true;
  bool leaving = false;
  bool replaced = false;  // a newer entry exists for the vm
  bool dirty = false;
  UpstreamState health = UpstreamState::kHealthy;  // never kLeaving
  uint64_t list_round = 0;
  absl::Time unlisted_since;

  double log_speed = 0;
  double reported_speed = 1;
  int speed_samples = 0;

  double failure_rate = 0;
  int consecutive_failures = 0;
  int results = 0;  // since the last change of `health`
  int ejections = 0;
  absl::Time ejected_until;
  absl::Time healthy_since;

  bool present() const { return listed && !leaving && !replaced; }
  UpstreamState state() const {
    return leaving ? UpstreamState::kLeaving : health;
  }
  bool accepting() const {
    return present() && health != UpstreamState::kEjected;
  }
  int usable_slots() const {
    const int slots =
        cold ? static_cast<int>(std::ceil(info.slots * kColdSlotShare))
             : info.slots;
    return health == UpstreamState::kProbation
               ? std::min(probation_slots, slots)
               : slots;
  }
  int probation_slots = 1;

  bool cold = false;
  absl::Time cold_since;  // when it was first seen to be cold
  absl::Time cold_until = absl::InfinitePast();
  double reported_cold_speed = 1;

  double ColdSpeed(absl::Time now) const {
    return !cold
               ? 1
               : kColdSpeed +
                     (1 - kColdSpeed) *
                         std::clamp(absl::FDivDuration(now - cold_since,
                                                       cold_until - cold_since),
                                    0.0, 1.0);
  }
};

absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::string_view UpstreamStateName(UpstreamState state) {
  return internal::NameOf(kStateNames, state);
}

class UpstreamRegistry::Impl {
 public:
  Impl(const UpstreamSettings& settings, const Clock& clock)
      : settings_(settings), clock_(clock) {}

  void OnVmList(const std::vector<VmInfo>& vms) {
    ++list_round_;
    for (const auto& it : vms) {
      if (it.role == VmRole::kUpstream) {
        Update(it);
      }
    }
    for (auto& [id, entry] : entries_) {
      if (entry->listed && entry->list_round != list_round_) {
        SetListed(*entry, false);
      }
    }
    RemoveOldEntries();
  }

  void OnLeaving(std::string_view vm) {
    if (Entry* entry = FindEntry(vm)) {
      SetLeaving(*entry, "announced");
    }
  }

  void OnResult(UpstreamId upstream,
                const TaskResult& result,
                absl::Duration expected) {
    Entry* entry = FindEntry(upstream);
    if (entry == nullptr) {
      return;
    }
    if (result.upstream_leaving ||
        result.error.code == ErrorCode::kUpstreamLeaving) {
      SetLeaving(*entry, "announced in a response");
    }
    const bool was_cold =
        clock_.Monotonic() - result.run_time < entry->cold_until;
    // Without an expected run time, a time-out is not a failure.
    const ResultClass result_class =
        ClassifyResult(result, was_cold ? absl::ZeroDuration() : expected);
    if (result_class == ResultClass::kNeutral) {
      return;
    }
    if (result_class == ResultClass::kSuccess && !was_cold) {
      LearnSpeed(*entry, result.run_time, expected);
    }
    LearnFailure(*entry, result_class == ResultClass::kFailure);
    UpdateHealth(*entry, result_class == ResultClass::kFailure);
  }

  void Tick() {
    const absl::Time now = clock_.Monotonic();
    while (!ejected_.empty() && ejected_.begin()->first <= now) {
      Entry& entry = *entries_.at(ejected_.begin()->second);
      SetHealth(entry, UpstreamState::kProbation, "ejection time elapsed");
    }
    ReadmitAboveCap();
    UpdateCold(now);
  }

  std::optional<UpstreamView> Find(UpstreamId upstream) const {
    const auto it = entries_.find(upstream);
    if (it == entries_.end()) {
      return std::nullopt;
    }
    return MakeView(*it->second);
  }

  std::optional<UpstreamView> FindByVm(std::string_view vm) const {
    const auto it = by_vm_.find(ToAbslView(vm));
    return it == by_vm_.end() ? std::nullopt : Find(it->second);
  }

  std::vector<UpstreamView> All() const {
    std::vector<UpstreamView> out;
    for (const auto& [id, entry] : entries_) {
      if (!entry->replaced) {
        out.push_back(MakeView(*entry));
      }
    }
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return out;
  }

  std::vector<UpstreamCapacity> TakeChanges() {
    std::vector<UpstreamCapacity> out;
    std::sort(dirty_.begin(), dirty_.end());
    for (const UpstreamId id : dirty_) {
      if (Entry* entry = FindEntry(id)) {
        entry->dirty = false;
        entry->reported_speed = Speed(*entry);
        entry->reported_cold_speed = entry->ColdSpeed(clock_.Monotonic());
        out.push_back(
            {id, entry->info.upstream_class, entry->info.failure_domain,
             entry->info.failure_domain == settings_.failure_domain,
             entry->accepting() ? entry->usable_slots() : 0, entry->accepting(),
             entry->reported_speed * entry->reported_cold_speed,
             entry->info.hardware_kind, entry->info.rack, entry->cold_until,
             entry->cold && entry->health == UpstreamState::kHealthy
                 ? entry->info.slots
                 : 0});
      }
    }
    dirty_.clear();
    return out;
  }

  std::vector<UpstreamTransition> TakeTransitions() {
    return std::exchange(transitions_, {});
  }

 private:
  Entry* FindEntry(UpstreamId id) {
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : it->second.get();
  }
  Entry* FindEntry(std::string_view vm) {
    const auto it = by_vm_.find(ToAbslView(vm));
    return it == by_vm_.end() ? nullptr : FindEntry(it->second);
  }

  UpstreamView MakeView(const Entry& entry) const {
    return {entry.id,     entry.info,        entry.state(), Speed(entry),
            entry.listed, entry.accepting(), entry.cold};
  }

  void MarkDirty(Entry& entry) {
    if (!entry.dirty) {
      entry.dirty = true;
      dirty_.push_back(entry.id);
    }
  }

  // Applies a change to an entry and updates the sums over present entries.
  template <typename Change>
  void Modify(Entry& entry, Change change) {
    AddToSums(entry, -1);
    change();
    AddToSums(entry, 1);
  }

  void AddToSums(const Entry& entry, int sign) {
    if (entry.present()) {
      present_ += sign;
      ejected_present_ += entry.health == UpstreamState::kEjected ? sign : 0;
      sum_log_speed_ += sign * entry.log_speed;
      sum_failure_rate_ += sign * entry.failure_rate;
    }
  }

  // Relative to the mean of the present upstreams. Without this fixed scale,
  // learned run times and speeds could drift together.
  double Speed(const Entry& entry) const {
    const double mean = present_ > 0 ? sum_log_speed_ / present_ : 0;
    return std::exp(entry.log_speed - mean);
  }

  void Add(const VmInfo& info) {
    auto entry = std::make_unique<Entry>();
    entry->id = next_id_++;
    entry->info = info;
    entry->leaving = info.state == VmState::kLeaving;
    entry->list_round = list_round_;
    entry->healthy_since = clock_.Monotonic();
    entry->probation_slots = settings_.probation_slots;
    by_vm_[info.vm] = entry->id;
    AddToSums(*entry, 1);
    MarkDirty(*entry);
    SetColdUntil(*entry, info.cold_until);
    entries_.emplace(entry->id, std::move(entry));
  }

  void SetColdUntil(Entry& entry, absl::Time cold_until) {
    const absl::Time now = clock_.Monotonic();
    // An upstream that is no longer cold is listed without a time; the end that
    // was known before still tells which runs were slow.
    if (cold_until <= now) {
      return;
    }
    entry.cold_until = cold_until;
    if (!entry.cold) {
      entry.cold = true;
      entry.cold_since = now;
      cold_.insert(entry.id);
      MarkDirty(entry);
    }
  }

  void UpdateCold(absl::Time now) {
    for (auto it = cold_.begin(); it != cold_.end();) {
      Entry* entry = FindEntry(*it);
      if (entry == nullptr || entry->cold_until <= now) {
        if (entry != nullptr) {
          entry->cold = false;
          MarkDirty(*entry);
        }
        it = cold_.erase(it);
        continue;
      }
      if (std::abs(entry->ColdSpeed(now) / entry->reported_cold_speed - 1) >
          kReportedSpeedChange) {
        MarkDirty(*entry);
      }
      ++it;
    }
  }

  void Update(const VmInfo& info) {
    Entry* entry = FindEntry(info.vm);
    if (entry == nullptr) {
      Add(info);
      return;
    }
    // The list may contain a vm twice. The second line is ignored, as it would
    // otherwise replace the entry at each read.
    if (entry->list_round == list_round_) {
      return;
    }
    const bool readmitted =
        entry->leaving && !entry->listed && info.state == VmState::kLive;
    if (entry->info.address != info.address || readmitted ||
        entry->info.incarnation != info.incarnation) {
      Replace(*entry);
      Add(info);
      return;
    }
    entry->list_round = list_round_;
    SetListed(*entry, true);
    if (info.state == VmState::kLeaving) {
      SetLeaving(*entry, "VM list");
    }
    entry->info.state = info.state;
    SetColdUntil(*entry, info.cold_until);
    // Unchanged lines are not copied: at the target size, the list has 21,000
    // lines and is read once a second.
    if (entry->info.slots != info.slots ||
        entry->info.upstream_class != info.upstream_class ||
        entry->info.failure_domain != info.failure_domain) {
      entry->info = info;
      MarkDirty(*entry);
    }
  }

  void Replace(Entry& entry) {
    Modify(entry, [&] { entry.replaced = true; });
    ejected_.erase({entry.ejected_until, entry.id});
    if (entry.listed) {
      entry.listed = false;
      entry.unlisted_since = clock_.Monotonic();
    }
    MarkDirty(entry);
  }

  void SetListed(Entry& entry, bool listed) {
    if (entry.listed == listed) {
      return;
    }
    Modify(entry, [&] { entry.listed = listed; });
    if (!listed) {
      entry.unlisted_since = clock_.Monotonic();
    }
    MarkDirty(entry);
  }

  void SetLeaving(Entry& entry, std::string_view cause) {
    if (entry.leaving) {
      return;
    }
    transitions_.push_back({entry.info.vm, entry.state(),
                            UpstreamState::kLeaving, std::string(cause)});
    Modify(entry, [&] { entry.leaving = true; });
    MarkDirty(entry);
  }

  void SetHealth(Entry& entry, UpstreamState health, std::string_view cause) {
    if (!entry.leaving) {
      transitions_.push_back(
          {entry.info.vm, entry.state(), health, std::string(cause)});
    }
    ejected_.erase({entry.ejected_until, entry.id});
    Modify(entry, [&] {
      entry.health = health;
      entry.failure_rate = 0;
    });
    entry.results = 0;
    entry.consecutive_failures = 0;
    MarkDirty(entry);
  }

  void LearnSpeed(Entry& entry, absl::Duration run, absl::Duration expected) {
    if (run <= absl::ZeroDuration() || expected <= absl::ZeroDuration()) {
      return;
    }
    ++entry.speed_samples;
    const double weight =
        std::max(kMinSpeedWeight, 1.0 / (entry.speed_samples + kPriorSamples));
    const double sample = std::log(absl::FDivDuration(expected, run));
    // `expected` is the run time at mean speed, so the sample is relative to
    // the mean.
    const double mean = present_ > 0 ? sum_log_speed_ / present_ : 0;
    const double step =
        std::clamp(sample + mean - entry.log_speed, -kMaxLogStep, kMaxLogStep);
    Modify(entry, [&] {
      entry.log_speed = std::clamp(entry.log_speed + weight * step,
                                   -kMaxLogSpeed, kMaxLogSpeed);
    });
    if (std::abs(Speed(entry) / entry.reported_speed - 1) >
        kReportedSpeedChange) {
      MarkDirty(entry);
    }
  }

  void LearnFailure(Entry& entry, bool failed) {
    ++entry.results;
    entry.consecutive_failures = failed ? entry.consecutive_failures + 1 : 0;
    Modify(entry, [&] {
      entry.failure_rate +=
          kFailureWeight * ((failed ? 1.0 : 0.0) - entry.failure_rate);
    });
  }

  // Mean failure rate of the other upstreams. All have equal weight, so that an
  // upstream that fails fast, and therefore receives most tasks, still stands
  // out from the mean.
  double OthersFailureRate(const Entry& entry) const {
    const int others = present_ - (entry.present() ? 1 : 0);
    if (others <= 0) {
      return 0;
    }
    const double own = entry.present() ? entry.failure_rate : 0;
    return std::clamp((sum_failure_rate_ - own) / others, 0.0,
                      kMaxOthersFailureRate);
  }

  bool IsOutlier(const Entry& entry) const {
    const double others = OthersFailureRate(entry);
    // If tasks fail on other upstreams too, more consecutive failures are
    // needed.
    double needed = settings_.ejection_failures;
    if (others > 0) {
      needed =
          std::max(needed, std::log(kMaxChanceProbability) / std::log(others));
    }
    return entry.consecutive_failures >= needed ||
           (entry.results >= kMinResultsForRate &&
            entry.failure_rate >= kOutlierFailureRate &&
            entry.failure_rate >= others + kOutlierExcessRate);
  }

  // At least 1 if there are several upstreams: with three, a share of 0.3 would
  // round down to 0 and never eject one that fails every task.
  int EjectionCap() const {
    const auto share = static_cast<int>(settings_.max_ejected_share * present_);
    return present_ > 1 ? std::max(1, share) : 0;
  }
  bool MayEject() const { return ejected_present_ < EjectionCap(); }

  void UpdateHealth(Entry& entry, bool failed) {
    if (entry.health == UpstreamState::kProbation) {
      if (failed && MayEject()) {
        Eject(entry, "failed on probation");
      } else if (!failed && entry.consecutive_failures == 0 &&
                 entry.results >= kProbationSuccesses) {
        SetHealth(entry, UpstreamState::kHealthy, "passed probation");
        entry.healthy_since = clock_.Monotonic();
      }
    } else if (entry.health == UpstreamState::kHealthy && failed &&
               entry.present() && IsOutlier(entry) && MayEject()) {
      // After a long time without ejection, the ejection time starts again at
      // its initial value.
      if (clock_.Monotonic() - entry.healthy_since >=
          settings_.max_ejection_time) {
        entry.ejections = 0;
      }
      Eject(entry, "failing tasks");
    }
  }

  // The cap decreases when other upstreams leave.
  void ReadmitAboveCap() {
    auto it = ejected_.begin();
    while (it != ejected_.end() && ejected_present_ > EjectionCap()) {
      Entry& entry = *entries_.at(it->second);
      if (!entry.present()) {
        ++it;
        continue;
      }
      SetHealth(entry, UpstreamState::kProbation, "ejection cap exceeded");
      it = ejected_.begin();  // SetHealth removed the element
    }
  }

  void Eject(Entry& entry, std::string_view cause) {
    SetHealth(entry, UpstreamState::kEjected, cause);
    absl::Duration time = settings_.ejection_time;
    for (int i = 0; i < entry.ejections && time < settings_.max_ejection_time;
         ++i) {
      time *= 2;
    }
    ++entry.ejections;
    entry.ejected_until =
        clock_.Monotonic() + std::min(time, settings_.max_ejection_time);
    ejected_.insert({entry.ejected_until, entry.id});
  }

  void RemoveOldEntries() {
    const absl::Time before = clock_.Monotonic() - kEntryRetention;
    absl::erase_if(entries_, [&](const auto& it) {
      const Entry& entry = *it.second;
      if (entry.listed || entry.unlisted_since > before) {
        return false;
      }
      ejected_.erase({entry.ejected_until, entry.id});
      if (!entry.replaced) {
        by_vm_.erase(entry.info.vm);
      }
      return true;
    });
  }

  const UpstreamSettings settings_;
  const Clock& clock_;
  absl::flat_hash_map<UpstreamId, std::unique_ptr<Entry>> entries_;
  absl::flat_hash_map<std::string, UpstreamId> by_vm_;
  absl::btree_set<std::pair<absl::Time, UpstreamId>> ejected_;
  absl::btree_set<UpstreamId> cold_;
  std::vector<UpstreamId> dirty_;
  std::vector<UpstreamTransition> transitions_;
  UpstreamId next_id_ = 0;
  uint64_t list_round_ = 0;
  int present_ = 0;
  int ejected_present_ = 0;
  double sum_log_speed_ = 0;
  double sum_failure_rate_ = 0;
};

UpstreamRegistry::UpstreamRegistry(const UpstreamSettings& settings,
                                   const Clock& clock)
    : impl_(std::make_unique<Impl>(settings, clock)) {}
UpstreamRegistry::~UpstreamRegistry() = default;

void UpstreamRegistry::OnVmList(const std::vector<VmInfo>& vms) {
  impl_->OnVmList(vms);
}
void UpstreamRegistry::OnLeaving(std::string_view vm) {
  impl_->OnLeaving(vm);
}
void UpstreamRegistry::OnResult(UpstreamId upstream,
                                const TaskResult& result,
                                absl::Duration expected) {
  impl_->OnResult(upstream, result, expected);
}
void UpstreamRegistry::Tick() {
  impl_->Tick();
}
std::optional<UpstreamView> UpstreamRegistry::Find(UpstreamId upstream) const {
  return impl_->Find(upstream);
}
std::optional<UpstreamView> UpstreamRegistry::FindByVm(
    std::string_view vm) const {
  return impl_->FindByVm(vm);
}
std::vector<UpstreamView> UpstreamRegistry::All() const {
  return impl_->All();
}
std::vector<UpstreamCapacity> UpstreamRegistry::TakeChanges() {
  return impl_->TakeChanges();
}
std::vector<UpstreamTransition> UpstreamRegistry::TakeTransitions() {
  return impl_->TakeTransitions();
}

}  // namespace radishrail
