#ifndef RADISHRAIL_UPSTREAM_REGISTRY_H_
#define RADISHRAIL_UPSTREAM_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/scheduler.h"
#include "radishrail/store.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

enum class UpstreamState {
  kHealthy,
  kProbation,  // readmitted with few slots after an ejection
  kEjected,
  kLeaving,
  kMaxValue = kLeaving,
};

std::string_view UpstreamStateName(UpstreamState state);

struct UpstreamSettings {
  std::string failure_domain;  // of this daemon
  // Share of all upstreams that may be ejected at once.
  double max_ejected_share = 0.3;
  // Consecutive failures after which an upstream is ejected; more are needed if
  // other upstreams fail, too. Without such a series, an upstream is ejected
  // when its failure rate is high and far above that of the others.
  int ejection_failures = 5;
  absl::Duration ejection_time = absl::Seconds(5);
  absl::Duration max_ejection_time = absl::Seconds(60);
  int probation_slots = 1;
};

struct UpstreamView {
  UpstreamId id = 0;
  VmInfo info;
  UpstreamState state = UpstreamState::kHealthy;
  double speed = 1.0;
  bool listed = true;      // in the latest VM list
  bool accepting = false;  // may receive new work
  bool cold = false;       // runs that begin now are slow
};

// A change of an upstream's state, recorded in the timeline.
struct UpstreamTransition {
  std::string vm;
  UpstreamState from = UpstreamState::kHealthy;
  UpstreamState to = UpstreamState::kHealthy;
  std::string cause;
};

// Tracks the upstreams of the platform's VM list and what their results show:
// learned speed, failures (ejection, then probation) and leaving. A cold
// upstream is reported with fewer slots and a lower speed; runs that began
// while it was cold change neither its learned speed nor count as time-outs.
// Single-threaded.
class UpstreamRegistry {
 public:
  UpstreamRegistry(const UpstreamSettings& settings, const Clock& clock);
  ~UpstreamRegistry();

  // Call after each successful read of the platform's VM list. An upstream that
  // is not listed gets no new work.
  void OnVmList(const std::vector<VmInfo>& vms);
  // The upstream itself or a peer announced that the upstream is leaving. This
  // is final until the VM list shows the vm with a new address or incarnation,
  // or as live after it was absent from the list.
  void OnLeaving(std::string_view vm);
  // `expected` is the learned run time of the task's kind on an upstream of
  // mean speed.
  void OnResult(UpstreamId upstream,
                const TaskResult& result,
                absl::Duration expected);
  // Ends ejections that are due.
  void Tick();

  std::optional<UpstreamView> Find(UpstreamId upstream) const;
  std::optional<UpstreamView> FindByVm(std::string_view vm) const;
  std::vector<UpstreamView> All() const;
  // Capacities of the upstreams that changed since the last call, with all
  // their slots, `probation_slots` in probation, or half of them while cold.
  std::vector<UpstreamCapacity> TakeChanges();
  // Changes of state since the last call, in order. `JobController::Tick`
  // writes them to the timeline.
  std::vector<UpstreamTransition> TakeTransitions();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_UPSTREAM_REGISTRY_H_
