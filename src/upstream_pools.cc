#include "upstream_pools.h"

#include <algorithm>

namespace radishrail::internal {

namespace {

// Statuses are sent ten times a second; replies of refusal between them carry
// the room as well. An entry daemon allows for this interval.
constexpr double kRoomInterval = 0.01;  // seconds

}  // namespace

UpstreamPools::UpstreamPools(SpillPolicy spill, double home_preference)
    : spill_(spill), home_preference_(home_preference) {}

void UpstreamPools::Set(const UpstreamCapacity& capacity, RackId rack) {
  if (capacity.upstream >= upstreams_.size()) {
    upstreams_.resize(capacity.upstream + 1);
  }
  Upstream& upstream = upstreams_[capacity.upstream];
  if (upstream.accepting) {
    total_slots_ -= upstream.slots;
    capacity_ -= upstream.slots * upstream.speed;
  }
  const uint32_t domain = FindDomain(capacity.failure_domain);
  const bool moved = !upstream.registered || upstream.domain != domain ||
                     upstream.upstream_class != capacity.upstream_class;
  if (moved) {
    // The leaves of the former class or failure domain stay in the trees
    // without a value.
    upstream.accepting = false;
    Update(capacity.upstream);
    upstream.pools.clear();
  }
  upstream.registered = true;
  SetRack(capacity.upstream, rack);
  upstream.accepting = capacity.accepting;
  upstream.home = capacity.same_failure_domain;
  upstream.domain = domain;
  upstream.slots = std::max(capacity.slots, 0);
  upstream.slots_if_idle = std::max(capacity.slots_if_idle, upstream.slots);
  upstream.speed = std::max(capacity.speed, 1e-3);
  upstream.upstream_class = capacity.upstream_class;
  if (upstream.accepting) {
    total_slots_ += upstream.slots;
    capacity_ += upstream.slots * upstream.speed;
    top_speed_ = std::max(top_speed_, upstream.speed);
  }
  largest_slots_ = std::max(largest_slots_, upstream.slots_if_idle);
  if (moved) {
    if (std::find(seen_classes_.begin(), seen_classes_.end(),
                  capacity.upstream_class) == seen_classes_.end()) {
      seen_classes_.push_back(capacity.upstream_class);
    }
    for (PoolId i = 0; i < pools_.size(); ++i) {
      AddToPool(i, capacity.upstream);
    }
  }
  Update(capacity.upstream);
}

void UpstreamPools::Remove(UpstreamId id) {
  if (id >= upstreams_.size() || !upstreams_[id].registered) {
    return;
  }
  Upstream& upstream = upstreams_[id];
  if (upstream.accepting) {
    total_slots_ -= upstream.slots;
    capacity_ -= upstream.slots * upstream.speed;
  }
  upstream.accepting = false;
  upstream.slots = 0;
  upstream.slots_if_idle = 0;
  Update(id);
}

void UpstreamPools::Occupy(UpstreamId id, int slots) {
  upstreams_[id].occupied += slots;
  if (slots < 0) {
    free_room_.OnReleased(-slots);
  }
  Update(id);
}

PoolId UpstreamPools::FindPool(const std::vector<std::string>& classes,
                               int slots) {
  free_room_.OnTask(slots);
  for (PoolId i = 0; i < pools_.size(); ++i) {
    if (pools_[i].slots == slots && pools_[i].classes == classes) {
      return i;
    }
  }
  const auto id = static_cast<PoolId>(pools_.size());
  pools_.emplace_back();
  pools_.back().classes = classes;
  pools_.back().slots = slots;
  for (UpstreamId i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i].registered) {
      AddToPool(id, i);
      Update(i);
    }
  }
  return id;
}

bool UpstreamPools::HasFree(PoolId pool) const {
  return pools_[pool].usable > 0;
}

