#ifndef RADISHRAIL_POLICY_SCHEDULER_H_
#define RADISHRAIL_POLICY_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/admission_policy.h"
#include "radishrail/clock.h"
#include "radishrail/rack_policy.h"
#include "radishrail/scheduler.h"

namespace radishrail {

// Order in which failure domains are considered for a task.
enum class SpillPolicy {
  kFastest,        // fastest free slot in any failure domain
  kHomeFirst,      // home first, then the fastest free slot elsewhere
  kFewestDomains,  // home first, then domains that the job already uses
  kMaxValue = kFewestDomains,
};

// Defaults are measured with `policy_benchmark`; see docs/performance.md.
struct PolicySchedulerSettings {
  SpillPolicy spill = SpillPolicy::kFastest;
  AdmissionPolicy admission = AdmissionPolicy::kQueuedWork;
  SharePolicy shares = SharePolicy::kBacklog;
  // Factor applied to the speed of upstreams in the home failure domain when
  // upstreams are compared.
  double home_preference = 1.02;
  // Slot-seconds of remaining work that one second of waiting offsets in the
  // priority of a job. Independent of the capacity, so that priorities computed
  // at different times stay comparable.
  double aging = 0.5;
  // A kind is long if its expected run time exceeds both this multiple of the
  // median run time and `min_long_run`.
  double long_factor = 5;
  absl::Duration min_long_run = absl::Seconds(1);
  // Bounds of the share of slots that long tasks may not occupy.
  double min_short_task_share = 0.1;
  double max_short_task_share = 0.9;
  // Time constant of the decaying average of arriving short work, from which
  // the slots kept free of long tasks are computed.
  absl::Duration short_work_decay_time = absl::Seconds(3);
  // Part of the promised response time reserved for delivering the response to
  // the caller.
  absl::Duration promise_margin = absl::Milliseconds(10);
  // Fair shares are enforced while the queued work exceeds this time at full
  // capacity.
  absl::Duration fair_share_backlog = absl::Seconds(2);
  // Estimated time from the start of a job to its end, as a multiple of the
  // time that all slots together need for its work. Above 1, since smaller jobs
  // that arrive meanwhile go first.
  double start_factor = 2;
  // Bounds of the `retry_after` of a refusal.
  absl::Duration min_retry = absl::Milliseconds(100);
  absl::Duration max_retry = absl::Seconds(30);
  // When multi-slot tasks have been blocked for this long, one upstream is
  // reserved for them and drained until one of the tasks fits.
  absl::Duration reserve_after = absl::Milliseconds(500);
  // Slots of the largest upstream. A task that declares more can never run.
  // `UpstreamCapacity::slots` is no substitute: it counts only the slots that
  // this daemon may use at the moment.
  int largest_upstream_slots = 8;
  // Decides whether tasks wait for room on their preferred rack; null: racks
  // are ignored.
  std::shared_ptr<const RackPolicy> rack_policy;
  // Run time of a task off its preferred rack as a multiple of that on it.
  double remote_run_factor = 1;
  // Bounds memory: kinds beyond this number share one estimate.
  size_t max_kinds = 16384;
};

// Orders whole jobs by least remaining work with deadline slack and aging,
// learns run times per kind, keeps a share of the slots free of long tasks, and
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
  std::vector<RoomForSize> room() override;
  size_t queued_tasks() const override;
  size_t running_tasks() const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_POLICY_SCHEDULER_H_
