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

inline constexpr absl::Duration kSlotLoanDuration = absl::Seconds(2);
// Bounds the control traffic of a daemon: 40 requests/s of about 50 bytes and
// as many grants of about 100 bytes stay below 8 KB/s.
inline constexpr int kMaxSlotRequestsPerSecond = 40;

// Number of slots of an upstream that this daemon may use now.
struct SlotAllowance {
  std::string upstream;
  int slots = 0;
};

// Number of tasks of this daemon that occupy slots of an upstream.
struct SlotUse {
  std::string upstream;
  int running = 0;
};

// Shares the slots of upstreams between daemons. Each upstream has a home
// daemon in its failure domain, chosen by rendezvous hashing over the reachable
// members. The home daemon uses the slots itself and lends idle ones for
// `kSlotLoanDuration` to daemons with queued tasks. All state is soft: if two
// daemons consider themselves the home, the upstream refuses the excess tasks;
// no task is started twice. Single-threaded.
class SlotBroker {
 public:
  SlotBroker(const Clock& clock,
             Random& random,
             PeerTransport& transport,
             const Membership& membership);
  ~SlotBroker();

  // Adds or updates an upstream that accepts work; `slots` is its total number.
  void SetUpstream(const std::string& upstream,
                   const std::string& failure_domain,
                   int slots);
  void RemoveUpstream(const std::string& upstream);
  // Sets the current demand; call it before each `Tick`.
  void SetDemand(int queued_tasks, const std::vector<SlotUse>& use);
  // Recomputes homes; requests, renews and returns loans. Call it every 50 ms.
  void Tick();
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);

  // Returns the allowances that changed since the last call.
  std::vector<SlotAllowance> TakeChanges();

  // Requests and grants sent, and requests for slots that were granted none.
  uint64_t messages_sent() const;
  uint64_t empty_grants() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_SLOT_BROKER_H_