std::optional<UpstreamId> UpstreamPools::Choose(
    PoolId pool,
    uint64_t used_domains,
    std::optional<UpstreamId> avoid) {
  std::optional<UpstreamId> best;
  double best_score = -1;
  auto& domains = pools_[pool].domains;
  for (uint32_t i = 0; i < domains.size(); ++i) {
    DomainTree& domain = domains[i];
    if (domain.usable == 0) {
      continue;
    }
    auto leaf = domain.tree.Best();
    if (leaf && avoid && domain.upstreams[*leaf] == *avoid) {
      leaf = domain.tree.BestExcept(*leaf);
    }
    if (!leaf) {
      continue;
    }
    const double score =
        Score(domain, i, domain.tree.Value(*leaf), used_domains);
    if (score > best_score) {
      best_score = score;
      best = domain.upstreams[*leaf];
    }
  }
  return best;
}

std::optional<UpstreamId> UpstreamPools::ChooseOnRack(
    PoolId pool,
    RackId rack,
    std::optional<UpstreamId> avoid) const {
  std::optional<UpstreamId> best;
  if (rack == kNoRack || rack >= racks_.size()) {
    return best;
  }
  for (const UpstreamId id : racks_[rack]) {
    for (const auto& it : upstreams_[id].pools) {
      if (it.pool == pool && id != avoid &&
          LeafValue(pool, id) != TournamentTree::kNone &&
          (!best || upstreams_[id].speed > upstreams_[*best].speed)) {
        best = id;
      }
    }
  }
  return best;
}

bool UpstreamPools::IsRackCapable(PoolId pool, RackId rack) const {
  if (rack == kNoRack || rack >= racks_.size()) {
    return false;
  }
  return std::any_of(
      racks_[rack].begin(), racks_[rack].end(), [&](UpstreamId id) {
        const auto& pools = upstreams_[id].pools;
        return std::any_of(pools.begin(), pools.end(), [pool](const auto& it) {
          return it.pool == pool && it.capable;
        });
      });
}

void UpstreamPools::SetRack(UpstreamId id, RackId rack) {
  Upstream& upstream = upstreams_[id];
  if (upstream.rack == rack) {
    return;
  }
  if (upstream.rack != kNoRack) {
    std::erase(racks_[upstream.rack], id);
  }
  upstream.rack = rack;
  if (rack != kNoRack) {
    if (rack >= racks_.size()) {
      racks_.resize(rack + 1);
    }
    racks_[rack].push_back(id);
  }
}

// A higher rank always wins: speeds and numbers of upstreams are far below
// `kRank`.
double UpstreamPools::Score(const DomainTree& domain,
                            uint32_t index,
                            double speed,
                            uint64_t used_domains) const {
  constexpr double kRank = 1e6;
  switch (spill_) {
    case SpillPolicy::kFastest:
      return domain.home ? speed * home_preference_ : speed;
    case SpillPolicy::kHomeFirst:
      return domain.home ? kRank + speed : speed;
    case SpillPolicy::kFewestDomains:
      if (domain.home) {
        return 3 * kRank + speed;
      }
      // Among failure domains that the job does not use yet, the one with the
      // most free upstreams scores highest, so that the rest of the job fits
      // there as well.
      return (used_domains >> (index % 64) & 1) != 0 ? 2 * kRank + speed
                                                     : domain.usable;
  }
  return speed;
}

bool UpstreamPools::HasOther(PoolId pool, UpstreamId avoid) const {
  int capable = pools_[pool].capable;
  if (avoid < upstreams_.size()) {
    for (const auto& it : upstreams_[avoid].pools) {
      capable -= it.pool == pool && it.capable ? 1 : 0;
    }
  }
  return capable > 0;
}

void UpstreamPools::Reserve(PoolId pool) {
  std::optional<UpstreamId> best;
  for (UpstreamId i = 0; i < upstreams_.size(); ++i) {
    const Upstream& it = upstreams_[i];
    const bool capable = std::any_of(
        it.pools.begin(), it.pools.end(), [pool](const Membership& membership) {
          return membership.pool == pool && membership.capable;
        });
    if (capable &&
        (!best || it.slots - it.occupied >
                      upstreams_[*best].slots - upstreams_[*best].occupied)) {
      best = i;
    }
  }
  if (best) {
    reserved_ = {pool, *best};
    Update(*best);
  }
}

