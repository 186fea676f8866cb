#ifndef RADISHRAIL_LEASED_UPSTREAM_CLIENT_H_
#define RADISHRAIL_LEASED_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/metrics.h"
#include "radishrail/run_fate.h"
#include "radishrail/run_observer.h"
#include "radishrail/runner_transport.h"
#include "radishrail/store.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

struct LeaseSettings {
  // Longest lease that a runner grants.
  absl::Duration max_lease = absl::Seconds(1);
  // Longest time from a stop order to the end of the run.
  absl::Duration max_stop_time = absl::Milliseconds(50);
  // An order without an answer within this time counts as lost.
  absl::Duration order_timeout = absl::Milliseconds(250);
};

// Starts tasks on runners that execute them under leases and list how runs
// ended. The daemon that dispatches to a runner is its only caller: it extends
// the runner's lease, acknowledges ended runs and stops runs that it does not
// track.
//
// Invariant: a result other than `kUnknown` is reported only when the run has
// certainly ended or never began: the order was not sent or was rejected, the
// runner listed the end, has no record of the run after a stop, was restarted
// or replaced, or the lease has expired on the runner's clock. A lease, which
// covers all runs of its runner, is never extended past the lease of a job that
// has a run there; after `StopRun`, the lease of the job counts as it was then.
// Single-threaded.
class LeasedUpstreamClient : public UpstreamClient {
 public:
  // `on_fenced` runs when a runner rejects an order because it has seen a
  // higher fencing token; `on_usable_changed` runs when `Usable` changes for a
  // runner; `on_fate` runs for each run whose runner became silent or crashed.
  LeasedUpstreamClient(const Clock& clock,
                       RunnerTransport& transport,
                       const LeaseSettings& settings,
                       Metrics& metrics,
                       std::function<void(const std::string& pool)> on_fenced,
                       std::function<void()> on_usable_changed,
                       std::function<void(const RunFate& fate)> on_fate,
                       RunObserver& observer);
  ~LeasedUpstreamClient() override;

  // A runner of a pool that this daemon owns, with the pool's fencing token.
  struct OwnedRunner {
    VmInfo info;
    uint64_t fence = 0;
    bool accepting = true;  // false: gets no tasks, its runs may end
  };
  // Replaces the list of runners. Runs on runners that are no longer in it, or
  // whose address or fence changed, are reported as unknown.
  void SetRunners(const std::vector<OwnedRunner>& runners);

  // True if the runner is reachable, has no active runs that this daemon does
  // not track, such as those of a former owner, and its lease can be extended.
  bool Usable(const std::string& vm) const;
  // True if the runner has answered a look at its runs under the present fence.
  bool HasAnswered(const std::string& vm) const;

  bool CanStart(const std::string& vm, const JobLease& lease) const override;
  void Start(TaskStart start, Callback callback) override;
  void StopRun(const std::string& job_key,
               const std::string& task_id,
               int attempt) override;

  // Sends the orders that are due and returns the time of the next ones.
  absl::Time Tick();
  size_t runs() const;
  size_t RunsIn(const std::string& failure_domain) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_LEASED_UPSTREAM_CLIENT_H_
