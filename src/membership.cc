#include "radishrail/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace radishrail {

namespace {

// With 300 daemons, a daemon receives about 10 new records per second about
// other failure domains. A member there is suspected after about five rounds of
// updates without it.
constexpr size_t kMembersPerSuspectAfter = 10;
// Each member of this failure domain is contacted directly every 4 s, which
// leaves one second of `kSuspectAfter` for delays.
constexpr size_t kRingRounds = 4;
// Recently updated members kept for relaying: about one second of updates.
constexpr size_t kMaxRecentMembers = 12;
// Members not seen for this long are removed, so that replaced VMs do not
// accumulate in memory. Evidence about a removed member is needed only for
// minutes.
constexpr absl::Duration kMemberRetention = absl::Hours(24);
constexpr absl::Duration kCleanupInterval = absl::Minutes(1);
// Maximum number of members examined in one search for unreachable targets or
// urgent records.
constexpr size_t kMaxExaminedMembers = 16;

// Array headers, message type and document revision.
constexpr size_t kHeartbeatHeaderBytes = 13;

// Upper bounds of encoded sizes. Encoding each heartbeat several times to
// measure it would double the cost of a tick.
size_t EncodedBytes(uint64_t n) {
  return n < 128           ? 1
         : n <= UINT8_MAX  ? 2
         : n <= UINT16_MAX ? 3
         : n <= UINT32_MAX ? 5
                           : 9;
}

size_t EncodedBytes(const std::string& text) {
  return text.size() + (text.size() < 32 ? 1 : text.size() <= 255 ? 2 : 5);
}

size_t EncodedBytes(const MemberRecord& record) {
  return 2 + EncodedBytes(record.vm) + EncodedBytes(record.incarnation) +
         EncodedBytes(record.sequence) + EncodedBytes(record.failure_domain) +
         EncodedBytes(record.peer_address) +
         EncodedBytes(uint64_t{record.weight});
}

void AddTarget(const MemberRecord& self,
               const std::string& address,
               std::vector<std::string>* targets) {
  if (!address.empty() && address != self.peer_address &&
      std::find(targets->begin(), targets->end(), address) == targets->end()) {
    targets->push_back(address);
  }
}

}  // namespace

Membership::Membership(const Clock& clock,
                       Random& random,
                       PeerTransport& transport,
                       MemberRecord self,
                       std::vector<std::string> seeds)
    : clock_(clock),
      random_(random),
      transport_(transport),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      newest_own_incarnation_(self_.incarnation) {
  // Daemons that start together must not all contact the same seed first.
  if (!seeds_.empty()) {
    seed_cursor_ = random_.Below(seeds_.size());
  }
}

void Membership::Tick(int64_t document_revision) {
  const absl::Time now = clock_.Monotonic();
  if (now < next_heartbeat_ || self_.state == MemberState::kGone) {
    return;
  }
  // The interval varies by up to 5% in both directions, so that daemons do not
  // send in lockstep.
  next_heartbeat_ = now + kHeartbeatInterval * (0.95 + 0.1 * random_.Unit());
  ++self_.sequence;
  size_t remote_count = 0;
  const std::vector<std::string> targets = HeartbeatTargets(&remote_count);
  for (size_t i = 0; i < targets.size(); ++i) {
    const std::string& it = targets[i];
    Heartbeat heartbeat{self_, document_revision,
                        RecordsToRelay(it, i < remote_count)};
    size_t bytes = kHeartbeatHeaderBytes + EncodedBytes(self_);
    for (const auto& record : heartbeat.others) {
      bytes += EncodedBytes(record);
    }
    while (!heartbeat.others.empty() && bytes > kMaxHeartbeatBytes) {
      bytes -= EncodedBytes(heartbeat.others.back());
      heartbeat.others.pop_back();
    }
    transport_.Send(it, heartbeat);
  }
  if (now >= next_cleanup_) {
    next_cleanup_ = now + kCleanupInterval;
    RemoveExpiredMembers();
  }
}

std::vector<std::string> Membership::HeartbeatTargets(size_t* remote_count) {
  std::vector<std::string> targets;
  // This failure domain has priority, since ownership needs timely updates
  // there; one message is reserved for unreachable members.
  const size_t domains =
      domain_index_.size() - domain_index_.count(self_.failure_domain);
  const size_t limit = kHeartbeatFanOut - 1 - RingTargets();
  AddRemoteTargets(std::clamp<size_t>((domains + 1) / 2, 0, limit), &targets);
  *remote_count = targets.size();
  AddRingTargets(targets.size() + RingTargets(), &targets);
  AddUnreachableTargets(targets.empty() ? kHeartbeatFanOut : targets.size() + 1,
                        &targets);
  return targets;
}

