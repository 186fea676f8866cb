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
#include "radishrail/runner_transport.h"
#include "radishrail/store.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

struct LeaseSettings {
  // Longest lease that a runner grants.
  absl::Duration max_lease = absl::Seconds(1);
  // Longest time from a stop to the end of the run.
  absl::Duration stop_time = absl::Milliseconds(50);
  // Time for an answer to an order. A longer one is taken for a lost order.
  absl::Duration order_timeout = absl::Milliseconds(250);
};

// Starts tasks on runners that work under leases and list how runs ended. The
// daemon that dispatches to a runner is its only caller: it extends the
// runner's lease, acknowledges ends and stops runs that it doesn't know.
//
// Invariant: a result other than `kUnknown` is given only when the run has
// certainly ended: the runner listed its end, answered that it did nothing, has
// no record of it after a stop, began another life, or the lease has passed on
// its clock. Single-threaded.
class LeasedUpstreamClient : public UpstreamClient {
 public:
  // `on_fenced` reports that a runner obeys an owner with a higher fence;
  // `on_usable` that `Usable` changed for a runner.
  LeasedUpstreamClient(const Clock& clock,
                       RunnerTransport& transport,
                       const LeaseSettings& settings,
                       Metrics& metrics,
                       std::function<void(const std::string& pool)> on_fenced,
                       std::function<void()> on_usable);
  ~LeasedUpstreamClient() override;

  // The runners of the pools that this daemon owns, with the fencing tokens of
  // the pools. Runs on runners that are no longer in the list end as unknown.
  struct OwnedRunner {
    VmInfo info;
    uint64_t fence = 0;
    bool accepting = true;  // false: its pool is about to be released
  };
  void SetRunners(const std::vector<OwnedRunner>& runners);

  // The runner is in touch and runs nothing of a former owner.
  bool Usable(const std::string& vm) const;

  void Start(TaskStart start, Callback callback) override;
  void StopRun(const std::string& job_key,
               const std::string& task_id,
               int attempt) override;

  // Sends orders that are due; returns when the next ones are.
  absl::Time Tick();
  size_t runs() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_LEASED_UPSTREAM_CLIENT_H_
