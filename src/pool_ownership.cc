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
constexpr absl::Duration kDisconnectGrace = absl::Milliseconds(250);

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
    return handle.get().as<PoolClaim>();
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
      pool->second.known_since = clock_.Monotonic();
    }
  }
}

bool PoolOwnership::Silent(const Pool& pool) const {
  return pool.claim.owner != settings_.vm &&
         clock_.Monotonic() - pool.heard > settings_.silence;
}

void PoolOwnership::OnClaim(const PoolClaim& claim, absl::Time sent) {
  const auto it = pools_.find(claim.pool);
  if (it == pools_.end() || claim.owner == settings_.vm) {
    return;
  }
  if (claim.fence >= it->second.claim.fence) {
    Adopt(claim.pool, claim, sent);
  }
}

void PoolOwnership::OnPeerDisconnected(const std::string& address) {
  for (auto& [name, pool] : pools_) {
    if (pool.claim.address == address && pool.claim.owner != settings_.vm) {
      pool.heard = std::min(pool.heard, clock_.Monotonic() - settings_.silence +
                                            kDisconnectGrace);
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
  it->second.heard = clock_.Monotonic();
  on_change_(name);
}

void PoolOwnership::StopAccepting(const std::string& pool) {
  if (OwnedFence(pool) != 0) {
    pools_[pool].claim.accepting = false;
  }
}

PoolClaim PoolOwnership::Release(const std::string& name) {
  Pool& pool = pools_[name];
  Log(LogLevel::kInfo, "pool released",
      {{"pool", name}, {"fence", absl::StrCat(pool.claim.fence)}});
  pool.claim.owner.clear();
  pool.claim.address.clear();
  pool.claim.accepting = false;
  pool.heard = clock_.Monotonic();
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
                 Silent(it->second)
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
  const bool home = name == settings_.failure_domain;
  const absl::Time silent_at =
      std::max(pool.heard, pool.known_since) +
      (pool.heard == absl::InfinitePast() && home ? absl::ZeroDuration()
                                                  : settings_.silence);
  return std::max(pool.next_try, silent_at + (home ? absl::ZeroDuration()
                                                   : settings_.foreign_delay));
}

// A daemon that was disconnected itself received no claims from live owners.
// After the store is reachable again, it waits until live owners have had time
// to send one.
bool PoolOwnership::WasCutOff(const std::string& name) const {
  const bool home = name == settings_.failure_domain;
  return clock_.Monotonic() - store_since_ <
         (home ? settings_.silence
               : settings_.silence + settings_.foreign_delay);
}

absl::Time PoolOwnership::Tick() {
  absl::Time due = absl::InfiniteFuture();
  if (retired_) {
    return due;
  }
  const absl::Time now = clock_.Monotonic();
  for (auto& [name, pool] : pools_) {
    if (pool.pending || pool.claim.owner == settings_.vm) {
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
  pools_[name].pending = true;
  store_.Read(RowKey(name),
              [this, name](std::optional<Row> row, const Error& error) {
                Pool& pool = pools_[name];
                if (!row.has_value()) {
                  Log(LogLevel::kWarning, "reading the row of a pool failed",
                      {{"pool", name}, {"detail", error.ToString()}});
                  store_since_ = absl::InfiniteFuture();
                  Retry(pool);
                  return;
                }
                if (store_since_ == absl::InfiniteFuture()) {
                  store_since_ = clock_.Monotonic();
                }
                if (WasCutOff(name)) {
                  Retry(pool);
                  return;
                }
                OnRow(name, *row);
              });
}

void PoolOwnership::Retry(Pool& pool) {
  pool.pending = false;
  pool.next_try = clock_.Monotonic() + kRetry + random_.Unit() * kMaxJitter;
}

void PoolOwnership::OnRow(const std::string& name, const Row& row) {
  Pool& pool = pools_[name];
  uint64_t fence = pool.claim.fence;
  if (row.version != 0) {
    const auto claim = DecodeClaim(row.value);
    if (claim.has_value() && claim->fence > pool.claim.fence) {
      // Another daemon claimed the pool and gets time to send a claim. A row of
      // this vm was written by a former incarnation or by a write whose answer
      // was lost; it is replaced.
      if (claim->owner != settings_.vm) {
        pool.pending = false;
        Adopt(name, *claim, clock_.Monotonic());
        return;
      }
    }
    fence = claim.has_value() ? std::max(fence, claim->fence) : fence;
  }
  if (!Silent(pool) && !pool.claim.owner.empty() &&
      pool.claim.owner != settings_.vm) {
    pool.pending = false;
    return;
  }
  Write(name, row, fence + 1);
}

void PoolOwnership::Write(const std::string& name,
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
                    pool.pending = false;
                    if (outcome != TransactionOutcome::kCommitted || retired_ ||
                        pool.claim.fence >= claim.fence) {
                      // The next attempt reads the row again, which shows
                      // whether a write without an answer was committed.
                      Log(LogLevel::kInfo, "pool not claimed",
                          {{"pool", name},
                           {"fence", absl::StrCat(claim.fence)},
                           {"detail", error.ToString()}});
                      Retry(pool);
                      return;
                    }
                    Adopt(name, claim, clock_.Monotonic());
                  });
}

void PoolOwnership::Adopt(const std::string& name,
                          const PoolClaim& claim,
                          absl::Time heard) {
  Pool& pool = pools_[name];
  const bool changed =
      claim.fence != pool.claim.fence || claim.owner != pool.claim.owner;
  pool.claim = claim;
  // A released pool may be claimed at once.
  pool.heard = claim.owner.empty() ? heard - settings_.silence : heard;
  if (changed) {
    Log(LogLevel::kInfo, "pool owner changed",
        {{"pool", name},
         {"owner", claim.owner},
         {"fence", absl::StrCat(claim.fence)}});
    on_change_(name);
  }
}

}  // namespace radishrail
