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
// A VM counts as removed when the platform's list lacked it for this long. The
// list lags and one stale read may lack a VM that runs.
inline constexpr absl::Duration kVmListConfirmation = absl::Seconds(30);

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
  // `kGone` is final and tells the reachable members that this incarnation
  // accepts nothing any more.
  void SetState(MemberState state);

  const MemberRecord& self() const { return self_; }
  // Not gone and heard within `kSuspectAfter`, directly or through others. The
  // time grows with the fleet for members of other failure domains (150 s with
  // 300 daemons), since 8 heartbeats a second bring news about them less often.
  bool IsReachable(std::string_view vm) const;
  // True if this incarnation certainly accepts nothing any more: a newer one of
  // the same vm was seen, or it said that it leaves. True also for this daemon
  // itself when its vm runs a newer incarnation.
  bool IsProvenGone(std::string_view vm, uint64_t incarnation) const;
  // True if the platform's list once had the vm, lacked it in all reads of the
  // last `kVmListConfirmation`, and nothing was heard from it since.
  bool IsRemovedFromVmList(std::string_view vm) const;
  std::optional<MemberRecord> Find(std::string_view vm) const;
  // Reachable members other than this daemon, ordered by vm.
  std::vector<MemberRecord> Reachable() const;
  std::vector<MemberRecord> ReachableIn(std::string_view failure_domain) const;
  // The reachable member of another failure domain that was heard last; the one
  // most likely to be alive.
  std::optional<MemberRecord> FreshestIn(std::string_view failure_domain) const;
  // All members known, also suspected ones, for `radishrail fleet`.
  std::vector<MemberRecord> Known() const;

 private:
  struct Member {
    MemberRecord record;
    absl::Time last_heard = absl::InfinitePast();    // directly or not
    absl::Time last_contact = absl::InfinitePast();  // directly
    // When a sequence of the member was current; dates later sequences.
    absl::Time base_time;
    uint64_t base_sequence = 0;
    bool listed = false;  // in the latest VM list
    bool was_listed = false;
    bool removal_confirmed = false;
    absl::Time unlisted_since = absl::InfiniteFuture();
    // How often the record is still to be passed on ahead of others.
    int urgent_sends = 0;
  };

  // Targets of this tick; the first `*remote` are in other failure domains.
  std::vector<std::string> HeartbeatTargets(size_t* remote);
  size_t RingTargets() const;
  void AddRingTargets(size_t limit, std::vector<std::string>* targets);
  void AddRemoteTargets(size_t limit, std::vector<std::string>* targets);
  void AddSilentTargets(size_t limit, std::vector<std::string>* targets);
  std::vector<MemberRecord> RecordsToPassOn(std::string_view target,
                                            bool target_is_remote);
  void Learn(const MemberRecord& record, bool direct);
  void Replace(const MemberRecord& record, Member* member);
  void MarkUrgent(Member* member);
  void MarkRecent(const MemberRecord& record);
  bool IsReachable(const Member& member) const;
  absl::Duration SuspectAfter(const Member& member) const;
  void RebuildIndex();
  void ForgetOldMembers();

  const Clock& clock_;
  Random& random_;
  PeerTransport& transport_;
  MemberRecord self_;
  std::vector<std::string> seeds_;
  std::map<std::string, Member, std::less<>> members_;
  // Names of members by failure domain, in order; rebuilt when one is added.
  std::map<std::string, std::vector<std::string>, std::less<>> index_;
  std::deque<std::string> urgent_;
  // Members with the latest news, which are the most likely to be news to
  // others; newest first, bounded.
  std::deque<std::string> recent_own_;
  std::deque<std::string> recent_remote_;
  // Positions of rotations, so that a tick costs the same in every fleet.
  size_t ring_cursor_ = 0;
  size_t remote_cursor_ = 0;
  size_t silent_cursor_ = 0;
  size_t seed_cursor_ = 0;
  uint64_t newest_own_incarnation_ = 0;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  absl::Time next_cleanup_ = absl::InfinitePast();
};

}  // namespace radishrail

#endif  // RADISHRAIL_MEMBERSHIP_H_