void UpstreamPools::EndReservation() {
  if (reserved_) {
    const UpstreamId upstream = reserved_->upstream;
    reserved_.reset();
    Update(upstream);
  }
}

const std::vector<RoomForSize>& UpstreamPools::Room(double now_s) {
  if (seen_classes_.size() > 1) {
    room_.clear();
    return room_;
  }
  if (room_computed_s_ >= 0 && now_s - room_computed_s_ < kRoomInterval) {
    return room_;
  }
  room_computed_s_ = now_s;
  std::vector<FreeRoom::Upstream> usable;
  usable.reserve(upstreams_.size());
  for (const auto& it : upstreams_) {
    if (it.registered && it.accepting) {
      usable.push_back({it.slots, it.slots - it.occupied});
    }
  }
  room_ = free_room_.Compute(usable, now_s);
  return room_;
}

bool UpstreamPools::HasSeenClass(
    const std::vector<std::string>& classes) const {
  return std::any_of(
      seen_classes_.begin(), seen_classes_.end(),
      [&classes](const std::string& it) { return Matches(classes, it); });
}

bool UpstreamPools::Matches(const std::vector<std::string>& classes,
                            const std::string& upstream_class) {
  return classes.empty() || std::find(classes.begin(), classes.end(),
                                      upstream_class) != classes.end();
}

uint32_t UpstreamPools::FindDomain(const std::string& name) {
  const auto it = std::find(domains_.begin(), domains_.end(), name);
  if (it != domains_.end()) {
    return static_cast<uint32_t>(it - domains_.begin());
  }
  domains_.push_back(name);
  return static_cast<uint32_t>(domains_.size() - 1);
}

void UpstreamPools::AddToPool(PoolId id, UpstreamId upstream_id) {
  Pool& pool = pools_[id];
  Upstream& upstream = upstreams_[upstream_id];
  if (!Matches(pool.classes, upstream.upstream_class)) {
    return;
  }
  if (upstream.domain >= pool.domains.size()) {
    pool.domains.resize(upstream.domain + 1);
  }
  DomainTree& domain = pool.domains[upstream.domain];
  domain.home = upstream.home;
  const uint32_t leaf = domain.tree.Add();
  domain.upstreams.push_back(upstream_id);
  upstream.pools.push_back({id, leaf, false});
}

double UpstreamPools::LeafValue(PoolId pool, UpstreamId id) const {
  const Upstream& upstream = upstreams_[id];
  const int free = upstream.occupied == 0 ? upstream.slots_if_idle
                                          : upstream.slots - upstream.occupied;
  if (!upstream.accepting || free < pools_[pool].slots ||
      (reserved_ && reserved_->upstream == id && reserved_->pool != pool)) {
    return TournamentTree::kNone;
  }
  return upstream.speed;
}

void UpstreamPools::Update(UpstreamId id) {
  Upstream& upstream = upstreams_[id];
  for (auto& it : upstream.pools) {
    Pool& pool = pools_[it.pool];
    DomainTree& domain = pool.domains[upstream.domain];
    const double value = LeafValue(it.pool, id);
    const int change =
        (value != TournamentTree::kNone ? 1 : 0) -
        (domain.tree.Value(it.leaf) != TournamentTree::kNone ? 1 : 0);
    domain.tree.Set(it.leaf, value);
    domain.usable += change;
    pool.usable += change;
    const bool capable =
        upstream.accepting && upstream.slots_if_idle >= pool.slots;
    pool.capable += (capable ? 1 : 0) - (it.capable ? 1 : 0);
    it.capable = capable;
    const int slots = capable ? upstream.slots : 0;
    const double capacity = slots * upstream.speed;
    pool.capable_slots += slots - it.slots;
    pool.capacity += capacity - it.capacity;
    it.slots = slots;
    it.capacity = capacity;
  }
}

}  // namespace radishrail::internal
