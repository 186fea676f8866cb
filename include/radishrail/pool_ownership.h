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
  std::string address;  // for peers
  // An owner that was not heard from for this long is taken for gone.
  absl::Duration silence = absl::Milliseconds(800);
  // Further wait of daemons of other failure domains.
  absl::Duration foreign_delay = absl::Seconds(3);
};

// Decides which daemon dispatches to the upstreams of a failure domain (a
// pool). An owner is recorded in the row "pools/<failure domain>"; its fencing
// token rises with each change.
//
// Safety does not depend on this class: a runner obeys only the highest fence
// that it has seen. Two daemons may therefore believe to own a pool for a short
// time, and an owner needs no lease in the store: it goes on while the store is
// away, until it hears of a higher fence. Single-threaded.
class PoolOwnership {
 public:
  using ChangeCallback = std::function<void(const std::string& pool)>;

  PoolOwnership(const PoolOwnershipSettings& settings,
                const Clock& clock,
                Random& random,
                Store& store,
                ChangeCallback on_change);

  // The pools that have upstreams.
  void SetPools(const std::vector<std::string>& pools);
  // A claim that a peer sent at `sent`; shows that its owner lived then.
  void OnClaim(const PoolClaim& claim, absl::Time sent);
  // The connection to an owner broke; it is asked for a sign of life soon.
  void OnPeerDisconnected(const std::string& address);
  // A runner of the pool obeys a higher fence.
  void OnFenced(const std::string& pool);
  // An owned pool takes no new jobs any more; it is about to be released.
  void StopAccepting(const std::string& pool);
  // Gives up an owned pool; another daemon may claim it at once. Returns the
  // claim to tell the peers.
  PoolClaim Release(const std::string& pool);
  // Claims no pool any more.
  void Retire() { retired_ = true; }
  // Claims pools without a living owner; returns the time of the next call.
  absl::Time Tick();

  // The fencing token of an owned pool; 0 if this daemon does not own it.
  uint64_t OwnedFence(const std::string& pool) const;
  // The newest known owner; nullptr if none is known or it is silent.
  const PoolClaim* Owner(const std::string& pool) const;
  std::vector<std::string> Pools() const;

 private:
  struct Pool {
    PoolClaim claim;
    absl::Time heard = absl::InfinitePast();  // last sign of life of the owner
    absl::Time next_try = absl::InfinitePast();
    absl::Time known_since;
    bool pending = false;
  };

  bool Silent(const Pool& pool) const;
  bool WasCutOff(const std::string& name) const;
  absl::Time ClaimDue(const std::string& name, const Pool& pool) const;
  void TryClaim(const std::string& name);
  void OnRow(const std::string& name, const Row& row);
  void Write(const std::string& name, const Row& row, uint64_t fence);
  void Adopt(const std::string& name, const PoolClaim& claim, absl::Time heard);
  void Retry(Pool& pool);

  const PoolOwnershipSettings settings_;
  const Clock& clock_;
  Random& random_;
  Store& store_;
  const ChangeCallback on_change_;
  std::map<std::string, Pool> pools_;
  bool retired_ = false;
  // Since when the store has answered; infinite while it does not.
  absl::Time store_since_ = absl::InfinitePast();
};

}  // namespace radishrail

#endif  // RADISHRAIL_POOL_OWNERSHIP_H_
