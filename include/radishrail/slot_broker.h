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

namespace radishrail {

inline constexpr absl::Duration kSlotLoanLength = absl::Seconds(2);

// Slots of an upstream that this daemon may use now.
struct SlotAllowance {
  std::string upstream;
  int slots = 0;
};

// Demand and use of this daemon, as the scheduler knows it.
struct SlotUse {
  std::string upstream;
  int running = 0;
};

// Shares the slots of upstreams between daemons. Each upstream has a home
// daemon in its failure domain (rendezvous hash over the live members); the
// home lends slots for `kSlotLoanLength`. Soft state: two homes at once lead to
// refusals by the upstream, never to a second start. Single-threaded.
class SlotBroker {
 public:
  SlotBroker(const Clock& clock,
             PeerTransport& transport,
             const Membership& membership);
  ~SlotBroker();

  // All upstreams that accept work, with all their slots.
  void SetUpstream(const std::string& upstream,
                   const std::string& failure_domain,
                   int slots);
  void RemoveUpstream(const std::string& upstream);
  // Tells the present demand; call it before each `Tick`.
  void SetDemand(int queued_tasks, std::vector<SlotUse> use);
  // Recomputes homes, requests, renews and returns loans. Call it every 50 ms
  // while tasks are queued, at least every 500 ms otherwise.
  void Tick();
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);

  // Allowances that changed since the last call.
  std::vector<SlotAllowance> TakeChanges();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_SLOT_BROKER_H_