size_t Membership::RingTargets() const {
  const auto domain = domain_index_.find(self_.failure_domain);
  const size_t n = domain == domain_index_.end() ? 0 : domain->second.size();
  return std::min((n + kRingRounds - 1) / kRingRounds, kHeartbeatFanOut - 2);
}

// Selects the members of this failure domain round-robin, so that each one is
// contacted directly within `kRingRounds` heartbeats.
void Membership::AddRingTargets(size_t limit,
                                std::vector<std::string>* targets) {
  const auto domain = domain_index_.find(self_.failure_domain);
  if (domain == domain_index_.end()) {
    return;
  }
  const auto& names = domain->second;
  for (size_t i = 0; i < names.size() && targets->size() < limit; ++i) {
    const Member& member =
        members_.find(names[ring_cursor_++ % names.size()])->second;
    if (IsReachable(member)) {
      AddTarget(self_, member.record.peer_address, targets);
    }
  }
}

void Membership::AddRemoteTargets(size_t limit,
                                  std::vector<std::string>* targets) {
  for (size_t i = 0; i < domain_index_.size() && targets->size() < limit; ++i) {
    const auto domain = std::next(
        domain_index_.begin(),
        static_cast<ptrdiff_t>(remote_cursor_++ % domain_index_.size()));
    if (domain->first == self_.failure_domain) {
      continue;
    }
    const auto& names = domain->second;
    const Member& member =
        members_.find(names[random_.Below(names.size())])->second;
    if (member.record.state != MemberState::kGone) {
      AddTarget(self_, member.record.peer_address, targets);
    }
  }
}

// Adds seeds, suspected members and members known only from the VM list.
// Without them, a healed partition would go unnoticed.
void Membership::AddUnreachableTargets(size_t limit,
                                       std::vector<std::string>* targets) {
  if (!seeds_.empty() &&
      (targets->size() + 1 < limit || random_.Below(2) == 0)) {
    for (size_t i = 0; i < seeds_.size() && targets->size() < limit; ++i) {
      AddTarget(self_, seeds_[seed_cursor_++ % seeds_.size()], targets);
    }
  }
  auto it = members_.begin();
  if (!members_.empty()) {
    std::advance(it,
                 static_cast<ptrdiff_t>(unreachable_cursor_ % members_.size()));
  }
  const size_t scan = std::min(members_.size(), kMaxExaminedMembers);
  for (size_t i = 0; i < scan && targets->size() < limit; ++i) {
    ++unreachable_cursor_;
    if (it->second.record.state != MemberState::kGone &&
        !IsReachable(it->second)) {
      AddTarget(self_, it->second.record.peer_address, targets);
    }
    if (++it == members_.end()) {
      it = members_.begin();
    }
  }
}

std::vector<MemberRecord> Membership::RecordsToRelay(std::string_view target,
                                                     bool target_is_remote) {
  std::vector<MemberRecord> records;
  const auto add = [&](const Member& member) {
    if (member.record.incarnation != 0 &&
        member.record.peer_address != target &&
        std::none_of(records.begin(), records.end(),
                     [&](const auto& r) { return r.vm == member.record.vm; })) {
      records.push_back(member.record);
    }
  };
  for (size_t i = std::min(urgent_.size(), kMaxExaminedMembers);
       i > 0 && records.size() < kHeartbeatRecords / 2; --i) {
    const auto member = members_.find(urgent_.front());
    if (member != members_.end() && --member->second.urgent_sends >= 0) {
      add(member->second);
      urgent_.push_back(urgent_.front());
    }
    urgent_.pop_front();
  }
  const auto add_recent = [&](const std::deque<std::string>& recent,
                              size_t limit) {
    // A random start gives the targets of one tick different records.
    const size_t start = recent.empty() ? 0 : random_.Below(recent.size());
    for (size_t i = 0; i < recent.size() && records.size() < limit; ++i) {
      const auto member = members_.find(recent[(start + i) % recent.size()]);
      if (member != members_.end() && IsReachable(member->second)) {
        add(member->second);
      }
    }
  };
  // Members of the target's failure domain contact it directly, so it gets
  // mostly records of other failure domains.
  add_recent(target_is_remote ? recent_local_ : recent_remote_,
             kHeartbeatRecords - 1);
  add_recent(target_is_remote ? recent_remote_ : recent_local_,
             kHeartbeatRecords);
  return records;
}

