#ifndef RADISHRAIL_NODE_H_
#define RADISHRAIL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/document_controller.h"
#include "radishrail/filter.h"
#include "radishrail/membership.h"
#include "radishrail/metrics.h"
#include "radishrail/ownership.h"
#include "radishrail/peer_transport.h"
#include "radishrail/random.h"
#include "radishrail/scheduler.h"
#include "radishrail/settings.h"
#include "radishrail/store.h"
#include "radishrail/timeline.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

// The services that a node uses. Each must outlive the node.
struct NodeDependencies {
  const Clock& clock;
  Random& random;
  Store& store;
  PeerTransport& transport;
  UpstreamClient& upstream_client;
  Metrics& metrics;
  Timeline& timeline;
};

// The control logic of a daemon: connects all its controllers. Does no I/O
// itself, so that tests and benchmarks can run many nodes in one process.
// Single-threaded: every call comes from the control thread.
class Node : public PeerHandler {
 public:
  Node(const Settings& settings,
       uint64_t incarnation,
       const NodeDependencies& environment,
       std::unique_ptr<Scheduler> scheduler);
  ~Node() override;

  // Runs the controllers that are due; returns the time until the next call.
  absl::Duration Tick();

  void HandleCaller(CallerRequest request, CallerResponder respond);
  // A key that only this incarnation can accept; empty while draining.
  std::string MintKey();

  void OnPeerMessage(const MemberRecord& sender,
                     const PeerMessage& message) override;
  void OnPeerDisconnected(const std::string& peer_address) override;
  void OnSenderDisconnected(const MemberRecord& sender) override;

  // Starts a graceful shutdown, which `Tick` carries on.
  void BeginDrain();
  bool drained() const;
  bool ready() const;

  DocumentController& documents();
  const MemberRecord& self() const;
  // State of the daemon, its peers, its lease and the upstreams as JSON.
  std::string FleetJson() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_NODE_H_
