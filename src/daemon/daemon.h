#ifndef RADISHRAIL_SRC_DAEMON_DAEMON_H_
#define RADISHRAIL_SRC_DAEMON_DAEMON_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "caller_api.h"
#include "operator_api.h"
#include "radishrail/clock.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_client.h"
#include "radishrail/http_server.h"
#include "radishrail/http_upstream_client.h"
#include "radishrail/metrics.h"
#include "radishrail/node.h"
#include "radishrail/platform_store.h"
#include "radishrail/random.h"
#include "radishrail/settings.h"
#include "radishrail/tcp_peer_transport.h"
#include "radishrail/timeline.h"

namespace radishrail {

// A node with its sockets and threads.
class Daemon {
 public:
  // Time to send the last responses after the node is drained.
  static constexpr absl::Duration kStopTimeout = absl::Seconds(5);

  explicit Daemon(const Settings& settings);
  ~Daemon();

  bool Start(Error* error);
  // Starts a graceful shutdown. Thread-safe.
  void BeginDrain();
  // Blocks until the node is drained or `timeout` has passed.
  bool WaitUntilDrained(absl::Duration timeout);
  // Stops all threads; requests in progress have `timeout` to finish.
  void Stop(absl::Duration timeout);

 private:
  void Tick();

  const Settings settings_;
  SystemClock clock_;
  SystemRandom random_;
  Metrics metrics_;
  Timeline timeline_;
  ControlLoop control_;
  HttpClient platform_client_;
  HttpStore store_;
  HttpUpstreamClient upstream_client_;
  TcpPeerTransport transport_;
  Node node_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  std::atomic<bool> drained_{false};
  std::atomic<bool> stopping_{false};
};

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_DAEMON_DAEMON_H_
