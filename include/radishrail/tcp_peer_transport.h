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
  // Limit of the send queue of each peer.
  size_t max_queue_bytes = 16 * 1024 * 1024;
  int max_inbound_connections = 1024;
  absl::Duration connect_timeout = absl::Seconds(2);
  // Time limit from the connection to a valid `Hello` of the peer.
  absl::Duration hello_timeout = absl::Seconds(5);
  // A connection is closed if nothing is received for this long after messages
  // were sent on it, since it may drop packets without a reset. TCP keep-alive
  // doesn't detect that if a middlebox acknowledges the packets.
  absl::Duration confirm_timeout = absl::Seconds(1);
  // Minimum time between two confirmations of received messages on a
  // connection.
  absl::Duration confirm_interval = absl::Milliseconds(300);
  // Delay after a failed connection attempt; doubles up to the maximum.
  absl::Duration min_backoff = absl::Milliseconds(50);
  absl::Duration max_backoff = absl::Seconds(2);
};

// Peer messages over TCP. Each daemon opens one connection to each peer it
// sends to; the peer sends its replies on a connection of its own. A frame is a
// 4-byte big-endian length and the encoded message; the first frame in each
// direction is a `Hello` with the cluster key. Messages are sent only after the
// peer's `Hello` was accepted. One thread does all I/O.
class TcpPeerTransport : public PeerTransport {
 public:
  // The handler is called on `executor`.
  TcpPeerTransport(TcpPeerSettings settings,
                   const Clock& clock,
                   Executor& executor,
                   Metrics& metrics);
  // Calls `Stop`.
  ~TcpPeerTransport() override;

  // Listens and starts the I/O thread. `self` is sent in each `Hello`. If its
  // peer address is invalid or has port 0, it is replaced by the listen address
  // with the bound port. `handler` must outlive all tasks on the executor.
  bool Start(MemberRecord self, PeerHandler& handler, Error* error);
  // Replaces the member record that later connections send in their `Hello`.
  void SetSelf(MemberRecord self);

  // Thread-safe. Returns false before `Start`, after `Stop`, during the delay
  // after a failed connection attempt, and if the message is too large or the
  // queue is full. Queued messages are lost if the connection breaks or cannot
  // be opened, and `OnPeerDisconnected` is called. `OnSenderDisconnected` is
  // called if the connection that the peer opened breaks, since replies may be
  // lost with it; so a peer that crashes is reported by both.
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
