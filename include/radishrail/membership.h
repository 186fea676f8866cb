#ifndef RADISHRAIL_MEMBERSHIP_H_
#define RADISHRAIL_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
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
inline constexpr size_t kMaxHeartbeatBytes = 256;
// A VM is considered removed once it has been missing from the platform's VM
// list for this long. The list lags, so a single stale read may omit a running
// VM.
inline constexpr absl::Duration kVmListConfirmation = absl::Seconds(30);

// Tracks the other daemons by heartbeats, the platform's VM list and the seed
// addresses from the settings. Soft state; single-threaded.
class Membership {
 public:
  Membership(const Clock& clock,
             Random& random,
             PeerTransport& transport,
             MemberRecord self,
             std::vector<std::string> seeds);

  // Sends heartbeats that carry `document_revision` when they are due.
  void Tick(int64_t document_revision);
  void OnHeartbeat(const Heartbeat& heartbeat);
  // Called for any message from a peer, which shows that the peer is alive.
  void OnContact(const MemberRecord& sender);
  void OnLeave(std::string_view vm, uint64_t incarnation);
  // Called after a successful read of the platform's VM list.
  void OnVmList(const std::vector<VmInfo>& vms);
  // `kGone` is final and notifies the reachable members that this incarnation
  // no longer accepts jobs.
  void SetState(MemberState state);

  const MemberRecord& self() const { return self_; }
  // True if the member is not gone and was seen within `kSuspectAfter`,
  // directly or in relayed records. For members of other failure domains the
  // limit grows with the fleet (150 s with 300 daemons), since 8 heartbeats per
  // second refresh their records less often.
  bool IsReachable(std::string_view vm) const;
  // True if this incarnation certainly no longer accepts jobs: a newer one of
  // the same vm was seen, or it announced its departure. Also true for this
  // daemon itself when its vm runs a newer incarnation.
  bool IsProvenGone(std::string_view vm, uint64_t incarnation) const;
  // True if the platform's list once contained the vm, every read of the last
  // `kVmListConfirmation` lacked it, and no message came from it since.
  bool IsRemovedFromVmList(std::string_view vm) const;
  std::optional<MemberRecord> Find(std::string_view vm) const;
  // Reachable members other than this daemon, ordered by vm.
  std::vector<MemberRecord> Reachable() const;
  std::vector<MemberRecord> ReachableIn(std::string_view failure_domain) const;
  // The reachable member of a failure domain that was seen most recently, as it
  // is the most likely to be alive.
  std::optional<MemberRecord> MostRecentlySeenIn(
      std::string_view failure_domain) const;
  // All members, including suspected and gone ones, for `radishrail fleet`.
  std::vector<MemberRecord> AllMembers() const;

 private:
  struct Member {
    MemberRecord record;
    absl::Time last_seen = absl::InfinitePast();     // directly or relayed
    absl::Time last_contact = absl::InfinitePast();  // directly
    // When `base_sequence` was current. The time of a later sequence is
    // estimated from it.
    absl::Time base_time;
    uint64_t base_sequence = 0;
    bool listed = false;  // in the latest VM list
    bool was_listed = false;
    bool removal_confirmed = false;
    absl::Time unlisted_since = absl::InfiniteFuture();
    // How many more times the record is relayed with priority.
    int urgent_sends = 0;
  };

  // Addresses for this tick; the first `*remote_count` are in other failure
  // domains.
  std::vector<std::string> HeartbeatTargets(size_t* remote_count);
  size_t RingTargets() const;
  void AddRingTargets(size_t limit, std::vector<std::string>* targets);
  void AddRemoteTargets(size_t limit, std::vector<std::string>* targets);
  void AddUnreachableTargets(size_t limit, std::vector<std::string>* targets);
  std::vector<MemberRecord> RecordsToRelay(std::string_view target,
                                           bool target_is_remote);
  void ApplyRecord(const MemberRecord& record, bool direct);
  void ReplaceRecord(const MemberRecord& record, Member* member);
  void MarkUrgent(Member* member);
  void MarkRecent(const MemberRecord& record);
  bool IsReachable(const Member& member) const;
  absl::Duration SuspectAfter(const Member& member) const;
  void RebuildDomainIndex();
  void RemoveExpiredMembers();

  const Clock& clock_;
  Random& random_;
  PeerTransport& transport_;
  MemberRecord self_;
  std::vector<std::string> seeds_;
  std::map<std::string, Member, std::less<>> members_;
  // Sorted vms by failure domain; rebuilt when members are added, removed or
  // change their failure domain.
  std::map<std::string, std::vector<std::string>, std::less<>> domain_index_;
  std::deque<std::string> urgent_;
  // Members whose records were updated most recently and are therefore the most
  // likely to be new to others; newest first, bounded.
  std::deque<std::string> recent_local_;
  std::deque<std::string> recent_remote_;
  // Round-robin positions; they keep the cost of a tick independent of the
  // fleet size.
  size_t ring_cursor_ = 0;
  size_t remote_cursor_ = 0;
  size_t unreachable_cursor_ = 0;
  size_t seed_cursor_ = 0;
  uint64_t newest_own_incarnation_ = 0;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  absl::Time next_cleanup_ = absl::InfinitePast();
};

}  // namespace radishrail

#endif  // RADISHRAIL_MEMBERSHIP_H_
