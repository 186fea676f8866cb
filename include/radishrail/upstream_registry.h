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
  // Consecutive or prevailing failures after which an upstream is ejected.
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
};

// A change of state, for the timeline.
struct UpstreamTransition {
  std::string vm;
  UpstreamState from = UpstreamState::kHealthy;
  UpstreamState to = UpstreamState::kHealthy;
  std::string cause;
};

// Knows the upstreams from the platform's list and from what they answer:
// learned speed, ejection with probation, leaving. Single-threaded.
class UpstreamRegistry {
 public:
  UpstreamRegistry(const UpstreamSettings& settings, const Clock& clock);
  ~UpstreamRegistry();

  // A successful read of the platform's VM list. An upstream missing from it
  // gets no new work.
  void OnVmList(const std::vector<VmInfo>& vms);
  // The upstream itself, or a peer, said that it leaves. Final until the VM
  // list shows the vm under a new address or as live after having been absent.
  void OnLeaving(std::string_view vm);
  // `expected` is the learned run time of the task's kind at mean speed.
  void OnResult(UpstreamId upstream,
                const TaskResult& result,
                absl::Duration expected);
  // Ends ejections that are due.
  void Tick();

  std::optional<UpstreamView> Find(UpstreamId upstream) const;
  std::optional<UpstreamView> FindByVm(std::string_view vm) const;
  std::vector<UpstreamView> All() const;
  // Upstreams that changed since the last call, as capacities with all their
  // slots (one in probation).
  std::vector<UpstreamCapacity> TakeChanges();
  // Changes of state since the last call, in order. `JobController::Tick` takes
  // them for the timeline.
  std::vector<UpstreamTransition> TakeTransitions();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_UPSTREAM_REGISTRY_H_
