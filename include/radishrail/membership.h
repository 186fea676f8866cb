#ifndef RADISHRAIL_MEMBERSHIP_H_
#define RADISHRAIL_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"
#include "radishrail/random.h"
#include "radishrail/store.h"

namespace radishrail {

inline constexpr absl::Duration kHeartbeatInterval = absl::Seconds(1);
inline constexpr absl::Duration kSuspectAfter = absl::Seconds(5);
inline constexpr size_t kHeartbeatFanOut = 8;
inline constexpr size_t kHeartbeatRecords = 4;

// Knows the other daemons from heartbeats, the platform's VM list and the seed
// addresses of the settings. Soft state; single-threaded.
class Membership {
 public:
  Membership(const Clock& clock,
             Random& random,
             PeerTransport& transport,
             MemberRecord self,
             std::vector<std::string> seeds);

  // Sends heartbeats when due; `document_revision` goes with them.
  void Tick(int64_t document_revision);
  void OnHeartbeat(const Heartbeat& heartbeat);
  // Any message from a peer shows that it is alive.
  void OnContact(const MemberRecord& sender);
  void OnLeave(std::string_view vm, uint64_t incarnation);
  // A successful read of the platform's VM list.
  void OnVmList(const std::vector<VmInfo>& vms);
  void SetState(MemberState state);

  const MemberRecord& self() const { return self_; }
  // Heard within `kSuspectAfter` and not gone.
  bool IsReachable(std::string_view vm) const;
  // True if this incarnation certainly accepts nothing any more: a newer one of
  // the same vm was seen, or it said that it leaves.
  bool IsProvenGone(std::string_view vm, uint64_t incarnation) const;
  // True if the platform's list once had the vm and no longer does.
  bool IsRemovedFromVmList(std::string_view vm) const;
  std::optional<MemberRecord> Find(std::string_view vm) const;
  // Reachable members other than this daemon, ordered by vm.
  std::vector<MemberRecord> Reachable() const;
  std::vector<MemberRecord> ReachableIn(std::string_view failure_domain) const;
  // All members known, also suspected ones, for `radishrail fleet`.
  std::vector<MemberRecord> Known() const;

 private:
  struct Member {
    MemberRecord record;
    absl::Time last_heard = absl::InfinitePast();
    bool listed = false;  // in the latest VM list
    bool was_listed = false;
  };

  std::vector<std::string> HeartbeatTargets();
  std::vector<MemberRecord> RecordsToPassOn();
  void Learn(const MemberRecord& record);

  const Clock& clock_;
  Random& random_;
  PeerTransport& transport_;
  MemberRecord self_;
  std::vector<std::string> seeds_;
  std::map<std::string, Member, std::less<>> members_;
  absl::Time next_heartbeat_ = absl::InfinitePast();
};

}  // namespace radishrail

#endif  // RADISHRAIL_MEMBERSHIP_H_
