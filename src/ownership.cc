#include "radishrail/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "json_text.h"
#include "nlohmann/json.hpp"
#include "radishrail/random.h"

namespace radishrail {

namespace {

using Json = nlohmann::json;

// A key must be too old for acceptance before the job table may forget it. The
// acceptance may precede the stamp by 1 s and clocks differ by up to 1 s; the
// rest is reserve.
constexpr absl::Duration kKeyExpiryMargin = absl::Seconds(5);
constexpr absl::Duration kMaxPlatformBackoff = absl::Seconds(8);
constexpr absl::Duration kPromiseRequestInterval = absl::Seconds(2);
constexpr absl::Duration kAcknowledgeRequestInterval = absl::Seconds(4);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
constexpr absl::Duration kRebalanceInterval = absl::Seconds(10);
constexpr absl::Duration kTransferTimeout = absl::Seconds(10);
constexpr absl::Duration kWriteRetryInterval = absl::Milliseconds(500);
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
// Parts of a handover are far smaller than the limit of a peer frame, so that
// they do not delay other messages on the connection.
constexpr size_t kMaxKeysPerPart = 1000;
constexpr size_t kMaxBytesPerPart = 512 * 1024;
constexpr size_t kPartsPerTick = 4;
constexpr uint32_t kRangesPerRebalance = 8;
constexpr size_t kMaxLeaseSendTimes = 32;

enum class LeaseState { kHeld, kReleased, kFenced };
constexpr std::array<std::string_view, 3> kLeaseStates = {"held", "released",
                                                          "fenced"};

struct Lease {
  uint64_t incarnation = 0;
  uint64_t counter = 0;
  LeaseState state = LeaseState::kHeld;
  std::string fenced_by;
  uint64_t fenced_by_incarnation = 0;
};

struct Range {
  std::string vm;  // empty: no owner
  uint64_t incarnation = 0;
  int64_t epoch = 0;
  int64_t takeover_ms = 0;  // wall time; 0: never taken over
};
using Ranges = std::array<Range, kRangesPerFailureDomain>;

std::string EncodeLease(const Lease& lease) {
  Json row = {{"incarnation", lease.incarnation},
              {"counter", lease.counter},
              {"state", kLeaseStates[static_cast<size_t>(lease.state)]}};
  if (lease.state == LeaseState::kFenced) {
    row["by"] = lease.fenced_by;
    row["by_incarnation"] = lease.fenced_by_incarnation;
  }
  return internal::JsonText(row);
}

std::optional<Lease> DecodeLease(const std::string& value) {
  const Json row = Json::parse(value, nullptr, false);
  if (!row.is_object()) {
    return std::nullopt;
  }
  // The library throws on fields of the wrong type.
  try {
    Lease lease;
    lease.incarnation = row.at("incarnation").get<uint64_t>();
    lease.counter = row.at("counter").get<uint64_t>();
    const auto state = row.at("state").get<std::string>();
    const auto* it = std::find(kLeaseStates.begin(), kLeaseStates.end(), state);
    if (it == kLeaseStates.end()) {
      return std::nullopt;
    }
    lease.state = static_cast<LeaseState>(it - kLeaseStates.begin());
    lease.fenced_by = row.value("by", "");
    lease.fenced_by_incarnation = row.value("by_incarnation", uint64_t{0});
    return lease;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Encodes one array of [vm, incarnation, epoch, takeover ms] per range. All
// daemons of the failure domain poll this row, so it is kept short.
std::string EncodeRanges(const Ranges& ranges) {
  Json row = Json::array();
  for (const auto& it : ranges) {
    row.push_back({it.vm, it.incarnation, it.epoch, it.takeover_ms});
  }
  return internal::JsonText(row);
}

std::optional<Ranges> DecodeRanges(const Row& row) {
  Ranges ranges;
  if (row.version == 0) {
    return ranges;
  }
  const Json value = Json::parse(row.value, nullptr, false);
  if (!value.is_array() || value.size() != ranges.size()) {
    return std::nullopt;
  }
  try {
    for (size_t i = 0; i < ranges.size(); ++i) {
      ranges[i] = {
          value[i].at(0).get<std::string>(), value[i].at(1).get<uint64_t>(),
          value[i].at(2).get<int64_t>(), value[i].at(3).get<int64_t>()};
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return ranges;
}

using PeerId = std::pair<std::string, uint64_t>;  // vm and incarnation

// A peer whose promise is required to extend the lease.
struct AcknowledgedPeer {
  std::string address;
  absl::Time promise_until = absl::InfinitePast();
};

// A promise of this daemon not to take over from an owner.
struct Promise {
  uint64_t incarnation = 0;
  absl::Time until;
};

// State of another daemon's lease row as observed by this daemon.
struct Watch {
  int64_t version = -1;  // -1: not read yet; 0: absent
  Lease lease;
  // Start of the current observation, during which the row did not change.
  // Failed or late polls, and a probe reply that the lease is valid, restart
  // it.
  absl::Time unchanged_since;
  // When the latest change was read; used to choose successors.
  absl::Time last_renewal;
  absl::Time probe_sent = absl::InfinitePast();
  bool reported_invalid = false;  // the owner replied that its lease is invalid
  // A takeover from this owner was sent and may still be committed.
  bool takeover_in_flight = false;
  bool takeover_unresolved = false;  // its outcome is unknown
  int64_t takeover_version = -1;
  uint64_t takeover_incarnation = 0;
  uint64_t fenced_incarnation = 0;  // latest one fenced by this daemon
};

// An outgoing transfer of ranges. Keys of its ranges are not accepted
// meanwhile.
struct Transfer {
  enum class Phase { kSending, kAwaitingReply, kWriting };
  uint64_t id = 0;
  MemberRecord target;
  std::set<uint32_t> ranges;
  std::vector<RangeHandover> parts;
  size_t next_part = 0;
  Phase phase = Phase::kSending;
  absl::Time deadline;
  absl::Time next_write = absl::InfinitePast();
};

// An incoming transfer.
struct IncomingTransfer {
  uint64_t incarnation = 0;
  uint64_t id = 0;
  uint32_t next_part = 0;
  std::vector<RememberedKey> keys;
};

}  // namespace

class OwnershipController::Impl
    : public std::enable_shared_from_this<OwnershipController::Impl> {
 public:
  Impl(const OwnershipSettings& settings,
       const Clock& clock,
       Store& store,
       PeerTransport& transport,
       const Membership& membership)
      : settings_(settings),
        clock_(clock),
        store_(store),
        transport_(transport),
        membership_(membership),
        // Unlike absl::Hash, XXH64 gives the same seed in every process, so
        // that tests are reproducible.
        random_(XXH64(settings.vm.data(),
                      settings.vm.size(),
                      settings.incarnation)),
        lease_prefix_("lease/" + settings.failure_domain + "/"),
        lease_key_(lease_prefix_ + settings.vm),
        ranges_key_("ranges/" + settings.failure_domain) {}

  void Tick();
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);
  OwnershipDecision Resolve(const JobKey& key) const;
  bool IsLeaseValid() const;
  bool OwnsRange(uint32_t range) const;
  std::vector<uint32_t> OwnedRanges() const;
  void BeginHandover(std::vector<RememberedKey> keys);
  bool handover_finished() const { return handover_finished_; }
  std::vector<RememberedKey> TakeReceivedKeys() {
    return std::exchange(received_keys_, {});
  }
  void SetKeySource(KeySource source) { key_source_ = std::move(source); }

 private:
  absl::Time Now() const { return clock_.Monotonic(); }
  int64_t WallMs() const { return absl::ToUnixMillis(clock_.Wall()); }
  // Returns `duration` changed at random by up to 25% in either direction, so
  // that daemons do not act in lockstep.
  absl::Duration Jittered(absl::Duration duration) {
    return duration * (0.75 + 0.5 * random_.Unit());
  }
  // Returns a callback that does nothing once this object is destroyed.
  template <typename Function>
  auto BindWeak(Function function) {
    return [weak = weak_from_this(),
            function = std::move(function)](auto... args) {
      if (const auto self = weak.lock()) {
        function(*self, std::move(args)...);
      }
    };
  }

  bool IsMine(const Range& range) const {
    return range.vm == settings_.vm &&
           range.incarnation == settings_.incarnation;
  }
  bool IsTableLeaseValid() const {
    return acquired_ && Now() < table_lease_until_;
  }
  bool MayWriteRanges() const {
    return IsTableLeaseValid() && ranges_valid_ && !ranges_write_in_flight_;
  }
  absl::Time LeaseValidUntil() const;
  uint32_t CountRanges(std::string_view vm) const;

  // Table reads.
  void Poll();
  void SchedulePoll(absl::Duration delay);
  void OnPollPart(bool ok);
  void OnLeaseRows(const std::vector<Row>& rows);
  void OnOwnRow(const Row& row);
  void OnWatchedRow(const std::string& vm, const Row& row);
  void OnRangesRow(const Row& row, uint64_t generation);
  void RestartObservation();
  void InvalidateRanges();
  void OnLeaseLost();

  // This daemon's lease.
  void Acquire();
  void Renew();
  void Release();
  Lease NextLease(LeaseState state);
  void OnLeaseWritten(TransactionOutcome outcome,
                      int64_t checked,
                      absl::Time sent);
  void WriteRanges(Transaction transaction,
                   Ranges ranges,
                   std::function<void(Impl&, TransactionOutcome)> callback);

  // Promises and acknowledgements.
  bool IsGone(const PeerId& peer) const;
  void DropGonePeers();
  void RequestPromises();
  void SendAcknowledgeRequests();
  void Acknowledge(const MemberRecord& peer, absl::Time promise_until);
  void OnMessage(const MemberRecord& sender, const AcknowledgeRequest& message);
  void OnMessage(const MemberRecord& sender, const AcknowledgeReply& message);
  void OnMessage(const MemberRecord& sender, const PromiseRequest& message);
  void OnMessage(const MemberRecord& sender, const PromiseReply& message);
  void OnMessage(const MemberRecord& sender, const OwnerProbe& message);
  void OnMessage(const MemberRecord& sender, const OwnerProbeReply& message);
  void OnMessage(const MemberRecord& sender, const RangeHandover& message);
  void OnMessage(const MemberRecord& sender, const RangeHandoverReply& message);
  template <typename Message>
  void OnMessage(const MemberRecord&, const Message&) {}

  // Takeover and claims.
  void TakeOver();
  bool MayTakeOver(const std::string& vm, uint64_t incarnation, Watch* watch);
  bool ProbeAllowsTakeover(const std::string& vm, Watch* watch);
  void WriteTakeover(const std::string& vm,
                     uint64_t takeover_incarnation,
                     Watch* watch);
  void OnTakeoverWritten(const std::string& vm, TransactionOutcome outcome);
  void ClaimRanges();

  // Handover.
  struct Candidate {
    MemberRecord member;
    double fair_share = 0;
    uint32_t owned = 0;
  };
  std::vector<Candidate> HandoverCandidates(double* own_fair_share) const;
  void Rebalance();
  void Drain();
  void StartTransfer(const MemberRecord& target,
                     uint32_t count,
                     const std::vector<RememberedKey>* keys);
  void ContinueTransfer();
  void SendParts();
  void WriteTransfer();

  bool IsQuarantined(const Range& range,
                     const JobKey& key,
                     absl::Duration* retry_after) const;
  void ResolveMinted(const JobKey& key, OwnershipDecision* decision) const;
  void ResolveOwned(const JobKey& key, OwnershipDecision* decision) const;
  void ResolveNotOwned(const JobKey& key, OwnershipDecision* decision) const;

  const OwnershipSettings settings_;
  const Clock& clock_;
  Store& store_;
  PeerTransport& transport_;
  const Membership& membership_;
  SeededRandom random_;
  const std::string lease_prefix_;
  const std::string lease_key_;
  const std::string ranges_key_;
  KeySource key_source_;

  // This daemon's lease row; its versions only grow. `acquired_`: according to
  // the latest read or write, this incarnation holds the lease.
  bool acquired_ = false;
  bool releasing_ = false;
  bool released_ = false;
  bool superseded_ = false;  // the vm runs a newer incarnation
  bool own_row_read_ = false;
  int64_t lease_version_ = -1;
  uint64_t counter_ = 0;
  std::map<uint64_t, absl::Time> lease_send_times_;  // by lease counter
  // End of the lease according to the table, without promises of peers.
  absl::Time table_lease_until_ = absl::InfinitePast();
  bool lease_write_in_flight_ = false;
  absl::Time next_lease_write_ = absl::InfinitePast();
  absl::Duration lease_backoff_;

  Ranges ranges_;
  bool ranges_valid_ = false;
  int64_t ranges_version_ = -1;
  uint64_t ranges_generation_ = 0;  // reads of older generations are ignored
  bool ranges_write_in_flight_ = false;
  absl::Time next_ranges_write_ = absl::InfinitePast();

  int polls_in_flight_ = 0;
  bool poll_failed_ = false;
  absl::Time next_poll_ = absl::InfinitePast();
  absl::Time last_poll_ok_ = absl::InfinitePast();
  absl::Duration poll_backoff_;

  std::map<std::string, Watch, std::less<>> watches_;
  std::map<PeerId, AcknowledgedPeer> acknowledged_;
  // Expiry of promises from peers that are not acknowledged yet.
  std::map<PeerId, absl::Time> candidate_promises_;
  std::map<uint64_t, absl::Time> promise_requests_;  // send times
  uint64_t next_request_ = 1;
  absl::Time next_promise_request_ = absl::InfinitePast();
  std::map<std::string, Promise, std::less<>> promises_;  // given to owners
  // Incarnations of the owners that acknowledged this daemon, by vm.
  std::map<std::string, uint64_t, std::less<>> acknowledged_by_;
  absl::Time next_acknowledge_ = absl::InfinitePast();

  std::optional<Transfer> transfer_;
  uint64_t next_transfer_ = 1;
  // Successors that did not complete a transfer in time. They are not chosen
  // again, since a late reply could be mistaken for that of a later transfer.
  std::set<PeerId> timed_out_targets_;
  std::map<std::string, IncomingTransfer, std::less<>> incoming_;
  std::vector<RememberedKey> received_keys_;
  absl::Time next_rebalance_ = absl::InfinitePast();
  bool draining_ = false;
  bool handover_finished_ = false;
  std::vector<RememberedKey> handover_keys_;
};

void OwnershipController::Impl::Tick() {
  superseded_ = superseded_ ||
                membership_.IsProvenGone(settings_.vm, settings_.incarnation);
  if (superseded_) {
    handover_finished_ = handover_finished_ || draining_;
    return;
  }
  DropGonePeers();
  Poll();
  Acquire();
  Renew();
  RequestPromises();
  SendAcknowledgeRequests();
  ContinueTransfer();
  if (draining_) {
    Drain();
    return;
  }
  TakeOver();
  ClaimRanges();
  Rebalance();
}

// --- Table reads ---

void OwnershipController::Impl::Poll() {
  if (polls_in_flight_ > 0 || Now() < next_poll_) {
    return;
  }
  polls_in_flight_ = 2;
  poll_failed_ = false;
  store_.List(lease_prefix_,
              BindWeak([](Impl& self, std::optional<std::vector<Row>> rows,
                          const Error&) {
                if (rows.has_value()) {
                  self.OnLeaseRows(*rows);
                }
                self.OnPollPart(rows.has_value());
              }));
  store_.Read(ranges_key_,
              BindWeak([generation = ranges_generation_](
                           Impl& self, std::optional<Row> row, const Error&) {
                if (row.has_value()) {
                  self.OnRangesRow(*row, generation);
                }
                self.OnPollPart(row.has_value());
              }));
}

void OwnershipController::Impl::SchedulePoll(absl::Duration delay) {
  next_poll_ = std::min(next_poll_, Now() + Jittered(delay));
}

void OwnershipController::Impl::OnPollPart(bool ok) {
  poll_failed_ = poll_failed_ || !ok;
  if (--polls_in_flight_ > 0) {
    return;
  }
  if (poll_failed_) {
    // A takeover requires an uninterrupted observation: after an outage, owners
    // need time to renew their leases before another daemon takes over.
    RestartObservation();
    poll_backoff_ = std::clamp(poll_backoff_ * 2, settings_.poll_interval,
                               kMaxPlatformBackoff);
  } else {
    if (Now() - last_poll_ok_ > settings_.lease_length) {
      RestartObservation();
    }
    last_poll_ok_ = Now();
    poll_backoff_ = settings_.poll_interval;
  }
  next_poll_ = Now() + Jittered(poll_backoff_);
}

void OwnershipController::Impl::RestartObservation() {
  for (auto& [vm, watch] : watches_) {
    watch.unchanged_since = Now();
  }
}

void OwnershipController::Impl::OnLeaseRows(const std::vector<Row>& rows) {
  bool has_own_row = false;
  for (const auto& row : rows) {
    const std::string vm = row.key.substr(lease_prefix_.size());
    if (vm == settings_.vm) {
      has_own_row = true;
      OnOwnRow(row);
    } else {
      OnWatchedRow(vm, row);
    }
  }
  if (!has_own_row) {
    OnOwnRow({lease_key_, "", 0});
  }
  // An owner may have no lease row before its first write; it is observed like
  // the others.
  for (const auto& it : ranges_) {
    if (!it.vm.empty() && it.vm != settings_.vm && !watches_.contains(it.vm)) {
      OnWatchedRow(it.vm, {lease_prefix_ + it.vm, "", 0});
    }
  }
}

void OwnershipController::Impl::OnOwnRow(const Row& row) {
  if (row.version < lease_version_ || released_) {
    return;  // read before the latest write
  }
  if (row.version == lease_version_ && own_row_read_) {
    return;
  }
  Lease lease;
  if (row.version > 0) {
    const std::optional<Lease> decoded = DecodeLease(row.value);
    if (!decoded.has_value()) {
      return;
    }
    lease = *decoded;
  }
  own_row_read_ = true;
  lease_version_ = row.version;
  if (lease.incarnation > settings_.incarnation) {
    superseded_ = true;
    return;
  }
  const bool mine =
      row.version > 0 && lease.incarnation == settings_.incarnation;
  if (mine && lease.state == LeaseState::kReleased) {
    released_ = true;
    acquired_ = false;
    return;
  }
  if (!mine || lease.state == LeaseState::kFenced) {
    if (acquired_) {
      OnLeaseLost();
    }
    return;
  }
  // The write was committed, but its response may have been lost. It may have
  // changed the ranges too.
  const auto send_time = lease_send_times_.find(lease.counter);
  if (send_time != lease_send_times_.end()) {
    table_lease_until_ = std::max(table_lease_until_,
                                  send_time->second + settings_.lease_length);
  }
  if (!acquired_) {
    acquired_ = true;
    InvalidateRanges();
  }
}

void OwnershipController::Impl::OnWatchedRow(const std::string& vm,
                                             const Row& row) {
  Watch& watch = watches_[vm];
  if (row.version <= watch.version) {
    return;
  }
  std::optional<Lease> lease = Lease{};
  if (row.version > 0) {
    lease = DecodeLease(row.value);
    if (!lease.has_value()) {
      return;
    }
  }
  watch.version = row.version;
  watch.lease = *lease;
  watch.unchanged_since = Now();
  watch.last_renewal = Now();
  watch.probe_sent = absl::InfinitePast();
  watch.reported_invalid = false;
  if ((watch.takeover_in_flight || watch.takeover_unresolved) &&
      row.version > watch.takeover_version) {
    watch.takeover_unresolved = false;
    watch.takeover_in_flight = false;
    if (lease->state == LeaseState::kFenced &&
        lease->fenced_by == settings_.vm &&
        lease->fenced_by_incarnation == settings_.incarnation) {
      watch.fenced_incarnation = lease->incarnation;
    }
  }
  // The owner acquired a new lease and accepted the loss of its former ranges.
  if (lease->state == LeaseState::kHeld && !watch.takeover_in_flight) {
    watch.fenced_incarnation = 0;
  }
}

void OwnershipController::Impl::OnRangesRow(const Row& row,
                                            uint64_t generation) {
  if (generation != ranges_generation_ || row.version < ranges_version_ ||
      (ranges_valid_ && row.version == ranges_version_)) {
    return;
  }
  std::optional<Ranges> ranges = DecodeRanges(row);
  if (ranges.has_value()) {
    ranges_ = *std::move(ranges);
    ranges_version_ = row.version;
    ranges_valid_ = true;
  }
}

void OwnershipController::Impl::InvalidateRanges() {
  ranges_valid_ = false;
  ++ranges_generation_;
  SchedulePoll(absl::ZeroDuration());
}

void OwnershipController::Impl::OnLeaseLost() {
  acquired_ = false;
  table_lease_until_ = absl::InfinitePast();
  transfer_.reset();
  InvalidateRanges();
}

// --- Lease of this daemon ---

Lease OwnershipController::Impl::NextLease(LeaseState state) {
  Lease lease;
  lease.incarnation = settings_.incarnation;
  lease.counter = ++counter_;
  lease.state = state;
  lease_send_times_[lease.counter] = Now();
  if (lease_send_times_.size() > kMaxLeaseSendTimes) {
    lease_send_times_.erase(lease_send_times_.begin());
  }
  return lease;
}

// Acquires in one transaction the lease and the ranges of an earlier
// incarnation of this vm, or of this incarnation before it was fenced. Both
// rows are checked, so no takeover can happen in between. The ranges are
// quarantined.
void OwnershipController::Impl::Acquire() {
  if (acquired_ || released_ || draining_ || lease_write_in_flight_ ||
      ranges_write_in_flight_ || !own_row_read_ || !ranges_valid_ ||
      Now() < next_lease_write_) {
    return;
  }
  const absl::Time sent = Now();
  Transaction transaction;
  transaction.checks = {{lease_key_, lease_version_},
                        {ranges_key_, ranges_version_}};
  transaction.writes = {
      {lease_key_, EncodeLease(NextLease(LeaseState::kHeld))}};
  Ranges ranges = ranges_;
  bool changed = false;
  for (auto& it : ranges) {
    if (it.vm == settings_.vm) {
      it.incarnation = settings_.incarnation;
      ++it.epoch;
      it.takeover_ms = std::max(it.takeover_ms, WallMs());
      changed = true;
    }
  }
  lease_write_in_flight_ = true;
  const int64_t checked = lease_version_;
  const auto callback = [checked, sent](Impl& self,
                                        TransactionOutcome outcome) {
    self.OnLeaseWritten(outcome, checked, sent);
  };
  if (changed) {
    transaction.writes.push_back({ranges_key_, EncodeRanges(ranges)});
    WriteRanges(std::move(transaction), std::move(ranges), callback);
    return;
  }
  store_.Transact(std::move(transaction),
                  BindWeak([callback](Impl& self, TransactionOutcome outcome,
                                      const std::string&, const Error&) {
                    callback(self, outcome);
                  }));
}

void OwnershipController::Impl::Renew() {
  if (!acquired_ || released_ || releasing_ || lease_write_in_flight_ ||
      Now() < next_lease_write_) {
    return;
  }
  lease_write_in_flight_ = true;
  const absl::Time sent = Now();
  const int64_t checked = lease_version_;
  store_.Transact(
      {{{lease_key_, checked}},
       {{lease_key_, EncodeLease(NextLease(LeaseState::kHeld))}}},
      BindWeak([checked, sent](Impl& self, TransactionOutcome outcome,
                               const std::string&, const Error&) {
        self.OnLeaseWritten(outcome, checked, sent);
      }));
}

void OwnershipController::Impl::OnLeaseWritten(TransactionOutcome outcome,
                                               int64_t checked,
                                               absl::Time sent) {
  lease_write_in_flight_ = false;
  if (outcome != TransactionOutcome::kCommitted) {
    if (outcome == TransactionOutcome::kConflict) {
      SchedulePoll(absl::ZeroDuration());
      next_lease_write_ = Now() + Jittered(kWriteRetryInterval);
      return;
    }
    lease_backoff_ = std::clamp(lease_backoff_ * 2, settings_.renew_interval,
                                kMaxPlatformBackoff);
    next_lease_write_ = Now() + Jittered(lease_backoff_);
    return;
  }
  lease_backoff_ = absl::ZeroDuration();
  next_lease_write_ = std::max(
      Now(), sent + settings_.renew_interval * (0.9 + 0.2 * random_.Unit()));
  // A read that saw this write or a later one was already processed.
  if (lease_version_ != checked) {
    return;
  }
  // The response does not contain the new version. If this guess is too low,
  // the next write conflicts and the row is read again.
  lease_version_ = checked + 1;
  acquired_ = true;
  table_lease_until_ =
      std::max(table_lease_until_, sent + settings_.lease_length);
}

void OwnershipController::Impl::Release() {
  // Stops the renewals, which would otherwise always be due before the release.
  releasing_ = true;
  if (lease_write_in_flight_ || Now() < next_lease_write_) {
    return;
  }
  lease_write_in_flight_ = true;
  const int64_t checked = lease_version_;
  store_.Transact(
      {{{lease_key_, checked}},
       {{lease_key_, EncodeLease(NextLease(LeaseState::kReleased))}}},
      BindWeak([](Impl& self, TransactionOutcome outcome, const std::string&,
                  const Error&) {
        self.lease_write_in_flight_ = false;
        self.next_lease_write_ =
            self.Now() + self.Jittered(kWriteRetryInterval);
        if (outcome == TransactionOutcome::kCommitted) {
          self.released_ = true;
          self.acquired_ = false;
        } else {
          self.SchedulePoll(absl::ZeroDuration());
        }
      }));
}

// Sends a transaction that replaces the ranges row by `ranges`. Only one such
// write is in flight at a time.
void OwnershipController::Impl::WriteRanges(
    Transaction transaction,
    Ranges ranges,
    std::function<void(Impl&, TransactionOutcome)> callback) {
  ranges_write_in_flight_ = true;
  store_.Transact(
      std::move(transaction),
      BindWeak([checked = ranges_version_, generation = ranges_generation_,
                ranges = std::move(ranges), callback = std::move(callback)](
                   Impl& self, TransactionOutcome outcome, const std::string&,
                   const Error&) {
        self.ranges_write_in_flight_ = false;
        self.next_ranges_write_ =
            self.Now() + self.Jittered(kWriteRetryInterval);
        callback(self, outcome);
        if (outcome == TransactionOutcome::kCommitted &&
            self.ranges_version_ == checked &&
            self.ranges_generation_ == generation) {
          self.ranges_ = ranges;
          self.ranges_version_ = checked + 1;
        } else {
          self.SchedulePoll(absl::ZeroDuration());
        }
      }));
}

// --- Validity ---

absl::Time OwnershipController::Impl::LeaseValidUntil() const {
  // A release may have been committed even if its response is late or lost.
  if (!acquired_ || releasing_ || released_ || superseded_) {
    return absl::InfinitePast();
  }
  absl::Time extended_until = absl::InfiniteFuture();
  for (const auto& [id, peer] : acknowledged_) {
    extended_until = std::min(extended_until, peer.promise_until);
  }
  return std::max(table_lease_until_, extended_until);
}

bool OwnershipController::Impl::IsLeaseValid() const {
  return Now() < LeaseValidUntil();
}

bool OwnershipController::Impl::OwnsRange(uint32_t range) const {
  return ranges_valid_ && range < ranges_.size() && IsMine(ranges_[range]) &&
         !draining_ && received_keys_.empty() &&
         !(transfer_.has_value() && transfer_->ranges.contains(range)) &&
         IsLeaseValid();
}

std::vector<uint32_t> OwnershipController::Impl::OwnedRanges() const {
  std::vector<uint32_t> owned;
  for (uint32_t i = 0; i < kRangesPerFailureDomain; ++i) {
    if (OwnsRange(i)) {
      owned.push_back(i);
    }
  }
  return owned;
}

uint32_t OwnershipController::Impl::CountRanges(std::string_view vm) const {
  return static_cast<uint32_t>(
      std::count_if(ranges_.begin(), ranges_.end(),
                    [&](const auto& it) { return it.vm == vm; }));
}

// --- Promises and acknowledgements ---

bool OwnershipController::Impl::IsGone(const PeerId& peer) const {
  return membership_.IsProvenGone(peer.first, peer.second) ||
         membership_.IsRemovedFromVmList(peer.first);
}

// The promise of a peer that is gone is no longer required, but only if the
// peer cannot have taken over before it stopped: its promise, or the lease in
// the table, must still be valid. Otherwise the expired promise keeps the lease
// invalid until it is renewed in the table.
void OwnershipController::Impl::DropGonePeers() {
  const absl::Time now = Now();
  std::erase_if(acknowledged_, [&](const auto& it) {
    return (IsTableLeaseValid() || now < it.second.promise_until) &&
           IsGone(it.first);
  });
  std::erase_if(candidate_promises_,
                [&](const auto& it) { return it.second <= now; });
  std::erase_if(promise_requests_, [&](const auto& it) {
    return it.second + settings_.lease_length <= now;
  });
}

// Sends requests once a renewal is overdue, before the lease lapses.
void OwnershipController::Impl::RequestPromises() {
  const absl::Time now = Now();
  if (!acquired_ || released_ || now < next_promise_request_ ||
      now < table_lease_until_ - settings_.lease_length / 2) {
    return;
  }
  next_promise_request_ = now + Jittered(kPromiseRequestInterval);
  const uint64_t request = next_request_++;
  promise_requests_[request] = now;
  for (const auto& [id, peer] : acknowledged_) {
    transport_.Send(peer.address,
                    PromiseRequest{settings_.incarnation, request});
  }
}

void OwnershipController::Impl::SendAcknowledgeRequests() {
  if (Now() < next_acknowledge_) {
    return;
  }
  next_acknowledge_ = Now() + Jittered(kAcknowledgeRequestInterval);
  for (const auto& it : membership_.ReachableIn(settings_.failure_domain)) {
    const auto known = acknowledged_by_.find(it.vm);
    if (known == acknowledged_by_.end() || known->second != it.incarnation) {
      transport_.Send(it.peer_address, AcknowledgeRequest{settings_.incarnation,
                                                          it.incarnation});
    }
  }
}

void OwnershipController::Impl::Acknowledge(const MemberRecord& peer,
                                            absl::Time promise_until) {
  // The peer's promise is required before the peer learns about it, so that the
  // peer never takes over while its promise is not required.
  auto& entry = acknowledged_[{peer.vm, peer.incarnation}];
  entry.address = peer.peer_address;
  entry.promise_until = std::max(entry.promise_until, promise_until);
  transport_.Send(peer.peer_address,
                  AcknowledgeReply{peer.incarnation, settings_.incarnation});
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const AcknowledgeRequest& message) {
  const PeerId id{sender.vm, sender.incarnation};
  if (message.owner_incarnation != settings_.incarnation ||
      message.incarnation != sender.incarnation ||
      membership_.IsProvenGone(sender.vm, sender.incarnation)) {
    return;
  }
  if (!acquired_ || IsTableLeaseValid() || acknowledged_.contains(id)) {
    Acknowledge(sender, absl::InfinitePast());
    return;
  }
  // While the lease is extended by promises, a new peer must grant one before
  // it is acknowledged; acknowledging it without one would end the lease.
  const auto promise = candidate_promises_.find(id);
  if (promise != candidate_promises_.end() && Now() < promise->second) {
    Acknowledge(sender, promise->second);
    return;
  }
  const uint64_t request = next_request_++;
  promise_requests_[request] = Now();
  transport_.Send(sender.peer_address,
                  PromiseRequest{settings_.incarnation, request});
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const AcknowledgeReply& message) {
  if (message.incarnation == settings_.incarnation &&
      message.owner_incarnation == sender.incarnation) {
    acknowledged_by_[sender.vm] = sender.incarnation;
  }
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const PromiseRequest& message) {
  const auto it = watches_.find(sender.vm);
  // A takeover with an unknown outcome may still be committed, so no promise
  // can be granted.
  const bool taken_over =
      it != watches_.end() &&
      (it->second.takeover_in_flight || it->second.takeover_unresolved ||
       it->second.fenced_incarnation >= message.owner_incarnation);
  const bool granted = !taken_over &&
                       message.owner_incarnation == sender.incarnation &&
                       !membership_.IsProvenGone(sender.vm, sender.incarnation);
  if (granted) {
    promises_[sender.vm] = {sender.incarnation, Now() + settings_.lease_length +
                                                    settings_.takeover_margin};
  }
  transport_.Send(sender.peer_address, PromiseReply{message.owner_incarnation,
                                                    message.request, granted});
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const PromiseReply& message) {
  const auto request = promise_requests_.find(message.request);
  if (!message.granted || request == promise_requests_.end() ||
      message.owner_incarnation != settings_.incarnation) {
    return;
  }
  const PeerId id{sender.vm, sender.incarnation};
  const absl::Time until = request->second + settings_.lease_length;
  const auto it = acknowledged_.find(id);
  if (it != acknowledged_.end()) {
    it->second.promise_until = std::max(it->second.promise_until, until);
  } else {
    candidate_promises_[id] = until;
  }
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const OwnerProbe& message) {
  transport_.Send(
      sender.peer_address,
      OwnerProbeReply{settings_.incarnation,
                      message.owner_incarnation == settings_.incarnation &&
                          IsLeaseValid()});
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const OwnerProbeReply& message) {
  const auto it = watches_.find(sender.vm);
  if (it == watches_.end() ||
      message.owner_incarnation != it->second.lease.incarnation) {
    return;
  }
  if (message.lease_valid) {
    it->second.unchanged_since = Now();
    it->second.probe_sent = absl::InfinitePast();
  } else {
    it->second.reported_invalid = true;
  }
}

// --- Takeover ---

void OwnershipController::Impl::TakeOver() {
  if (!MayWriteRanges() || Now() < next_ranges_write_ ||
      Now() - last_poll_ok_ > settings_.lease_length) {
    return;
  }
  std::map<std::string, uint64_t> owners;
  for (const auto& it : ranges_) {
    if (!it.vm.empty() && it.vm != settings_.vm) {
      owners[it.vm] = std::max(owners[it.vm], it.incarnation);
    }
  }
  for (const auto& [vm, incarnation] : owners) {
    const auto it = watches_.find(vm);
    if (it == watches_.end() || it->second.takeover_in_flight) {
      continue;
    }
    const uint64_t takeover_incarnation =
        std::max(incarnation, it->second.lease.incarnation);
    if (MayTakeOver(vm, takeover_incarnation, &it->second)) {
      WriteTakeover(vm, takeover_incarnation, &it->second);
      return;
    }
  }
}

bool OwnershipController::Impl::MayTakeOver(const std::string& vm,
                                            uint64_t incarnation,
                                            Watch* watch) {
  if (watch->lease.incarnation == incarnation &&
      watch->lease.state == LeaseState::kReleased) {
    return true;
  }
  const absl::Time now = Now();
  if (now - watch->unchanged_since <
      settings_.lease_length + settings_.takeover_margin) {
    return false;
  }
  const auto promise = promises_.find(vm);
  if (promise != promises_.end() &&
      promise->second.incarnation == incarnation &&
      now < promise->second.until) {
    return false;
  }
  const auto acknowledged = acknowledged_by_.find(vm);
  const bool is_acknowledged = acknowledged != acknowledged_by_.end() &&
                               acknowledged->second == incarnation;
  return (is_acknowledged || IsGone({vm, incarnation})) &&
         ProbeAllowsTakeover(vm, watch);
}

// Probes the owner's lease and waits for the reply. This only avoids
// unnecessary takeovers; the other conditions suffice for safety.
bool OwnershipController::Impl::ProbeAllowsTakeover(const std::string& vm,
                                                    Watch* watch) {
  const auto member = membership_.Find(vm);
  if (!member.has_value() || watch->reported_invalid) {
    return true;
  }
  if (watch->probe_sent == absl::InfinitePast()) {
    watch->probe_sent = Now();
    return !transport_.Send(member->peer_address,
                            OwnerProbe{watch->lease.incarnation});
  }
  return Now() - watch->probe_sent >= kProbeTimeout;
}

void OwnershipController::Impl::WriteTakeover(const std::string& vm,
                                              uint64_t takeover_incarnation,
                                              Watch* watch) {
  Transaction transaction;
  transaction.checks = {{lease_prefix_ + vm, watch->version},
                        {ranges_key_, ranges_version_}};
  if (watch->lease.state != LeaseState::kReleased) {
    Lease fenced = watch->lease;
    fenced.incarnation = takeover_incarnation;
    fenced.state = LeaseState::kFenced;
    fenced.fenced_by = settings_.vm;
    fenced.fenced_by_incarnation = settings_.incarnation;
    transaction.writes.push_back({lease_prefix_ + vm, EncodeLease(fenced)});
  }
  Ranges ranges = ranges_;
  for (auto& it : ranges) {
    if (it.vm == vm) {
      it = {settings_.vm, settings_.incarnation, it.epoch + 1,
            std::max(it.takeover_ms, WallMs())};
    }
  }
  transaction.writes.push_back({ranges_key_, EncodeRanges(ranges)});
  watch->takeover_in_flight = true;
  watch->takeover_version = watch->version;
  watch->takeover_incarnation = takeover_incarnation;
  WriteRanges(std::move(transaction), std::move(ranges),
              [vm](Impl& self, TransactionOutcome outcome) {
                self.OnTakeoverWritten(vm, outcome);
              });
}

void OwnershipController::Impl::OnTakeoverWritten(const std::string& vm,
                                                  TransactionOutcome outcome) {
  Watch& watch = watches_[vm];
  if (!watch.takeover_in_flight) {
    return;  // a read already showed the outcome
  }
  watch.takeover_in_flight = false;
  if (outcome == TransactionOutcome::kCommitted) {
    watch.takeover_unresolved = false;
    watch.fenced_incarnation = watch.takeover_incarnation;
  } else if (outcome == TransactionOutcome::kUnknown) {
    watch.takeover_unresolved = true;
  }
}

void OwnershipController::Impl::ClaimRanges() {
  if (!MayWriteRanges() || Now() < next_ranges_write_) {
    return;
  }
  Ranges ranges = ranges_;
  bool changed = false;
  for (auto& it : ranges) {
    const bool of_predecessor =
        it.vm == settings_.vm && it.incarnation < settings_.incarnation;
    if (it.vm.empty() || of_predecessor) {
      it.vm = settings_.vm;
      it.incarnation = settings_.incarnation;
      ++it.epoch;
      if (of_predecessor) {
        it.takeover_ms = std::max(it.takeover_ms, WallMs());
      }
      changed = true;
    }
  }
  if (changed) {
    Transaction transaction;
    transaction.checks = {{ranges_key_, ranges_version_}};
    transaction.writes = {{ranges_key_, EncodeRanges(ranges)}};
    WriteRanges(std::move(transaction), std::move(ranges),
                [](Impl&, TransactionOutcome) {});
  }
}

// --- Handover ---

void OwnershipController::Impl::BeginHandover(std::vector<RememberedKey> keys) {
  if (draining_) {
    return;
  }
  draining_ = true;
  handover_keys_ = std::move(keys);
  // `keys` lacks the received keys that are not in the job table yet, although
  // the ranges row may already name this daemon as their owner.
  handover_keys_.insert(handover_keys_.end(), received_keys_.begin(),
                        received_keys_.end());
}

// Members that can receive ranges: ready, with a recently renewed lease. The
// one furthest below its share is first.
std::vector<OwnershipController::Impl::Candidate>
OwnershipController::Impl::HandoverCandidates(double* own_fair_share) const {
  std::vector<Candidate> candidates;
  double weights = draining_ ? 0 : membership_.self().weight;
  for (const auto& it : membership_.ReachableIn(settings_.failure_domain)) {
    const auto watch = watches_.find(it.vm);
    if (it.state == MemberState::kReady && watch != watches_.end() &&
        watch->second.lease.state == LeaseState::kHeld &&
        watch->second.lease.incarnation == it.incarnation &&
        Now() - watch->second.last_renewal < settings_.lease_length &&
        !timed_out_targets_.contains({it.vm, it.incarnation})) {
      candidates.push_back({it, 0, CountRanges(it.vm)});
      weights += it.weight;
    }
  }
  for (auto& it : candidates) {
    it.fair_share = kRangesPerFailureDomain * it.member.weight / weights;
  }
  *own_fair_share =
      kRangesPerFailureDomain * membership_.self().weight / weights;
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) {
              return a.fair_share - a.owned > b.fair_share - b.owned;
            });
  return candidates;
}

void OwnershipController::Impl::Rebalance() {
  if (Now() < next_rebalance_ || !key_source_ || transfer_.has_value() ||
      !MayWriteRanges() || !received_keys_.empty()) {
    return;
  }
  next_rebalance_ = Now() + Jittered(kRebalanceInterval);
  double own_fair_share = 0;
  const std::vector<Candidate> candidates = HandoverCandidates(&own_fair_share);
  const auto owned = static_cast<double>(CountRanges(settings_.vm));
  if (candidates.empty()) {
    return;
  }
  // Both sides must deviate by at least one range, so that ranges do not
  // oscillate.
  const double excess = std::floor(owned - own_fair_share);
  const double deficit =
      std::floor(candidates[0].fair_share - candidates[0].owned);
  const double n =
      std::min({excess, deficit, static_cast<double>(kRangesPerRebalance)});
  if (n >= 1) {
    StartTransfer(candidates[0].member, static_cast<uint32_t>(n), nullptr);
  }
}

void OwnershipController::Impl::Drain() {
  if (handover_finished_ || transfer_.has_value()) {
    return;
  }
  if (released_ || !acquired_) {
    handover_finished_ = !lease_write_in_flight_;
    return;
  }
  const uint32_t owned = CountRanges(settings_.vm);
  double own_fair_share = 0;
  const std::vector<Candidate> candidates = HandoverCandidates(&own_fair_share);
  if (!ranges_valid_ || (owned > 0 && !candidates.empty())) {
    if (MayWriteRanges()) {
      const double deficit =
          std::ceil(candidates[0].fair_share - candidates[0].owned);
      StartTransfer(candidates[0].member,
                    static_cast<uint32_t>(
                        std::clamp(deficit, 1.0, static_cast<double>(owned))),
                    &handover_keys_);
    }
    return;
  }
  Release();
}

void OwnershipController::Impl::StartTransfer(
    const MemberRecord& target,
    uint32_t count,
    const std::vector<RememberedKey>* keys) {
  Transfer transfer;
  transfer.target = target;
  transfer.deadline = Now() + kTransferTimeout;
  for (uint32_t i = 0; i < ranges_.size() && transfer.ranges.size() < count;
       ++i) {
    if (IsMine(ranges_[i])) {
      transfer.ranges.insert(i);
    }
  }
  const std::vector<uint32_t> ranges(transfer.ranges.begin(),
                                     transfer.ranges.end());
  const std::vector<RememberedKey> from_source =
      keys == nullptr ? key_source_(ranges) : std::vector<RememberedKey>{};
  transfer.id = next_transfer_++;
  RangeHandover part;
  size_t bytes = 0;
  const auto finish_part = [&](bool last) {
    part.incarnation = settings_.incarnation;
    part.ranges = ranges;
    part.last = last;
    part.transfer = transfer.id;
    part.part = static_cast<uint32_t>(transfer.parts.size());
    transfer.parts.push_back(std::exchange(part, {}));
    bytes = 0;
  };
  for (const auto& it : keys == nullptr ? from_source : *keys) {
    if (it.key.starts_with("k1.") ||
        !transfer.ranges.contains(KeyRange(it.key))) {
      continue;
    }
    bytes += it.key.size() + it.environment.size() + it.answer_json.size();
    part.keys.push_back(it);
    if (part.keys.size() >= kMaxKeysPerPart || bytes >= kMaxBytesPerPart) {
      finish_part(false);
    }
  }
  finish_part(true);
  transfer_ = std::move(transfer);
}

void OwnershipController::Impl::ContinueTransfer() {
  if (!transfer_.has_value()) {
    return;
  }
  if (transfer_->phase == Transfer::Phase::kWriting) {
    WriteTransfer();
    return;
  }
  if (transfer_->phase == Transfer::Phase::kSending) {
    SendParts();
  }
  if (Now() >= transfer_->deadline) {
    timed_out_targets_.insert(
        {transfer_->target.vm, transfer_->target.incarnation});
    transfer_.reset();
  }
}

void OwnershipController::Impl::SendParts() {
  for (size_t i = 0;
       i < kPartsPerTick && transfer_->next_part < transfer_->parts.size();
       ++i) {
    if (!transport_.Send(transfer_->target.peer_address,
                         transfer_->parts[transfer_->next_part])) {
      return;  // the next tick retries the same part
    }
    ++transfer_->next_part;
  }
  if (transfer_->next_part == transfer_->parts.size()) {
    transfer_->phase = Transfer::Phase::kAwaitingReply;
    transfer_->parts.clear();
  }
}

// The successor has all keys; writing the ranges row makes it the owner. After
// the write is sent, the transfer is not abandoned until the ranges show the
// outcome.
void OwnershipController::Impl::WriteTransfer() {
  if (!MayWriteRanges() || Now() < transfer_->next_write) {
    return;
  }
  Ranges ranges = ranges_;
  bool changed = false;
  for (const uint32_t i : transfer_->ranges) {
    if (IsMine(ranges[i])) {
      ranges[i].vm = transfer_->target.vm;
      ranges[i].incarnation = transfer_->target.incarnation;
      ++ranges[i].epoch;
      changed = true;
    }
  }
  if (!changed) {
    transfer_.reset();
    return;
  }
  transfer_->next_write = Now() + kWriteRetryInterval;
  Transaction transaction;
  transaction.checks = {{ranges_key_, ranges_version_}};
  transaction.writes = {{ranges_key_, EncodeRanges(ranges)}};
  WriteRanges(std::move(transaction), std::move(ranges),
              [](Impl&, TransactionOutcome) {});
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const RangeHandover& message) {
  if (message.incarnation != sender.incarnation) {
    return;
  }
  IncomingTransfer& incoming = incoming_[sender.vm];
  if (message.part == 0) {
    incoming = {sender.incarnation, message.transfer, 0, {}};
  }
  const bool in_order = incoming.incarnation == sender.incarnation &&
                        incoming.id == message.transfer &&
                        incoming.next_part == message.part;
  if (in_order) {
    ++incoming.next_part;
    incoming.keys.insert(incoming.keys.end(), message.keys.begin(),
                         message.keys.end());
  }
  if (!message.last) {
    return;
  }
  const bool accepted = in_order && !draining_ && acquired_;
  if (accepted) {
    received_keys_.insert(received_keys_.end(), incoming.keys.begin(),
                          incoming.keys.end());
    // The sender is about to make this daemon the owner in the ranges row.
    SchedulePoll(absl::Milliseconds(400));
  }
  incoming_.erase(sender.vm);
  transport_.Send(
      sender.peer_address,
      RangeHandoverReply{message.incarnation, message.transfer, accepted});
}

void OwnershipController::Impl::OnMessage(const MemberRecord& sender,
                                          const RangeHandoverReply& message) {
  if (!transfer_.has_value() ||
      transfer_->phase != Transfer::Phase::kAwaitingReply ||
      message.incarnation != settings_.incarnation ||
      message.transfer != transfer_->id || sender.vm != transfer_->target.vm ||
      sender.incarnation != transfer_->target.incarnation) {
    return;
  }
  if (message.accepted) {
    transfer_->phase = Transfer::Phase::kWriting;
    WriteTransfer();
  } else {
    transfer_.reset();
  }
}

// --- Decisions ---

bool OwnershipController::Impl::IsQuarantined(
    const Range& range,
    const JobKey& key,
    absl::Duration* retry_after) const {
  if (range.takeover_ms == 0) {
    return false;
  }
  // Predecessors accepted stamps up to one skew ahead of their clocks, which
  // differ from the clock of the daemon that took over by up to one skew.
  const absl::Time last_accepted =
      absl::FromUnixMillis(range.takeover_ms) + 2 * settings_.max_clock_skew;
  if (key.form == KeyForm::kStamped) {
    *retry_after = absl::ZeroDuration();
    return key.stamp <= last_accepted;
  }
  *retry_after = last_accepted + settings_.resubmission_window - clock_.Wall();
  return *retry_after > absl::ZeroDuration();
}

OwnershipDecision OwnershipController::Impl::Resolve(const JobKey& key) const {
  OwnershipDecision decision;
  decision.decided_at = Now();
  decision.verdict = OwnershipVerdict::kUnknown;
  decision.error.step = Step::kOwnership;
  if (superseded_ || membership_.self().state == MemberState::kGone) {
    decision.error.code = ErrorCode::kDraining;
  } else if (key.form == KeyForm::kMinted) {
    ResolveMinted(key, &decision);
  } else if (key.failure_domain != settings_.failure_domain) {
    const auto target = membership_.MostRecentlySeenIn(key.failure_domain);
    if (target.has_value()) {
      decision.verdict = OwnershipVerdict::kForward;
      decision.target = *target;
    } else {
      decision.error.code = ErrorCode::kUnreachable;
      decision.error.peer = key.failure_domain;
      decision.retry_after = kRetryAfter;
    }
  } else if (!ranges_valid_) {
    decision.error.code = ErrorCode::kNotReady;
    decision.retry_after = kRetryAfter;
  } else if (IsMine(ranges_[key.range])) {
    ResolveOwned(key, &decision);
  } else {
    ResolveNotOwned(key, &decision);
  }
  if (decision.verdict == OwnershipVerdict::kAccept ||
      decision.verdict == OwnershipVerdict::kForward) {
    decision.error = {};
  }
  return decision;
}

void OwnershipController::Impl::ResolveMinted(
    const JobKey& key,
    OwnershipDecision* decision) const {
  if (key.vm == settings_.vm && key.incarnation == settings_.incarnation) {
    const absl::Duration age = Now() - key.stamp;
    if (age > settings_.resubmission_window - kKeyExpiryMargin) {
      decision->error.code = ErrorCode::kKeyExpired;
    } else if (age < absl::ZeroDuration()) {
      decision->verdict = OwnershipVerdict::kNotRun;
      decision->error.code = ErrorCode::kInvalidArgument;
      decision->error.detail = "the key was not minted by this daemon";
    } else {
      decision->verdict = OwnershipVerdict::kAccept;
    }
    return;
  }
  const auto member = membership_.Find(key.vm);
  if (key.vm != settings_.vm && member.has_value() &&
      member->incarnation == key.incarnation &&
      membership_.IsReachable(key.vm)) {
    decision->verdict = OwnershipVerdict::kForward;
    decision->target = *member;
    return;
  }
  decision->error.code = ErrorCode::kUnreachable;
  decision->error.peer = key.vm;
  decision->error.detail = "the daemon that minted the key is not reachable";
}

// Returns `kNotRun` only while this daemon is certainly the sole owner: no
// other daemon can have accepted the key, and it is not in this daemon's job
// table.
void OwnershipController::Impl::ResolveOwned(
    const JobKey& key,
    OwnershipDecision* decision) const {
  const absl::Time now = Now();
  const absl::Time valid_until = LeaseValidUntil();
  decision->retry_after = kRetryAfter;
  if (IsQuarantined(ranges_[key.range], key, &decision->retry_after)) {
    decision->error.code = ErrorCode::kQuarantined;
    return;
  }
  const bool in_transfer =
      transfer_.has_value() && transfer_->ranges.contains(key.range);
  if (!received_keys_.empty() ||
      (in_transfer && transfer_->phase == Transfer::Phase::kWriting)) {
    decision->error.code = ErrorCode::kNotReady;
    decision->error.detail = "the key range is being handed over";
    return;
  }
  if (now >= valid_until) {
    decision->error.code = ErrorCode::kLeaseInvalid;
    // No other daemon takes over before the margin has also passed.
    if (now < valid_until + settings_.takeover_margin) {
      decision->verdict = OwnershipVerdict::kNotRun;
    }
    return;
  }
  if (key.form == KeyForm::kStamped) {
    const absl::Duration age = clock_.Wall() - key.stamp;
    if (age > settings_.resubmission_window - kKeyExpiryMargin) {
      decision->error.code = ErrorCode::kKeyExpired;
      return;
    }
    if (age < -settings_.max_clock_skew) {
      decision->verdict = OwnershipVerdict::kNotRun;
      decision->error.code = ErrorCode::kInvalidArgument;
      decision->error.detail = "the time stamp of the key is in the future";
      return;
    }
  }
  if (in_transfer || draining_) {
    decision->verdict = OwnershipVerdict::kNotRun;
    decision->error.code =
        draining_ ? ErrorCode::kDraining : ErrorCode::kNotReady;
    return;
  }
  decision->verdict = OwnershipVerdict::kAccept;
  decision->retry_after = absl::ZeroDuration();
}

void OwnershipController::Impl::ResolveNotOwned(
    const JobKey& key,
    OwnershipDecision* decision) const {
  const Range& range = ranges_[key.range];
  decision->retry_after = kRetryAfter;
  if (range.vm.empty() || range.vm == settings_.vm) {
    decision->error.code = ErrorCode::kNoOwner;
    return;
  }
  const auto member = membership_.Find(range.vm);
  if (member.has_value() && member->incarnation == range.incarnation &&
      membership_.IsReachable(range.vm)) {
    decision->verdict = OwnershipVerdict::kForward;
    decision->target = *member;
    return;
  }
  decision->error.code = ErrorCode::kUnreachable;
  decision->error.peer = range.vm;
}

void OwnershipController::Impl::OnPeerMessage(const MemberRecord& sender,
                                              const PeerMessage& message) {
  if (superseded_ || sender.vm == settings_.vm) {
    return;
  }
  std::visit([&](const auto& it) { OnMessage(sender, it); }, message);
}

OwnershipController::OwnershipController(const OwnershipSettings& settings,
                                         const Clock& clock,
                                         Store& store,
                                         PeerTransport& transport,
                                         const Membership& membership)
    : impl_(std::make_shared<Impl>(settings,
                                   clock,
                                   store,
                                   transport,
                                   membership)) {}

OwnershipController::~OwnershipController() = default;

void OwnershipController::Tick() {
  impl_->Tick();
}

void OwnershipController::OnPeerMessage(const MemberRecord& sender,
                                        const PeerMessage& message) {
  impl_->OnPeerMessage(sender, message);
}

OwnershipDecision OwnershipController::Resolve(const JobKey& key) const {
  return impl_->Resolve(key);
}

bool OwnershipController::IsLeaseValid() const {
  return impl_->IsLeaseValid();
}

bool OwnershipController::OwnsRange(uint32_t range) const {
  return impl_->OwnsRange(range);
}

std::vector<uint32_t> OwnershipController::OwnedRanges() const {
  return impl_->OwnedRanges();
}

void OwnershipController::BeginHandover(std::vector<RememberedKey> keys) {
  impl_->BeginHandover(std::move(keys));
}

bool OwnershipController::handover_finished() const {
  return impl_->handover_finished();
}

std::vector<RememberedKey> OwnershipController::TakeReceivedKeys() {
  return impl_->TakeReceivedKeys();
}

void OwnershipController::SetKeySource(KeySource source) {
  impl_->SetKeySource(std::move(source));
}

}  // namespace radishrail
