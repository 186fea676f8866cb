#include "radishrail/evacuation_table.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/strings/match.h"

namespace radishrail {

namespace {

// Bounds memory and messages: rows and peers' messages name the domains.
constexpr size_t kMaxDomains = 64;
constexpr size_t kMaxDomainBytes = 200;
// Upstreams of a domain may be cold after an evacuation, so they are not given
// the whole load of the domain at once.
constexpr absl::Duration kReturnTime = absl::Seconds(3);

}  // namespace

EvacuationTable::EvacuationTable(std::string prefix, const Clock& clock)
    : prefix_(std::move(prefix)), clock_(clock) {}

std::vector<EvacuationTable::Change> EvacuationTable::OnRows(
    const std::vector<Row>& rows,
    bool is_snapshot,
    int64_t version) {
  std::vector<Change> changes;
  if (is_snapshot && version < known_version_) {
    return changes;
  }
  // The last change of a row counts. The version of a deletion is not reported;
  // it is at most `version`.
  std::map<std::string, int64_t> latest;
  for (const auto& it : rows) {
    if (absl::StartsWith(it.key, prefix_)) {
      latest[it.key.substr(prefix_.size())] = it.version;
    }
  }
  for (const auto& [domain, row_version] : latest) {
    Apply(domain, row_version != 0, row_version != 0 ? row_version : version,
          &changes);
  }
  if (is_snapshot) {
    for (const auto& it : States()) {
      if (it.active && !latest.contains(it.domain)) {
        Apply(it.domain, false, version, &changes);
      }
    }
  }
  known_version_ = std::max(known_version_, version);
  return changes;
}

std::vector<EvacuationTable::Change> EvacuationTable::OnPeer(
    const std::vector<PoolEvacuation>& states) {
  std::vector<Change> changes;
  for (const auto& it : states) {
    if (it.version > known_version_) {
      Apply(it.domain, it.active, it.version, &changes);
    } else if (it.active && !IsActive(it.domain)) {
      // Withdrawn since. The peer does not know that yet and gets it with this
      // version, which is higher than its own.
      Apply(it.domain, false, known_version_, &changes);
    }
  }
  return changes;
}

void EvacuationTable::Apply(const std::string& domain,
                            bool active,
                            int64_t version,
                            std::vector<Change>* changes) {
  if (domain.empty() || domain.size() > kMaxDomainBytes) {
    return;
  }
  const auto known = states_.find(domain);
  if (known == states_.end()) {
    MakeRoom();
    if (states_.size() >= kMaxDomains) {
      return;
    }
  } else if (known->second.version >= version) {
    return;
  }
  State& state = states_[domain];
  const bool changed = state.active != active;
  state.version = version;
  state.active = active;
  if (changed) {
    state.withdrawn_at = active ? absl::InfinitePast() : clock_.Monotonic();
    changes->push_back({domain, active, version});
  }
}

// Forgets the oldest withdrawn request if the table is full.
void EvacuationTable::MakeRoom() {
  if (states_.size() < kMaxDomains) {
    return;
  }
  auto oldest = states_.end();
  for (auto it = states_.begin(); it != states_.end(); ++it) {
    if (!it->second.active && (oldest == states_.end() ||
                               it->second.version < oldest->second.version)) {
      oldest = it;
    }
  }
  if (oldest != states_.end()) {
    states_.erase(oldest);
  }
}

bool EvacuationTable::IsActive(std::string_view domain) const {
  const auto it = states_.find(domain);
  return it != states_.end() && it->second.active;
}

double EvacuationTable::UsableShare(std::string_view domain) const {
  const auto it = states_.find(domain);
  if (it == states_.end()) {
    return 1;
  }
  if (it->second.active) {
    return 0;
  }
  return std::clamp(
      absl::FDivDuration(clock_.Monotonic() - it->second.withdrawn_at,
                         kReturnTime),
      0.0, 1.0);
}

bool EvacuationTable::IsReturning() const {
  return std::any_of(states_.begin(), states_.end(), [this](const auto& it) {
    return !it.second.active && UsableShare(it.first) < 1;
  });
}

std::set<std::string> EvacuationTable::ActiveDomains() const {
  std::set<std::string> domains;
  for (const auto& [domain, state] : states_) {
    if (state.active) {
      domains.insert(domain);
    }
  }
  return domains;
}

int64_t EvacuationTable::version() const {
  int64_t version = 0;
  for (const auto& [domain, state] : states_) {
    version = std::max(version, state.version);
  }
  return version;
}

std::vector<PoolEvacuation> EvacuationTable::States() const {
  std::vector<PoolEvacuation> states;
  states.reserve(states_.size());
  for (const auto& [domain, state] : states_) {
    states.push_back({domain, state.version, state.active});
  }
  return states;
}

}  // namespace radishrail
