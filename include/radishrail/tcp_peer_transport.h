#ifndef RADISHRAIL_TCP_PEER_TRANSPORT_H_
#define RADISHRAIL_TCP_PEER_TRANSPORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/error.h"
#include "radishrail/executor.h"
#include "radishrail/metrics.h"
#include "radishrail/peer_transport.h"

namespace radishrail {

struct TcpPeerSettings {
  std::string listen_address = "127.0.0.1:0";  // port 0: any free port
  std::string cluster_key;
  // Bytes that wait to be sent to one peer.
  size_t max_queue_bytes = 16 * 1024 * 1024;
  int max_inbound_connections = 1024;
  absl::Duration connect_timeout = absl::Seconds(2);
  // From the connection until the peer's valid Hello.
  absl::Duration hello_timeout = absl::Seconds(5);
  // A connection on which messages were sent and nothing came back for this
  // long is replaced: it may have gone silent without a reset. The kernel's
  // keep-alive doesn't show that where something on the way acknowledges.
  absl::Duration silence_timeout = absl::Seconds(1);
  // Time between two confirmations of what was received on a connection.
  absl::Duration confirm_interval = absl::Milliseconds(300);
  // Delay after a failed connection attempt; doubles up to the maximum.
  absl::Duration min_backoff = absl::Milliseconds(50);
  absl::Duration max_backoff = absl::Seconds(2);
};

// Peer messages over TCP. Each daemon opens one connection to each peer it
// sends to; replies travel on the peer's own connection. A frame is a 4-byte
// big-endian length and the encoded message; the first one in both directions
// is a `Hello` with the cluster key. Messages are sent only after the peer's
// Hello was accepted. One thread does all I/O.
class TcpPeerTransport : public PeerTransport {
 public:
  // The handler is called on `executor`.
  TcpPeerTransport(TcpPeerSettings settings,
                   const Clock& clock,
                   Executor& executor,
                   Metrics& metrics);
  // Stops.
  ~TcpPeerTransport() override;

  // Listens and starts the thread. `self` goes into each Hello; if the settings
  // leave the port open, the bound one is put into its address. `handler` must
  // outlive all tasks on the executor.
  bool Start(MemberRecord self, PeerHandler& handler, Error* error);
  // Replaces what later connections say in their Hello.
  void SetSelf(MemberRecord self);

  // Thread-safe. Returns false before `Start`, while a failed connection waits
  // for its next attempt, and when the queue is full. Messages that wait when a
  // connection breaks or cannot be opened are lost, and `OnPeerDisconnected`
  // follows. It also follows when the peer's own connection breaks, since
  // replies may be lost with it; a peer that dies is reported twice.
  bool Send(const std::string& peer_address,
            const PeerMessage& message) override;

  uint16_t port() const;
  // Closes all connections and joins the thread; queued messages are lost.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TCP_PEER_TRANSPORT_H_
