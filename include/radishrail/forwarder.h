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

  // Calls `respond` exactly once: with the target's response, or with an answer
  // that marks the tasks as unknown if the target is unreachable, is known to
  // have restarted or left, or has not replied within `timeout`.
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
    absl::Time resend_at;
  };

  bool SendTo(uint64_t id, const Pending& pending);
  void FailUnknown(Pending pending, ErrorCode code, std::string detail);

  const Clock& clock_;
  PeerTransport& transport_;
  const Membership& membership_;
  Counter& forwarded_;
  Counter& resent_;
  Counter& unknown_;
  // Starts at the incarnation, a time in microseconds, so that incarnations use
  // different numbers and a late reply to a former one matches no request.
  uint64_t next_request_;
  std::unordered_map<uint64_t, Pending> pending_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_FORWARDER_H_