void Membership::OnHeartbeat(const Heartbeat& heartbeat) {
  ApplyRecord(heartbeat.sender, true);
  for (const auto& it : heartbeat.others) {
    ApplyRecord(it, false);
  }
}

void Membership::OnContact(const MemberRecord& sender) {
  ApplyRecord(sender, true);
}

void Membership::OnLeave(std::string_view vm, uint64_t incarnation) {
  const auto it = members_.find(vm);
  if (it == members_.end() || it->second.record.incarnation > incarnation) {
    return;
  }
  MemberRecord record = it->second.record;
  record.incarnation = incarnation;
  record.state = MemberState::kGone;
  ++record.sequence;
  ReplaceRecord(record, &it->second);
}

void Membership::ApplyRecord(const MemberRecord& record, bool direct) {
  if (record.vm.empty() || record.incarnation == 0) {
    return;
  }
  if (record.vm == self_.vm) {
    newest_own_incarnation_ =
        std::max(newest_own_incarnation_, record.incarnation);
    return;
  }
  const auto [it, is_new] = members_.try_emplace(record.vm);
  Member& member = it->second;
  MemberRecord& current = member.record;
  if (record.incarnation > current.incarnation) {
    const bool domain_changed = record.failure_domain != current.failure_domain;
    ReplaceRecord(record, &member);
    member.base_sequence = UINT64_MAX;
    if (domain_changed || is_new) {
      RebuildDomainIndex();
    }
  } else if (record.incarnation == current.incarnation &&
             record.sequence > current.sequence &&
             current.state != MemberState::kGone) {
    ReplaceRecord(record, &member);
  } else if (record.incarnation < current.incarnation || !direct) {
    // An outdated record says nothing about the present state.
    return;
  }
  const absl::Time now = clock_.Monotonic();
  if (direct) {
    member.last_seen = member.last_contact = member.base_time = now;
    member.base_sequence = current.sequence;
    return;
  }
  if (current.sequence < member.base_sequence) {
    member.base_time = now;
    member.base_sequence = current.sequence;
  }
  // The age of a relayed record follows from its sequence, which grows once per
  // second. Otherwise a dead member would seem alive as long as its records
  // circulate.
  constexpr absl::Duration kSequenceInterval = absl::Milliseconds(1100);
  const uint64_t rounds = current.sequence - member.base_sequence;
  member.last_seen = std::max(
      member.last_seen,
      std::min(now, member.base_time +
                        kSequenceInterval * static_cast<double>(rounds)));
}

void Membership::ReplaceRecord(const MemberRecord& record, Member* member) {
  MemberRecord& current = member->record;
  const bool changed = record.incarnation != current.incarnation ||
                       record.state != current.state;
  MarkRecent(record);
  current = record;
  if (changed) {
    MarkUrgent(member);
  }
  current.weight = std::max<uint32_t>(current.weight, 1);
}

// Relays a change often enough that it reaches the fleet in a number of rounds
// logarithmic in the fleet size.
void Membership::MarkUrgent(Member* member) {
  if (member->urgent_sends <= 0) {
    urgent_.push_front(member->record.vm);
  }
  member->urgent_sends =
      2 * static_cast<int>(std::bit_width(members_.size())) + 8;
}

void Membership::MarkRecent(const MemberRecord& record) {
  auto& recent = record.failure_domain == self_.failure_domain ? recent_local_
                                                               : recent_remote_;
  const auto it = std::find(recent.begin(), recent.end(), record.vm);
  if (it != recent.end()) {
    recent.erase(it);
  }
  recent.push_front(record.vm);
  if (recent.size() > kMaxRecentMembers) {
    recent.pop_back();
  }
}

void Membership::OnVmList(const std::vector<VmInfo>& vms) {
  const bool has_self =
      std::any_of(vms.begin(), vms.end(), [&](const auto& it) {
        return it.role == VmRole::kEntry && it.vm == self_.vm;
      });
  // A list without this daemon predates its start and proves nothing about the
  // removal of others, but it may still contain peers.
  if (has_self) {
    for (auto& it : members_) {
      it.second.listed = false;
    }
  }
  bool added = false;
  for (const auto& it : vms) {
    if (it.role != VmRole::kEntry || it.vm == self_.vm || it.vm.empty()) {
      continue;
    }
    const auto [position, is_new] = members_.try_emplace(it.vm);
    Member& member = position->second;
    if (is_new) {
      member.record.vm = it.vm;
      member.record.failure_domain = it.failure_domain;
      member.last_seen = absl::InfinitePast();
      added = true;
    }
    if (member.record.incarnation == 0) {
      member.record.peer_address = it.address;
    }
    member.listed = true;
    member.was_listed = true;
    member.removal_confirmed = false;
    member.unlisted_since = absl::InfiniteFuture();
  }
  if (added) {
    RebuildDomainIndex();
  }
  const absl::Time now = clock_.Monotonic();
  for (auto& [vm, member] : members_) {
    if (has_self && member.was_listed && !member.listed) {
      member.unlisted_since = std::min(member.unlisted_since, now);
      member.removal_confirmed =
          now - member.unlisted_since >= kVmListConfirmation;
    }
  }
}

