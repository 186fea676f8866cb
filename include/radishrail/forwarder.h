#ifndef RADISHRAIL_FORWARDER_H_
#define RADISHRAIL_FORWARDER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/filter.h"
#include "radishrail/membership.h"
#include "radishrail/metrics.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"

namespace radishrail {

// Forwards callers' requests to the owners of their keys and matches the
// replies. A request may be sent again, since the receiver deduplicates by key.
// Single-threaded.
class Forwarder {
 public:
  Forwarder(const Clock& clock,
            PeerTransport& transport,
            const Membership& membership,
            Metrics& metrics);

  // Responds exactly once: with the target's response or, when the target
  // cannot be reached, is proven gone or `timeout` has passed, with an answer
  // that marks the tasks unknown.
  void Forward(const MemberRecord& target,
               CallerRequest request,
               absl::Duration timeout,
               CallerResponder respond);
  void OnReply(const ForwardReply& reply);
  void OnPeerDisconnected(const std::string& peer_address);
  void Tick();
  size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    MemberRecord target;
    CallerRequest request;
    CallerResponder respond;
    absl::Time deadline;
    absl::Time send_at;
  };

  bool SendTo(uint64_t id, const Pending& pending);
  void FailUnknown(Pending pending, ErrorCode code, std::string detail);

  const Clock& clock_;
  PeerTransport& transport_;
  const Membership& membership_;
  Counter& forwarded_;
  Counter& resent_;
  Counter& unknown_;
  // Starts at the incarnation, which is a time in microseconds, so that the
  // numbers of two incarnations differ and a late reply finds no request.
  uint64_t next_request_;
  std::unordered_map<uint64_t, Pending> pending_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_FORWARDER_H_
