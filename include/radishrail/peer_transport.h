#ifndef RADISHRAIL_PEER_TRANSPORT_H_
#define RADISHRAIL_PEER_TRANSPORT_H_

#include <string>

#include "radishrail/peer_message.h"

namespace radishrail {

// Sends typed messages to other daemons. Delivery is best effort: a message
// may be lost, and messages of one connection arrive in order.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Queues `message` for the daemon at `peer_address` ("ip:port"). Returns
  // false if nothing was queued because the peer cannot be connected or its
  // send queue is full; no byte of the message was sent then.
  virtual bool Send(const std::string& peer_address,
                    const PeerMessage& message) = 0;
};

// Receives messages and connection events on the control thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // `sender` is what the peer said in its `Hello`.
  virtual void OnPeerMessage(const MemberRecord& sender,
                             const PeerMessage& message) = 0;
  virtual void OnPeerDisconnected(const std::string& peer_address) = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_PEER_TRANSPORT_H_
