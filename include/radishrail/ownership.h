#ifndef RADISHRAIL_OWNERSHIP_H_
#define RADISHRAIL_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/error.h"
#include "radishrail/job.h"
#include "radishrail/job_key.h"
#include "radishrail/membership.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"
#include "radishrail/store.h"

namespace radishrail {

struct OwnershipSettings {
  std::string failure_domain;
  std::string vm;
  uint64_t incarnation = 0;
  absl::Duration lease_length = absl::Seconds(10);
  absl::Duration renew_interval = absl::Seconds(3);
  absl::Duration takeover_margin = absl::Seconds(2);
  // Maximum difference between two daemons' wall clocks, and how far in the
  // future the time stamp of a key may lie.
  absl::Duration max_clock_skew = absl::Seconds(1);
  absl::Duration poll_interval = absl::Seconds(2);
  // How long the job table remembers a key after its acceptance.
  absl::Duration resubmission_window = kResubmissionWindow;
};

enum class OwnershipVerdict {
  kAccept,   // this daemon may accept a job under the key now
  kForward,  // another daemon owns the key
  // Not accepted now, and no daemon accepted the key before. Only the owner can
  // decide this.
  kNotRun,
  // Not accepted now, but an earlier submission may have been. Resubmitting
  // under the same key is safe.
  kUnknown,
};

struct OwnershipDecision {
  OwnershipVerdict verdict = OwnershipVerdict::kNotRun;
  MemberRecord target;  // kForward only
  Error error;          // kNotRun and kUnknown only
  absl::Duration retry_after = absl::ZeroDuration();
  // Monotonic time of the decision. The start-by time of an accepted job counts
  // from here, so that a pause between decision and acceptance shortens it.
  absl::Time decided_at;
};

// Decides which incarnation may accept a key: holds and renews this daemon's
// lease, grants and collects promises, takes over ranges of lapsed owners and
// hands ranges over. The rules and the safety argument are in section 3 of
// docs/design.md. Single-threaded.
class OwnershipController {
 public:
  OwnershipController(const OwnershipSettings& settings,
                      const Clock& clock,
                      Store& store,
                      PeerTransport& transport,
                      const Membership& membership);
  ~OwnershipController();

  // Renews the lease, polls the table, requests promises and takes over ranges
  // when due. Must be called at least every 250 ms.
  void Tick();
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);

  // Returns the remembered keys of the given ranges. Without a source, this
  // daemon does not hand over ranges for rebalancing.
  using KeySource = std::function<std::vector<RememberedKey>(
      const std::vector<uint32_t>& ranges)>;
  void SetKeySource(KeySource source);

  // Decides on a key that is not in this daemon's job table. The caller must
  // accept the job in the same turn of the control thread's event loop.
  OwnershipDecision Resolve(const JobKey& key) const;
  bool IsLeaseValid() const;
  // True if this daemon may accept keys of the range.
  bool OwnsRange(uint32_t range) const;
  std::vector<uint32_t> OwnedRanges() const;

  // Stops accepting range-bound keys, hands the ranges and `keys` over to a
  // successor and releases the lease. `Tick` drives the handover.
  void BeginHandover(std::vector<RememberedKey> keys);
  // True when the handover is complete, or when none is possible because there
  // is no successor or the lease is lost.
  bool handover_finished() const;
  // Returns the keys received from predecessors since the last call. No
  // range-bound key is accepted while received keys are pending here.
  std::vector<RememberedKey> TakeReceivedKeys();

 private:
  class Impl;
  // Referenced weakly by store callbacks, which may outlive this object.
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_OWNERSHIP_H_
