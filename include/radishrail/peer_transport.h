#ifndef RADISHRAIL_PEER_TRANSPORT_H_
#define RADISHRAIL_PEER_TRANSPORT_H_

#include <string>

#include "radishrail/peer_message.h"

namespace radishrail {

// Sends typed messages to other daemons. Delivery is best effort: messages may
// be lost; those sent on one connection arrive in order.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Queues `message` for the daemon at `peer_address` ("ip:port"). Returns
  // false if the message was not queued, for example because the peer is
  // unreachable or its send queue is full; no byte of it is sent then.
  virtual bool Send(const std::string& peer_address,
                    const PeerMessage& message) = 0;
};

// Receives messages and connection events on the control thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // `sender` is the member record from the peer's `Hello`.
  virtual void OnPeerMessage(const MemberRecord& sender,
                             const PeerMessage& message) = 0;
  // The connection to the peer broke: messages sent on it may be lost.
  virtual void OnPeerDisconnected(const std::string& peer_address) = 0;
  // A connection from the peer ended. The peer may have restarted since, and
  // have another connection.
  virtual void OnSenderDisconnected(const MemberRecord& sender) = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_PEER_TRANSPORT_H_
