#include "radishrail/pool_ownership.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "absl/strings/str_cat.h"
#include "radishrail/log.h"

namespace radishrail {

namespace {

// Spreads the attempts of daemons that detect the loss of the same owner.
constexpr absl::Duration kMaxJitter = absl::Milliseconds(120);
constexpr absl::Duration kRetry = absl::Milliseconds(300);
// Time for an owner whose connection broke to reconnect before it counts as
// unresponsive.
constexpr absl::Duration kReconnectTimeout = absl::Milliseconds(250);

// Each claim adds 1, so a higher one was not written by a daemon: adding to it
// would overflow, or exceed what runners read exactly.
constexpr uint64_t kMaxFence = uint64_t{1} << 53;

std::string RowKey(const std::string& pool) {
  return absl::StrCat("pools/", pool);
}

std::string EncodeClaim(const PoolClaim& claim) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, claim);
  return {buf.data(), buf.size()};
}

std::optional<PoolClaim> DecodeClaim(const std::string& value) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(value.data(), value.size());
    auto claim = handle.get().as<PoolClaim>();
    if (claim.fence <= kMaxFence) {
      return claim;
    }
    Log(LogLevel::kWarning, "the row of a pool has an invalid fence",
        {{"fence", absl::StrCat(claim.fence)}});
    return std::nullopt;
  } catch (const std::exception& ec) {
    Log(LogLevel::kWarning, "the row of a pool cannot be decoded",
        {{"detail", ec.what()}});
    return std::nullopt;
  }
}

}  // namespace

PoolOwnership::PoolOwnership(const PoolOwnershipSettings& settings,
                             const Clock& clock,
                             Random& random,
                             Store& store,
                             ChangeCallback on_change)
    : settings_(settings),
      clock_(clock),
      random_(random),
      store_(store),
      on_change_(std::move(on_change)) {}

void PoolOwnership::SetPools(const std::vector<std::string>& pools) {
  for (const auto& it : pools) {
    const auto [pool, added] = pools_.try_emplace(it);
    if (added) {
      pool->second.added_at = clock_.Monotonic();
    }
  }
}

bool PoolOwnership::IsUnresponsive(const Pool& pool) const {
  return pool.claim.owner != settings_.vm &&
         clock_.Monotonic() - pool.last_contact > settings_.owner_timeout;
}

void PoolOwnership::OnClaim(const PoolClaim& claim, absl::Time sent) {
  const auto it = pools_.find(claim.pool);
  if (it == pools_.end() || claim.owner == settings_.vm ||
      claim.fence > kMaxFence) {
    return;
  }
  if (claim.fence >= it->second.claim.fence) {
    ApplyClaim(claim.pool, claim, sent);
  }
}

void PoolOwnership::OnPeerDisconnected(const std::string& address) {
  for (auto& [name, pool] : pools_) {
    if (pool.claim.address == address && pool.claim.owner != settings_.vm) {
      pool.last_contact = std::min(
          pool.last_contact,
          clock_.Monotonic() - settings_.owner_timeout + kReconnectTimeout);
    }
  }
}

void PoolOwnership::OnFenced(const std::string& name) {
  const auto it = pools_.find(name);
  if (it == pools_.end() || OwnedFence(name) == 0) {
    return;
  }
  Log(LogLevel::kWarning, "pool lost: a runner obeys a higher fence",
      {{"pool", name}, {"fence", absl::StrCat(it->second.claim.fence)}});
  it->second.claim.owner.clear();
  it->second.claim.address.clear();
  it->second.last_contact = clock_.Monotonic();
  on_change_(name);
}

void PoolOwnership::SetAccepting(const std::string& pool, bool accepting) {
  if (OwnedFence(pool) != 0) {
    pools_[pool].claim.accepting = accepting;
  }
}

std::string PoolOwnership::TakenFrom(const std::string& pool) const {
  const auto it = pools_.find(pool);
  return it != pools_.end() && OwnedFence(pool) != 0 ? it->second.taken_from
                                                     : "";
}

PoolClaim PoolOwnership::Release(const std::string& name) {
  Pool& pool = pools_[name];
  Log(LogLevel::kInfo, "pool released",
      {{"pool", name}, {"fence", absl::StrCat(pool.claim.fence)}});
  pool.claim.owner.clear();
  pool.claim.address.clear();
  pool.claim.accepting = false;
  pool.last_contact = clock_.Monotonic();
  PoolClaim claim = pool.claim;
  on_change_(name);
  return claim;
}

uint64_t PoolOwnership::OwnedFence(const std::string& pool) const {
  const auto it = pools_.find(pool);
  return it != pools_.end() && it->second.claim.owner == settings_.vm
             ? it->second.claim.fence
             : 0;
}

const PoolClaim* PoolOwnership::Owner(const std::string& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() || it->second.claim.owner.empty() ||
                 IsUnresponsive(it->second)
             ? nullptr
             : &it->second.claim;
}

std::vector<std::string> PoolOwnership::Pools() const {
  std::vector<std::string> names;
  names.reserve(pools_.size());
  for (const auto& [name, pool] : pools_) {
    names.push_back(name);
  }
  return names;
}

absl::Time PoolOwnership::ClaimDue(const std::string& name,
                                   const Pool& pool) const {
  const bool own_domain = name == settings_.failure_domain;
  const absl::Time timeout_at =
      std::max(pool.last_contact, pool.added_at) +
      (pool.last_contact == absl::InfinitePast() && own_domain
           ? absl::ZeroDuration()
           : settings_.owner_timeout);
  return std::max(
      pool.next_try,
      timeout_at + claim_delay_ +
          (own_domain ? absl::ZeroDuration() : settings_.foreign_claim_delay));
}