void Membership::SetState(MemberState state) {
  if (self_.state == MemberState::kGone) {
    return;
  }
  self_.state = state;
  ++self_.sequence;
  next_heartbeat_ = absl::InfinitePast();
  if (state == MemberState::kGone) {
    for (const auto& it : Reachable()) {
      transport_.Send(it.peer_address, Leave{self_.incarnation});
    }
  }
}

absl::Duration Membership::SuspectAfter(const Member& member) const {
  if (member.record.failure_domain == self_.failure_domain) {
    return kSuspectAfter;
  }
  const double scale = static_cast<double>(members_.size()) /
                       static_cast<double>(kMembersPerSuspectAfter);
  return kSuspectAfter * std::max(1.0, scale);
}

bool Membership::IsReachable(const Member& member) const {
  return member.record.incarnation != 0 &&
         member.record.state != MemberState::kGone &&
         clock_.Monotonic() - member.last_seen <= SuspectAfter(member);
}

bool Membership::IsReachable(std::string_view vm) const {
  const auto it = members_.find(vm);
  return it != members_.end() && IsReachable(it->second);
}

bool Membership::IsProvenGone(std::string_view vm, uint64_t incarnation) const {
  if (vm == self_.vm) {
    return incarnation < newest_own_incarnation_;
  }
  const auto it = members_.find(vm);
  if (it == members_.end()) {
    return false;
  }
  const MemberRecord& record = it->second.record;
  return record.incarnation > incarnation ||
         (record.incarnation == incarnation &&
          record.state == MemberState::kGone);
}

bool Membership::IsRemovedFromVmList(std::string_view vm) const {
  const auto it = members_.find(vm);
  return it != members_.end() && it->second.removal_confirmed &&
         it->second.last_contact < it->second.unlisted_since;
}

std::optional<MemberRecord> Membership::Find(std::string_view vm) const {
  const auto it = members_.find(vm);
  if (it == members_.end() || it->second.record.incarnation == 0) {
    return std::nullopt;
  }
  return it->second.record;
}

std::vector<MemberRecord> Membership::Reachable() const {
  std::vector<MemberRecord> records;
  for (const auto& [vm, member] : members_) {
    if (IsReachable(member)) {
      records.push_back(member.record);
    }
  }
  return records;
}

std::vector<MemberRecord> Membership::ReachableIn(
    std::string_view failure_domain) const {
  std::vector<MemberRecord> records;
  const auto domain = domain_index_.find(failure_domain);
  if (domain == domain_index_.end()) {
    return records;
  }
  for (const auto& it : domain->second) {
    const Member& member = members_.find(it)->second;
    if (IsReachable(member)) {
      records.push_back(member.record);
    }
  }
  return records;
}

std::optional<MemberRecord> Membership::MostRecentlySeenIn(
    std::string_view failure_domain) const {
  const auto domain = domain_index_.find(failure_domain);
  const Member* latest = nullptr;
  if (domain != domain_index_.end()) {
    for (const auto& it : domain->second) {
      const Member& member = members_.find(it)->second;
      if (IsReachable(member) &&
          (latest == nullptr || member.last_seen > latest->last_seen)) {
        latest = &member;
      }
    }
  }
  return latest == nullptr ? std::nullopt : std::make_optional(latest->record);
}

std::vector<MemberRecord> Membership::AllMembers() const {
  std::vector<MemberRecord> records;
  for (const auto& [vm, member] : members_) {
    records.push_back(member.record);
  }
  return records;
}

void Membership::RebuildDomainIndex() {
  domain_index_.clear();
  for (const auto& [vm, member] : members_) {
    domain_index_[member.record.failure_domain].push_back(vm);
  }
}

void Membership::RemoveExpiredMembers() {
  const absl::Time cutoff = clock_.Monotonic() - kMemberRetention;
  const size_t erased = std::erase_if(members_, [&](const auto& it) {
    const Member& member = it.second;
    return !member.listed && member.last_seen < cutoff &&
           (!member.was_listed || member.unlisted_since < cutoff);
  });
  if (erased > 0) {
    RebuildDomainIndex();
  }
}

}  // namespace radishrail
