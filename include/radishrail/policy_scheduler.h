#ifndef RADISHRAIL_POLICY_SCHEDULER_H_
#define RADISHRAIL_POLICY_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/scheduler.h"

namespace radishrail {

// Where tasks go when the home failure domain has no free slot, or always.
enum class SpillPolicy {
  kFastest,        // fastest free slot of all failure domains
  kHomeFirst,      // home first, then the fastest free slot elsewhere
  kFewestDomains,  // home first, then failure domains that the job uses already
  kMaxValue = kFewestDomains,
};

// Defaults are measured with `policy_benchmark`; see docs/performance.md.
struct PolicySchedulerSettings {
  SpillPolicy spill = SpillPolicy::kFastest;
  // Factor by which a slot of the home failure domain counts as faster.
  double home_preference = 1.02;
  // Slot-seconds of remaining work that a second of waiting outweighs.
  // Constant, since keys of jobs must stay comparable while the capacity
  // changes.
  double aging = 0.5;
  // A kind is long if its mean run time exceeds this multiple of the median
  // task, and `min_long_run`.
  double long_factor = 5;
  absl::Duration min_long_run = absl::Seconds(1);
  // Bounds of the share of slots that is closed to long tasks.
  double min_closed_share = 0.1;
  double max_closed_share = 0.9;
  // Time constant with which the mix of short and long work is learned.
  absl::Duration mix_time = absl::Seconds(3);
  // Part of the promise kept for the answer's way to the caller.
  absl::Duration promise_margin = absl::Milliseconds(10);
  // Fair shares apply while the queue holds more than this much work per slot.
  absl::Duration fair_share_backlog = absl::Seconds(2);
  // Time that a job needs from its start, as a multiple of the time in which
  // all slots would do its work. Smaller jobs that arrive meanwhile go first.
  double start_factor = 2;
  // Bounds of the retry time of a refusal.
  absl::Duration min_retry = absl::Milliseconds(100);
  absl::Duration max_retry = absl::Seconds(30);
  // A lane of multi-slot tasks that waits this long gets an upstream of its own
  // to run empty.
  absl::Duration reserve_after = absl::Milliseconds(500);
  // Slots of the largest upstream. A task that declares more can never run. The
  // slots of `UpstreamCapacity` do not tell, since they are only a loan.
  int largest_upstream_slots = 8;
  // Bound on memory; further kinds share one estimate.
  size_t max_kinds = 16384;
};

// Orders whole jobs by least remaining work with deadline slack and aging,
// learns run times per kind, closes a share of the slots to long tasks, and
// shares slots between teams. A decision costs logarithmic time in queued tasks
// and upstreams, and linear time in teams with queued tasks.
class PolicyScheduler : public Scheduler {
 public:
  explicit PolicyScheduler(const Clock& clock,
                           const PolicySchedulerSettings& settings = {});
  ~PolicyScheduler() override;

  std::optional<Refusal> Admit(const JobDemand& demand) override;
  std::optional<Placement> Next() override;
  void Requeue(TaskRef task,
               absl::Time not_before,
               std::optional<UpstreamId> avoid) override;
  void Finish(TaskRef task, std::optional<absl::Duration> run_time) override;
  void Remove(uint64_t job) override;
  std::vector<uint64_t> TakeHopeless() override;
  void SetUpstream(const UpstreamCapacity& capacity) override;
  void RemoveUpstream(UpstreamId upstream) override;
  SchedulerLoad load() const override;
  size_t queued_tasks() const override;
  size_t running_tasks() const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_POLICY_SCHEDULER_H_