// A daemon that was disconnected itself received no claims from live owners.
// After the store is reachable again, it waits until live owners have had time
// to send one.
bool PoolOwnership::StoreRecentlyUnreachable(const std::string& name) const {
  const bool own_domain = name == settings_.failure_domain;
  return clock_.Monotonic() - store_reachable_since_ <
         (own_domain ? settings_.owner_timeout
                     : settings_.owner_timeout + settings_.foreign_claim_delay);
}

absl::Time PoolOwnership::Tick() {
  absl::Time due = absl::InfiniteFuture();
  if (claiming_stopped_) {
    return due;
  }
  const absl::Time now = clock_.Monotonic();
  for (auto& [name, pool] : pools_) {
    if (pool.claim_in_progress || pool.claim.owner == settings_.vm) {
      continue;
    }
    const absl::Time claim_due = ClaimDue(name, pool);
    if (claim_due <= now) {
      TryClaim(name);
    } else {
      due = std::min(due, claim_due);
    }
  }
  return due;
}

void PoolOwnership::TryClaim(const std::string& name) {
  pools_[name].claim_in_progress = true;
  store_.Read(RowKey(name),
              [this, name](std::optional<Row> row, const Error& error) {
                Pool& pool = pools_[name];
                if (!row.has_value()) {
                  Log(LogLevel::kWarning, "reading the row of a pool failed",
                      {{"pool", name}, {"detail", error.ToString()}});
                  store_reachable_since_ = absl::InfiniteFuture();
                  ScheduleRetry(pool);
                  return;
                }
                if (store_reachable_since_ == absl::InfiniteFuture()) {
                  store_reachable_since_ = clock_.Monotonic();
                }
                if (StoreRecentlyUnreachable(name)) {
                  ScheduleRetry(pool);
                  return;
                }
                OnPoolRow(name, *row);
              });
}

void PoolOwnership::ScheduleRetry(Pool& pool) {
  pool.claim_in_progress = false;
  pool.next_try = clock_.Monotonic() + kRetry + random_.Unit() * kMaxJitter;
}

void PoolOwnership::OnPoolRow(const std::string& name, const Row& row) {
  Pool& pool = pools_[name];
  uint64_t fence = pool.claim.fence;
  if (row.version != 0) {
    const auto claim = DecodeClaim(row.value);
    if (claim.has_value() && claim->fence > pool.claim.fence) {
      // Another daemon claimed the pool and gets time to send a claim. A row of
      // this vm was written by a former incarnation or by a write whose answer
      // was lost; it is replaced.
      if (claim->owner != settings_.vm) {
        pool.claim_in_progress = false;
        ApplyClaim(name, *claim, clock_.Monotonic());
        return;
      }
    }
    // The store's version rises with each transaction, so no fence of a claim
    // that another writer has replaced exceeds it.
    fence =
        std::max(fence, claim.has_value() ? claim->fence
                                          : static_cast<uint64_t>(row.version));
  }
  if (!IsUnresponsive(pool) && !pool.claim.owner.empty() &&
      pool.claim.owner != settings_.vm) {
    pool.claim_in_progress = false;
    return;
  }
  WriteClaim(name, row, fence + 1);
}

void PoolOwnership::WriteClaim(const std::string& name,
                               const Row& row,
                               uint64_t fence) {
  PoolClaim claim;
  claim.pool = name;
  claim.fence = fence;
  claim.owner = settings_.vm;
  claim.address = settings_.address;
  claim.accepting = true;
  Transaction transaction;
  transaction.checks.push_back({RowKey(name), row.version});
  transaction.writes.push_back({RowKey(name), EncodeClaim(claim)});
  store_.Transact(std::move(transaction),
                  [this, name, claim](TransactionOutcome outcome,
                                      const std::string&, const Error& error) {
                    Pool& pool = pools_[name];
                    pool.claim_in_progress = false;
                    if (outcome != TransactionOutcome::kCommitted ||
                        claiming_stopped_ || pool.claim.fence >= claim.fence) {
                      // The next attempt reads the row again, which shows
                      // whether a write without an answer was committed.
                      Log(LogLevel::kInfo, "pool not claimed",
                          {{"pool", name},
                           {"fence", absl::StrCat(claim.fence)},
                           {"detail", error.ToString()}});
                      ScheduleRetry(pool);
                      return;
                    }
                    ApplyClaim(name, claim, clock_.Monotonic());
                  });
}

void PoolOwnership::ApplyClaim(const std::string& name,
                               const PoolClaim& claim,
                               absl::Time last_contact) {
  Pool& pool = pools_[name];
  const bool changed =
      claim.fence != pool.claim.fence || claim.owner != pool.claim.owner;
  if (changed) {
    pool.taken_from = pool.claim.owner;
  }
  pool.claim = claim;
  // A released pool may be claimed at once.
  pool.last_contact = claim.owner.empty()
                          ? last_contact - settings_.owner_timeout
                          : last_contact;
  if (changed) {
    Log(LogLevel::kInfo, "pool owner changed",
        {{"pool", name},
         {"owner", claim.owner},
         {"fence", absl::StrCat(claim.fence)}});
    on_change_(name);
  }
}

}  // namespace radishrail
