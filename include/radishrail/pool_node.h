#ifndef RADISHRAIL_POOL_NODE_H_
#define RADISHRAIL_POOL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/executor.h"
#include "radishrail/job.h"
#include "radishrail/leased_upstream_client.h"
#include "radishrail/metrics.h"
#include "radishrail/peer_transport.h"
#include "radishrail/random.h"
#include "radishrail/routed_documents.h"
#include "radishrail/runner_transport.h"
#include "radishrail/scheduler.h"
#include "radishrail/store.h"
#include "radishrail/timeline.h"

namespace radishrail {

// What is known of a job that a client cancels.
enum class CancelResult {
  kCancelled,    // it was in progress and is being stopped
  kNotFound,     // no daemon has it
  kUnconfirmed,  // a daemon that may have it has not been reached
};

// Keys and encodings of the rows in the platform's store.
struct PoolNodeCodec {
  std::string runner_prefix;  // key prefix of runner rows
  std::string documents_key;  // key of the configuration row
  // Key prefix of all rows that operators write, including `documents_key`.
  std::string operator_prefix;
  // Key prefix of the rows that request the evacuation of a failure domain.
  std::string evacuation_prefix;
  DocumentsParser parse_documents;
  // Decodes the row of a runner, which other processes write; nullopt if it is
  // malformed.
  std::function<std::optional<VmInfo>(const Row& row, Error* error)>
      parse_runner;
};

struct PoolNodeSettings {
  std::string vm;
  std::string failure_domain;
  std::string peer_address;
  uint32_t cpu_millicores = 1000;  // processor share of this VM
  // Run time of a task off its preferred rack as a multiple of that on it; 1:
  // racks are ignored.
  double remote_run_factor = 1;
  LeaseSettings lease;
  // Longest time that one watch call waits for a change in the store. A call
  // that is lost in an unresponsive store or connection is noticed only when it
  // times out, a second after its wait, and must have been repeated 3 s after
  // the store answers again.
  absl::Duration runner_watch_wait = absl::Milliseconds(500);
  absl::Duration document_watch_wait = absl::Seconds(1);
  // Time until the balancer has noticed that the daemon is not ready.
  absl::Duration drain_balancer_delay = absl::Seconds(2);
  absl::Duration drain_timeout = absl::Seconds(2);
};

// External dependencies of a node; they outlive it.
struct PoolNodeDependencies {
  const Clock& clock;
  Random& random;
  Executor& executor;
  Store& store;
  PeerTransport& transport;
  RunnerTransport& runners;
  Metrics& metrics;
  Timeline& timeline;
};

// The control logic of a daemon on a platform whose runners work under leases:
// the runners of each failure domain form a pool with one owner, and entry
// daemons forward whole jobs to owners. Single-threaded: every call comes from
// the control thread.
class PoolNode : public PeerHandler {
 public:
  using AnswerCallback = std::function<void(const JobAnswer&)>;

  PoolNode(const PoolNodeSettings& settings,
           PoolNodeCodec codec,
           uint64_t incarnation,
           const PoolNodeDependencies& environment,
           std::unique_ptr<Scheduler> scheduler);
  ~PoolNode() override;

  void Start();
  // Runs what is due; returns the time of the next call.
  absl::Time Tick();

  // The route of a host and path; nullptr if there is none.
  const RoutedDocument* FindRoute(std::string_view host,
                                  std::string_view path) const;
  // False until a configuration has been loaded.
  bool has_documents() const;
  // A submission of a job in progress joins it. Returns the number of the
  // submission; zero if it was refused at once. `arrived` is when the client's
  // request was read, on the monotonic clock.
  uint64_t Submit(JobSpec job,
                  const RoutedDocument& route,
                  AnswerCallback callback,
                  absl::Time arrived = absl::InfiniteFuture());
  // Every client that was found to be disconnected at `time` or before has been
  // reported with `Abandon`. Jobs whose clients are not checked for about a
  // second are cancelled.
  void OnClientsChecked(absl::Time time);
  // Drops the answer to a caller that disconnected. Cancels the job if no other
  // caller waits for it.
  void Abandon(uint64_t submission);
  // Cancels a job on this daemon and on all owners of pools. Owners that are
  // not reached are told as soon as they are.
  void Cancel(const std::string& key,
              std::function<void(CancelResult)> on_result);

  void OnPeerMessage(const MemberRecord& sender,
                     const PeerMessage& message) override;
  void OnPeerDisconnected(const std::string& peer_address) override;
  void OnSenderDisconnected(const MemberRecord& sender) override;

  // Starts a graceful shutdown; progress through `Tick`.
  void BeginDrain();
  bool drained() const;
  bool ready() const;
  MemberRecord self() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_POOL_NODE_H_
