#ifndef RADISHRAIL_SLOT_BROKER_H_
#define RADISHRAIL_SLOT_BROKER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/membership.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"
#include "radishrail/random.h"

namespace radishrail {

inline constexpr absl::Duration kSlotLoanLength = absl::Seconds(2);
// Bounds the control traffic of a daemon: 40 requests/s of about 50 bytes and
// as many grants of about 100 bytes stay below 8 KB/s.
inline constexpr int kMaxSlotRequestsPerSecond = 40;

// Slots of an upstream that this daemon may use now.
struct SlotAllowance {
  std::string upstream;
  int slots = 0;
};

// Tasks of this daemon that occupy slots of an upstream.
struct SlotUse {
  std::string upstream;
  int running = 0;
};

// Shares the slots of upstreams between daemons. Each upstream has a home
// daemon in its failure domain (rendezvous hash over the live members). The
// home uses its slots itself and lends idle ones, for `kSlotLoanLength`, to
// daemons that have queued tasks. Soft state: two homes at once lead to
// refusals by the upstream, never to a second start. Single-threaded.
class SlotBroker {
 public:
  SlotBroker(const Clock& clock,
             Random& random,
             PeerTransport& transport,
             const Membership& membership);
  ~SlotBroker();

  // All upstreams that accept work, with all their slots.
  void SetUpstream(const std::string& upstream,
                   const std::string& failure_domain,
                   int slots);
  void RemoveUpstream(const std::string& upstream);
  // The present demand; to be given before each `Tick`.
  void SetDemand(int queued_tasks, const std::vector<SlotUse>& use);
  // Recomputes homes, requests, renews and returns loans. Call it every 50 ms.
  void Tick();
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);

  // Allowances that changed since the last call.
  std::vector<SlotAllowance> TakeChanges();

  // Requests and grants sent, and requests that were granted no slot.
  uint64_t messages_sent() const;
  uint64_t empty_grants() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_SLOT_BROKER_H_
