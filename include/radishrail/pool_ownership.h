#ifndef RADISHRAIL_POOL_OWNERSHIP_H_
#define RADISHRAIL_POOL_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/peer_message.h"
#include "radishrail/random.h"
#include "radishrail/store.h"

namespace radishrail {

struct PoolOwnershipSettings {
  std::string vm;
  std::string failure_domain;
  std::string address;  // where peers reach this daemon
  // An owner that has sent nothing for this long counts as unresponsive.
  absl::Duration owner_timeout = absl::Milliseconds(800);
  // Additional delay before daemons of other failure domains claim the pool.
  absl::Duration foreign_claim_delay = absl::Seconds(3);
};

// Decides which daemon dispatches to the upstreams of a failure domain (a
// pool). An owner is recorded in the row "pools/<failure domain>"; its fencing
// token rises with each change.
//
// Safety does not depend on this class: a runner obeys only the highest fencing
// token that it has seen. Two daemons may therefore consider themselves owner
// of a pool for a short time, and an owner needs no lease in the store: it
// continues while the store is unreachable, until it learns of a higher fencing
// token. Single-threaded.
class PoolOwnership {
 public:
  using ChangeCallback = std::function<void(const std::string& pool)>;

  PoolOwnership(const PoolOwnershipSettings& settings,
                const Clock& clock,
                Random& random,
                Store& store,
                ChangeCallback on_change);

  // Adds pools that have upstreams; pools are never removed.
  void SetPools(const std::vector<std::string>& pools);
  // Processes a claim that its owner sent at `sent`; it shows that the owner
  // was alive then.
  void OnClaim(const PoolClaim& claim, absl::Time sent);
  // The connection to a peer broke. Pools that it owns may be claimed unless it
  // sends a new claim shortly.
  void OnPeerDisconnected(const std::string& address);
  // Gives up an owned pool: one of its runners obeys a higher fencing token.
  void OnFenced(const std::string& pool);
  // Whether an owned pool accepts new jobs: not before its owner is prepared,
  // and not when it is about to be released.
  void SetAccepting(const std::string& pool, bool accepting);
  // Gives up an owned pool; another daemon may claim it at once. Returns the
  // claim to send to the peers.
  PoolClaim Release(const std::string& pool);
  // Additional delay of this daemon's claims.
  void SetClaimDelay(absl::Duration delay) { claim_delay_ = delay; }
  // Claims no further pools. Owned pools stay owned.
  void StopClaiming() { claiming_stopped_ = true; }
  // Claims pools without a live owner; returns the time of the next call.
  absl::Time Tick();

  // The fencing token of an owned pool; 0 if this daemon does not own it.
  uint64_t OwnedFence(const std::string& pool) const;
  // The claim of the newest known owner; nullptr if none is known or the owner
  // is unresponsive.
  const PoolClaim* Owner(const std::string& pool) const;
  // The vm from which an owned pool was taken over without its release; empty
  // if there is none.
  std::string TakenFrom(const std::string& pool) const;
  std::vector<std::string> Pools() const;

 private:
  struct Pool {
    PoolClaim claim;
    // When the owner was last known to be alive.
    absl::Time last_contact = absl::InfinitePast();
    absl::Time next_try = absl::InfinitePast();
    absl::Time added_at;
    std::string taken_from;  // vm of the owner before this daemon's claim
    bool claim_in_progress = false;  // the pool's row is being read or written
  };

  bool IsUnresponsive(const Pool& pool) const;
  bool StoreRecentlyUnreachable(const std::string& name) const;
  absl::Time ClaimDue(const std::string& name, const Pool& pool) const;
  void TryClaim(const std::string& name);
  void OnPoolRow(const std::string& name, const Row& row);
  void WriteClaim(const std::string& name, const Row& row, uint64_t fence);
  void ApplyClaim(const std::string& name,
                  const PoolClaim& claim,
                  absl::Time last_contact);
  void ScheduleRetry(Pool& pool);

  const PoolOwnershipSettings settings_;
  const Clock& clock_;
  Random& random_;
  Store& store_;
  const ChangeCallback on_change_;
  std::map<std::string, Pool> pools_;
  bool claiming_stopped_ = false;
  absl::Duration claim_delay_;
  // Start of the current period in which the store answers; InfiniteFuture
  // while it does not, InfinitePast before the first failure.
  absl::Time store_reachable_since_ = absl::InfinitePast();
};

}  // namespace radishrail

#endif  // RADISHRAIL_POOL_OWNERSHIP_H_
