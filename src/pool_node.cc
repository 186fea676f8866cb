#include "radishrail/pool_node.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <exception>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "cancellations.h"
#include "forwarded_jobs.h"
#include "incarnation_history.h"
#include "key_pull.h"
#include "owner_choice.h"
#include "radishrail/decision_log.h"
#include "radishrail/evacuation_table.h"
#include "radishrail/job_answers.h"
#include "radishrail/log.h"
#include "radishrail/pool_dispatcher.h"
#include "radishrail/pool_ownership.h"
#include "radishrail/pool_router.h"
#include "radishrail/store_watcher.h"
#include "runner_table.h"

namespace radishrail {

namespace {

constexpr std::string_view kMemberPrefix = "members/";
constexpr absl::Duration kStatusInterval = absl::Milliseconds(100);
constexpr absl::Duration kIdleStatusInterval = absl::Seconds(1);
// Random peers that get a status, with the version of the configuration, in
// each `kIdleStatusInterval`. Sending it to all peers would make the number of
// messages grow with the square of the fleet.
constexpr size_t kGossipPeers = 3;
// An entry daemon that sends nothing for longer is reported as unresponsive;
// the leases of its jobs end somewhat later.
constexpr absl::Duration kEntrySilence = absl::Milliseconds(500);
// A connection that is reset while its failure domain is partitioned for less
// than this goes unnoticed. Owners in other domains report ten times a second.
constexpr absl::Duration kMaxOutsideGap = absl::Milliseconds(350);
// Number of messages without such a gap after which the next gap is taken for a
// partition. Daemons that hear only the idle reports of others reach it rarely.
constexpr int64_t kRegularOutsideMessages = 10;
// The runners' rows change with each heartbeat. Owners must notice a draining
// runner within 2 s; other daemons read the rows only to learn of new pools.
constexpr absl::Duration kOwnerPollInterval = absl::Milliseconds(400);
constexpr absl::Duration kNonOwnerSnapshotInterval = absl::Seconds(15);
// A request that was delayed for longer waited in the buffers of a paused
// process; its caller may have submitted the job elsewhere.
constexpr absl::Duration kMaxExcessTransitTime = absl::Milliseconds(400);
// The age of a message is judged by comparison with others of its sender. If a
// partition held up the first ones, recent ones have followed by then.
constexpr absl::Duration kMinContactTime = absl::Milliseconds(300);
// Without an allowance for drift, an owner would refuse all jobs of a peer
// after some hours. Two oscillators that are each off by up to 100 ppm.
constexpr double kMaxRelativeDrift = 200e-6;
// Longest time between two messages that is allowed for, so that the first
// message after a long pause is not its own standard.
constexpr absl::Duration kMaxDriftTime = absl::Minutes(1);
constexpr absl::Duration kMemberRetry = absl::Milliseconds(500);
// The interval doubles up to this, so that many daemons that start at once
// while the store is slow do not keep it busy.
constexpr absl::Duration kMaxMemberRetry = absl::Seconds(4);
// Short, since another daemon accepts the request at once.
constexpr absl::Duration kDrainRetry = absl::Milliseconds(100);
constexpr absl::Duration kRefusedRetry = absl::Milliseconds(200);
// Time from the last accepted job of a pool to its release, in which most of
// its jobs end. A peer that sent nothing for as long does not count as alive.
constexpr absl::Duration kReturnDelay = absl::Milliseconds(1500);
// A pool is not handed to a larger VM again within this time, since that VM may
// be unable to claim it.
constexpr absl::Duration kHandOverInterval = absl::Seconds(30);
constexpr absl::Duration kPullInterval = absl::Milliseconds(400);
// Interval in which more runners of a pool are used after its evacuation.
constexpr absl::Duration kReturnStep = absl::Milliseconds(200);
constexpr char kEvacuated[] = "the failure domain is being evacuated";

std::string EncodeMember(const MemberRecord& member) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, member);
  return {buf.data(), buf.size()};
}

std::optional<MemberRecord> DecodeMember(const std::string& value) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(value.data(), value.size());
    return handle.get().as<MemberRecord>();
  } catch (const std::exception& ec) {
    Log(LogLevel::kWarning, "the row of a member cannot be decoded",
        {{"detail", ec.what()}});
    return std::nullopt;
  }
}

// State of a peer's current incarnation; a new one begins with an empty state.
struct Peer {
  MemberRecord record;
  // Least difference between the local and the sender's clock, with allowance
  // for drift; includes the shortest transit time of a message.
  std::optional<absl::Duration> clock_difference;
  absl::Time clock_compared;  // when `clock_difference` was set
  // When the first message was received.
  absl::Time first_contact = absl::InfiniteFuture();
  absl::Time last_contact = absl::InfinitePast();
  // Renews the leases of the jobs that the peer sent.
  std::shared_ptr<ClientContact> client_contact =
      std::make_shared<ClientContact>();
  int64_t document_version = 0;
  int64_t evacuation_version = 0;
  // The peer has given up its requests with lower numbers.
  uint64_t oldest_request = 0;
  absl::Time status_sent_at = absl::InfinitePast();
  bool status_sent = false;  // a status was sent on the current connection
  bool keys_asked = false;   // for its cancelled keys
};

// True if the owner ended the job before its tasks. The caller may submit it
// again while runs continue.
bool EndedBeforeTasks(const JobAnswer& answer) {
  switch (answer.error.code) {
    case ErrorCode::kCancelled:
    case ErrorCode::kConnectionBroken:
      return true;
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kUpstreamFailed:
    case ErrorCode::kOutcomeUnknown:
      return answer.status == JobStatus::kFailed;
    default:
      return false;
  }
}

}  // namespace

class PoolNode::Impl {
 public:
  Impl(const PoolNodeSettings& settings,
       PoolNodeCodec codec,
       uint64_t incarnation,
       const PoolNodeDependencies& env,
       std::unique_ptr<Scheduler> scheduler)
      : settings_(settings),
        codec_(std::move(codec)),
        incarnation_(incarnation),
        env_(env),
        log_(env.clock, env.metrics),
        ownership_(
            {settings.vm, settings.failure_domain, settings.peer_address},
            env.clock,
            env.random,
            env.store,
            [this](const std::string& pool) { OnOwnerChanged(pool); }),
        dispatcher_(
            settings.failure_domain,
            settings.lease,
            env.clock,
            env.random,
            env.runners,
            std::move(scheduler),
            env.metrics,
            env.timeline,
            log_,
            [this](const std::string& pool) { ownership_.OnFenced(pool); }),
        router_(
            settings.failure_domain,
            incarnation,
            env.clock,
            env.transport,
            ownership_,
            [this](JobSpec job,
                   std::shared_ptr<const VersionedDocument> document,
                   AnswerCallback callback) {
              Dispatch("this daemon", std::move(job), std::move(document),
                       std::move(callback));
            },
            [this](const std::string& key) {
              dispatcher_.Cancel(key, ErrorCode::kConnectionBroken,
                                 {"the client disconnected"});
            },
            env.random,
            env.metrics,
            env.timeline,
            log_),
        // Starts at the incarnation, so that a reply to a former one matches
        // none.
        cancellations_(
            env.clock,
            incarnation,
            env.transport,
            [this] { return PoolsToTell(); },
            [this](const std::string& pool) { return HolderOf(pool); }),
        runner_watcher_(codec_.runner_prefix,
                        settings.runner_watch_wait,
                        env.clock,
                        env.store,
                        env.executor,
                        env.random,
                        [this](const std::vector<Row>& rows, bool is_snapshot) {
                          runners_.OnRows(rows, is_snapshot);
                          ApplyRunners();
                        }),
        operator_watcher_(
            codec_.operator_prefix,
            settings.document_watch_wait,
            env.clock,
            env.store,
            env.executor,
            env.random,
            [this](const std::vector<Row>& rows, bool is_snapshot) {
              OnDocumentRows(rows);
              OnEvacuations(evacuations_.OnRows(rows, is_snapshot,
                                                operator_watcher_.version()),
                            "store");
            }),
        evacuations_(codec_.evacuation_prefix, env.clock),
        runners_(
            env.clock,
            codec_.parse_runner,
            [this](const std::string& pool) {
              return ownership_.OwnedFence(pool) != 0;
            },
            env.metrics),
        document_version_(
            env.metrics.gauge("radishrail_document_version",
                              "Version of the configuration in force")),
        evacuated_domains_(
            env.metrics.gauge("radishrail_evacuated_domains",
                              "Failure domains under evacuation")),
        evacuation_runs_(
            env.metrics.gauge("radishrail_evacuation_runs",
                              "Tasks that run in owned pools under "
                              "evacuation")),
        evacuated_jobs_(
            env.metrics.counter("radishrail_evacuation_jobs_ended_total",
                                "Jobs with queued tasks that were ended since "
                                "their pool was evacuated")),
        replaced_senders_(env.metrics.counter(
            "radishrail_peer_messages_replaced_total",
            "Messages of replaced incarnations of peers, ignored")) {
    ownership_.SetPools({settings.failure_domain});
    runner_watcher_.TakeSnapshots(kNonOwnerSnapshotInterval);
  }

  void Start() {
    operator_watcher_.Start();
    runner_watcher_.Start();
    JoinMembers();
  }

  absl::Time Tick() {
    const absl::Time now = env_.clock.Monotonic();
    if (dispatcher_.paused()) {
      RefreshRunnerRows();
    }
    UpdateClientContact(now);
    absl::Time due = ownership_.Tick();
    router_.Tick();
    EndJobsWithEndingLease();
    ExpireRunners();
    AdvanceEvacuations(now);
    cancellations_.Tick();
    FinishKeyPull(now);
    SendStatus(now);
    PullDocuments(now);
    ReturnPools(now);
    AdvanceDrain(now);
    due = std::min(due, dispatcher_.Tick());
    return std::min(due, now + kStatusInterval / 2);
  }

  const RoutedDocument* FindRoute(std::string_view host,
                                  std::string_view path) const {
    return documents_.has_value() ? documents_->Find(host, path) : nullptr;
  }
  bool has_documents() const { return documents_.has_value(); }

  void OnClientsChecked(absl::Time time) { clients_checked_ = time; }

  uint64_t Submit(JobSpec job,
                  const RoutedDocument& route,
                  AnswerCallback callback,
                  absl::Time arrived) {
    arrived = std::min(arrived, env_.clock.Monotonic());
    if (handing_over_) {
      callback(NotRunAnswer(job,
                            {ErrorCode::kDraining, Step::kDrain, "",
                             "the daemon is shutting down"},
                            kDrainRetry, TaskErrors::kOmitted));
      return 0;
    }
    // An owner that was started since may not know it.
    if (dispatcher_.IsCancelled(job.key)) {
      callback(NotRunAnswer(job,
                            {ErrorCode::kCancelled, Step::kQueue, "",
                             "the caller cancelled the job before"},
                            absl::ZeroDuration(), TaskErrors::kOmitted));
      return 0;
    }
    job.lease = std::make_shared<JobLease>(arrived, client_contact_);
    return router_.Submit(std::move(job), route, std::move(callback));
  }

  void Abandon(uint64_t submission) { router_.Abandon(submission); }

  void Cancel(const std::string& key,
              std::function<void(CancelResult)> on_result) {
    // Withdrawn first: the cancellation of a job in the own pool answers it.
    const bool withdrawn = router_.Withdraw(key);
    const bool known =
        CancelForClient(key, {"a client cancelled the job"}) || withdrawn;
    cancellations_.Cancel(key, known, std::move(on_result));
  }

  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message) {
    switch (incarnations_[sender.peer_address].Observe(
        sender.incarnation, env_.clock.Monotonic())) {
      case internal::IncarnationState::kReplaced:
        // Held up on its way. Its sender is gone, and the jobs that it ordered
        // may run elsewhere.
        replaced_senders_.Add();
        Log(LogLevel::kInfo, "message of a replaced incarnation ignored",
            {{"peer", sender.peer_address},
             {"message", std::string(PeerMessageName(message))}});
        return;
      case internal::IncarnationState::kNew:
        ReplacePeer(sender);
        break;
      case internal::IncarnationState::kCurrent:
        break;
    }
    Peer& peer = peers_[sender.peer_address];
    peer.record = sender;
    PullKeysOnContact(peer);
    peer.first_contact = std::min(peer.first_contact, env_.clock.Monotonic());
    if (const auto* status = std::get_if<PoolStatus>(&message)) {
      OnStatus(peer, *status);
    } else if (const auto* job = std::get_if<PoolJobRequest>(&message)) {
      const absl::Duration excess_transit_time =
          ExcessTransitTime(peer, job->sent_us);
      OnContact(peer, env_.clock.Monotonic() - excess_transit_time);
      OnJob(peer, *job, excess_transit_time);
    } else if (const auto* reply = std::get_if<PoolJobReply>(&message)) {
      router_.OnReply(*reply);
    } else if (const auto* cancel = std::get_if<PoolJobCancel>(&message)) {
      OnCancel(sender.peer_address, *cancel);
    } else if (const auto* answer = std::get_if<PoolJobCancelReply>(&message)) {
      cancellations_.OnReply(*answer);
    } else if (const auto* request =
                   std::get_if<CancelledKeysRequest>(&message)) {
      env_.transport.Send(
          sender.peer_address,
          CancelledKeysReply{request->request, dispatcher_.KeysForPeer()});
    } else if (const auto* keys = std::get_if<CancelledKeysReply>(&message)) {
      OnCancelledKeys(sender.peer_address, *keys);
    } else if (const auto* pull = std::get_if<DocumentPull>(&message)) {
      SendDocuments(sender.peer_address, pull->after_revision);
    } else if (const auto* push = std::get_if<DocumentPush>(&message)) {
      for (const auto& it : push->changes) {
        ApplyDocuments(it.body, sender.vm);
      }
    }
  }

  void OnPeerDisconnected(const std::string& address) {
    const auto peer = peers_.find(address);
    if (peer != peers_.end()) {
      peer->second.status_sent = false;
    }
    key_pull_.Remove(address);
    ownership_.OnPeerDisconnected(address);
    router_.OnPeerDisconnected(address);
    CancelJobsOfEntry(address, "the connection to the entry daemon broke");
  }

  void OnSenderDisconnected(const MemberRecord& sender) {
    if (incarnations_[sender.peer_address].IsCurrent(sender.incarnation)) {
      OnPeerDisconnected(sender.peer_address);
    }
  }

  void BeginDrain() {
    if (!drain_started_.has_value()) {
      drain_started_ = env_.clock.Monotonic();
      Log(LogLevel::kInfo, "graceful shutdown started: reporting not ready");
    }
  }
  bool drained() const { return drained_; }
  bool ready() const {
    return documents_.has_value() && !drain_started_.has_value() && HasOwner();
  }

  MemberRecord self() const {
    MemberRecord self;
    self.vm = settings_.vm;
    self.incarnation = incarnation_;
    self.failure_domain = settings_.failure_domain;
    self.peer_address = settings_.peer_address;
    self.state = MemberState::kReady;
    self.weight = settings_.cpu_millicores;
    return self;
  }

 private:
  // The jobs of a peer's former incarnation have no caller any more.
  void ReplacePeer(const MemberRecord& sender) {
    CancelJobsOfEntry(sender.peer_address, "the entry daemon has restarted");
    peers_[sender.peer_address] = {};
    peers_[sender.peer_address].record = sender;
    UpdateClaimDelay();
  }

  void OnContact(Peer& peer, absl::Time sent) {
    peer.last_contact = std::max(peer.last_contact, sent);
    if (peer.record.failure_domain != settings_.failure_domain) {
      OnOutsideContact(sent);
    }
  }

  void OnOutsideContact(absl::Time sent) {
    if (sent - outside_contact_ > kMaxOutsideGap) {
      EndOutsideContact();
    } else {
      ++outside_messages_;
    }
    outside_contact_ = std::max(outside_contact_, sent);
    outside_received_ = env_.clock.Monotonic();
  }

  bool HearsOutside() const {
    return outside_messages_ >= kRegularOutsideMessages ||
           (outside_resumed_ && outside_owner_heard_);
  }

  // Connections of clients outside may have been reset in a partition without a
  // sign here, so their jobs are not renewed any more. Clients that connect
  // during the partition are on this side of it.
  void EndOutsideContact() {
    if (HearsOutside()) {
      client_contact_ = std::make_shared<ClientContact>(
          ClientContact{absl::InfinitePast(), client_contact_->epoch + 1});
      outside_resumed_ = outside_messages_ >= kRegularOutsideMessages;
    }
    outside_messages_ = 0;
    outside_owner_heard_ = false;
  }

  void UpdateClientContact(absl::Time now) {
    // After a pause, messages may wait to be processed.
    if (now - last_tick_ > kMaxOutsideGap / 2) {
      outside_received_ = now;
    }
    last_tick_ = now;
    if (now - outside_received_ > kMaxOutsideGap) {
      EndOutsideContact();
    }
    client_contact_->last = LastClientContact();
  }

  // Limited to the last message from outside, since it takes a while until a
  // partition is noticed.
  absl::Time LastClientContact() const {
    return HearsOutside() ? std::min(clients_checked_, outside_contact_)
                          : clients_checked_;
  }

  bool HasOwner() const {
    const auto pools = ownership_.Pools();
    return std::any_of(pools.begin(), pools.end(), [this](const auto& it) {
      return ownership_.Owner(it) != nullptr;
    });
  }

  // --- Members ---

  // Each daemon writes its row before it reads those of the others, so that of
  // any two daemons at least one finds the other.
  void JoinMembers() {
    Transaction transaction;
    transaction.writes.push_back(
        {std::string(kMemberPrefix) + settings_.vm, EncodeMember(self())});
    env_.store.Transact(
        std::move(transaction), [this](TransactionOutcome outcome,
                                       const std::string&, const Error& error) {
          if (outcome != TransactionOutcome::kCommitted) {
            Log(LogLevel::kWarning, "writing the row of this member failed",
                {{"detail", error.ToString()}});
            RetryJoin();
            return;
          }
          ReadMembers();
        });
  }

  void ReadMembers() {
    env_.store.List(
        std::string(kMemberPrefix),
        [this](std::optional<std::vector<Row>> rows, const Error& error) {
          if (!rows.has_value()) {
            Log(LogLevel::kWarning, "reading the members failed",
                {{"detail", error.ToString()}});
            RetryJoin();
            return;
          }
          for (const auto& it : *rows) {
            const auto member = DecodeMember(it.value);
            // What a peer has said of itself may be newer than its row.
            if (member.has_value() && member->vm != settings_.vm &&
                !incarnations_.contains(member->peer_address)) {
              peers_[member->peer_address].record = *member;
            }
          }
          members_known_ = true;
          AskForKeys();
          UpdateClaimDelay();
        });
  }

  void UpdateClaimDelay() {
    uint32_t largest = 0;
    for (const auto& [address, peer] : peers_) {
      largest = std::max(largest, peer.record.weight);
    }
    ownership_.SetClaimDelay(
        internal::ClaimDelay(settings_.cpu_millicores, largest));
  }

  void RetryJoin() {
    env_.executor.PostDelayed(member_retry_ * (0.5 + env_.random.Unit()),
                              [this] { JoinMembers(); });
    member_retry_ = std::min(member_retry_ * 2, kMaxMemberRetry);
  }

  // Owners send their status to all daemons. Others send it to owners, at a
  // shorter interval to those that run their jobs, and once per connection to
  // each peer, which learns of them this way.
  std::vector<std::string> PeersDueForStatus(absl::Time now) {
    std::vector<std::string> due;
    const bool owner = OwnsAnyPool();
    const std::set<std::string> owners = OwnerAddresses();
    for (auto& [address, peer] : peers_) {
      const absl::Duration age = now - peer.status_sent_at;
      if (age < kStatusInterval) {
        continue;
      }
      const bool frequent = owner || router_.HasPendingAt(address);
      if (!frequent && age < kIdleStatusInterval) {
        continue;
      }
      if (frequent || !peer.status_sent || owners.contains(address)) {
        peer.status_sent_at = now;
        peer.status_sent = true;
        due.push_back(address);
      }
    }
    if (gossip_due_ <= now && !peers_.empty()) {
      gossip_due_ = now + kIdleStatusInterval;
      for (size_t i = 0; i < std::min(kGossipPeers, peers_.size()); ++i) {
        due.push_back(
            std::next(peers_.begin(), static_cast<std::ptrdiff_t>(
                                          env_.random.Below(peers_.size())))
                ->first);
      }
    }
    return due;
  }

  // The router gets the load of the own pools here, also without peers.
  void SendStatus(absl::Time now) {
    const std::vector<std::string> due = PeersDueForStatus(now);
    const bool own_load_due =
        OwnsAnyPool() && now - own_load_reported_at_ >= kStatusInterval;
    if (due.empty() && !own_load_due) {
      return;
    }
    own_load_reported_at_ = now;
    PoolStatus status = MakeStatus();
    for (const auto& it : due) {
      status.oldest_request = router_.OldestRequestAt(it);
      status.evacuations =
          peers_[it].evacuation_version < status.evacuation_version
              ? evacuations_.States()
              : std::vector<PoolEvacuation>();
      env_.transport.Send(it, status);
    }
    for (const auto& it : status.claims) {
      router_.OnClaim(it, now);
    }
  }

  std::set<std::string> OwnerAddresses() const {
    std::set<std::string> addresses;
    for (const auto& it : ownership_.Pools()) {
      const PoolClaim* owner = ownership_.Owner(it);
      if (owner != nullptr && owner->owner != settings_.vm) {
        addresses.insert(owner->address);
      }
    }
    return addresses;
  }

  bool OwnsAnyPool() const {
    const auto pools = ownership_.Pools();
    return std::any_of(pools.begin(), pools.end(), [this](const auto& it) {
      return ownership_.OwnedFence(it) != 0;
    });
  }

  PoolStatus MakeStatus() {
    PoolStatus status;
    for (const auto& it : dispatcher_.SharedFates()) {
      status.run_fates.push_back({it.job_key, it.task_id, it.vm,
                                  static_cast<uint32_t>(it.fate),
                                  it.incarnation});
    }
    status.sent_us = absl::ToUnixMicros(env_.clock.Monotonic());
    status.client_contact_us = absl::ToUnixMicros(client_contact_->last);
    status.contact_epoch = client_contact_->epoch;
    status.document_version = documents_.has_value() ? documents_->version : 0;
    status.evacuation_version = evacuations_.version();
    const SchedulerLoad load = dispatcher_.load();
    for (const auto& it : ownership_.Pools()) {
      const uint64_t fence = ownership_.OwnedFence(it);
      if (fence == 0) {
        continue;
      }
      PoolClaim claim;
      claim.pool = it;
      claim.fence = fence;
      claim.owner = settings_.vm;
      claim.address = settings_.peer_address;
      claim.accepting = !handing_over_ && !returning_.contains(it) &&
                        !evacuations_.IsActive(it) && !key_pull_.IsPulling(it);
      claim.slots = static_cast<uint32_t>(std::max(load.slots, 0));
      claim.busy_slots = static_cast<uint32_t>(std::max(load.busy_slots, 0));
      claim.backlog_ms =
          static_cast<uint32_t>(absl::ToInt64Milliseconds(load.backlog));
      claim.room = EncodeRoom(dispatcher_.room());
      status.claims.push_back(std::move(claim));
    }
    return status;
  }

  // Transit time of a message beyond that of the peer's fastest message.
  absl::Duration ExcessTransitTime(Peer& peer, int64_t sent_us) {
    const absl::Time now = env_.clock.Monotonic();
    const absl::Duration difference = now - absl::FromUnixMicros(sent_us);
    const absl::Duration drift =
        kMaxRelativeDrift * std::min(now - peer.clock_compared, kMaxDriftTime);
    peer.clock_difference =
        peer.clock_difference.has_value()
            ? std::min(*peer.clock_difference + drift, difference)
            : difference;
    peer.clock_compared = now;
    return difference - *peer.clock_difference;
  }

  // The local time of a time on the clock of a peer that has sent messages;
  // zero: `sent`.
  static absl::Time LocalTime(const Peer& peer, int64_t us, int64_t sent_us) {
    return absl::FromUnixMicros(us == 0 ? sent_us : us) +
           peer.clock_difference.value_or(absl::ZeroDuration());
  }

  // The contact of an epoch that has ended is not renewed.
  static std::shared_ptr<ClientContact> ContactOf(Peer& peer, uint32_t epoch) {
    if (peer.client_contact->epoch == epoch) {
      return peer.client_contact;
    }
    auto contact = std::make_shared<ClientContact>(
        ClientContact{absl::InfinitePast(), epoch});
    if (peer.client_contact->epoch < epoch) {
      peer.client_contact = contact;
    }
    return contact;
  }

  // Cancels the jobs that their entry daemon has given up.
  void CancelGivenUpJobs(const std::string& address, uint64_t oldest_request) {
    for (const auto& key : forwarded_.KeysBefore(address, oldest_request)) {
      dispatcher_.Cancel(
          key, ErrorCode::kConnectionBroken,
          CauseOf("a status message of the entry daemon has given the job up",
                  address, forwarded_.RequestOf(address, key), oldest_request));
    }
  }

  CancelCause CauseOf(std::string_view reason,
                      const std::string& entry,
                      uint64_t request = 0,
                      uint64_t oldest_request = 0) const {
    CancelCause cause{reason, entry, request, oldest_request, std::nullopt};
    const auto peer = peers_.find(entry);
    if (peer != peers_.end() &&
        peer->second.last_contact != absl::InfinitePast()) {
      cause.entry_silence = env_.clock.Monotonic() - peer->second.last_contact;
    }
    return cause;
  }

  void OnStatus(Peer& peer, const PoolStatus& status) {
    const absl::Time sent =
        env_.clock.Monotonic() - ExcessTransitTime(peer, status.sent_us);
    peer.oldest_request = std::max(peer.oldest_request, status.oldest_request);
    CancelGivenUpJobs(peer.record.peer_address, peer.oldest_request);
    OnContact(peer, sent);
    outside_owner_heard_ =
        outside_owner_heard_ ||
        (peer.record.failure_domain != settings_.failure_domain &&
         !status.claims.empty());
    absl::Time& client_contact = ContactOf(peer, status.contact_epoch)->last;
    client_contact =
        std::max(client_contact,
                 LocalTime(peer, status.client_contact_us, status.sent_us));
    peer.document_version = status.document_version;
    peer.evacuation_version = status.evacuation_version;
    OnEvacuations(evacuations_.OnPeer(status.evacuations), peer.record.vm);
    for (const auto& it : status.run_fates) {
      dispatcher_.OnPeerFate({it.job_key, it.task_id, it.vm, it.incarnation,
                              static_cast<UpstreamFate>(it.fate)});
    }
    ResolveDoubts(peer.record.vm, status);
    for (const auto& it : status.claims) {
      ownership_.SetPools({it.pool});
      ownership_.OnClaim(it, sent);
      router_.OnClaim(it, sent);
    }
  }

  // --- Jobs for this daemon's pools ---

  // Not ok if a job must not be taken.
  Error CheckRequest(const std::string& address,
                     const PoolJobRequest& request,
                     absl::Duration excess_transit_time) {
    if (excess_transit_time > kMaxExcessTransitTime) {
      return {ErrorCode::kNotReady, Step::kOwnership, "",
              "the request was delayed for too long in transit"};
    }
    if (env_.clock.Monotonic() - peers_[address].first_contact <
        kMinContactTime) {
      return {ErrorCode::kNotReady, Step::kOwnership, "",
              "the age of the request is not known yet"};
    }
    if (request.request < peers_[address].oldest_request) {
      return {ErrorCode::kNotReady, Step::kOwnership, "",
              "the entry daemon has given up the request"};
    }
    if (ownership_.OwnedFence(request.pool) == 0 || handing_over_) {
      return {ErrorCode::kNoOwner, Step::kOwnership, "",
              "this daemon does not own the pool"};
    }
    if (evacuations_.IsActive(request.pool)) {
      return {ErrorCode::kNoOwner, Step::kOwnership, "", kEvacuated};
    }
    if (key_pull_.IsPulling(request.pool)) {
      return {ErrorCode::kNotReady, Step::kOwnership, "",
              "the cancelled keys of the peers are not known yet"};
    }
    return {};
  }

  void OnJob(Peer& peer,
             const PoolJobRequest& request,
             absl::Duration excess_transit_time) {
    const std::string& address = peer.record.peer_address;
    JobSpec job;
    job.lease = std::make_shared<JobLease>(
        LocalTime(peer, request.arrived_us, request.sent_us),
        ContactOf(peer, request.contact_epoch));
    job.key = request.key;
    job.environment = request.environment;
    job.upstream_class = request.upstream_class;
    job.payload = request.payload;
    job.deadline = absl::Milliseconds(request.deadline_ms);
    job.promised = absl::Milliseconds(request.promised_ms);
    job.priority = request.priority;
    job.best_effort = true;
    for (size_t i = 0; i < request.steps.size(); ++i) {
      const PoolStep& step = request.steps[i];
      TaskSpec task;
      task.kind = request.environment;
      task.declared_run = absl::Milliseconds(step.declared_ms);
      task.declared_slots = static_cast<int>(step.slots);
      task.preferred_rack = step.preferred_rack;
      task.max_failures = static_cast<int>(request.max_failures);
      task.restartable = true;
      for (uint32_t n = 0; n < step.count && job.tasks.size() < kMaxTasksPerJob;
           ++n) {
        task.id = absl::StrCat("0.", i, ".", n);
        job.tasks.push_back(task);
      }
    }
    const uint64_t number =
        forwarded_.Add({address, request.request, request.key});
    const Error refusal = CheckRequest(address, request, excess_transit_time);
    RecordReceipt(address, request);
    if (!refusal.ok()) {
      log_.Write(Decision::kJobNotAdmitted, request.key,
                 ErrorCodeName(refusal.code),
                 {{"entry", address},
                  {"entry_request", absl::StrCat(request.request)},
                  {"detail", refusal.detail}});
      JobAnswer answer;
      answer.status = JobStatus::kNotRun;
      answer.error = refusal;
      answer.retry_after = kRefusedRetry;
      Reply(number, answer);
      return;
    }
    auto document = std::make_shared<VersionedDocument>(DocumentOf(request));
    Dispatch(
        address, std::move(job), std::move(document),
        [this, number](const JobAnswer& answer) { Reply(number, answer); });
  }

  void RecordReceipt(const std::string& address,
                     const PoolJobRequest& request) {
    Event event;
    event.type = EventType::kJobReceived;
    event.job = request.key;
    event.peer = address;
    event.cause =
        absl::StrCat("request ", request.request, " pool ", request.pool);
    env_.timeline.Record(std::move(event));
  }

  // Dispatches a job in this daemon's pools and logs how it ends.
  void Dispatch(const std::string& entry,
                JobSpec job,
                std::shared_ptr<const VersionedDocument> document,
                AnswerCallback callback) {
    const SchedulerLoad load = dispatcher_.load();
    log_.Write(
        Decision::kJobAdmitted, job.key, "queued",
        {{"entry", entry},
         {"tasks", absl::StrCat(job.tasks.size())},
         {"environment", job.environment},
         {"promised_ms", absl::StrCat(absl::ToInt64Milliseconds(job.promised))},
         {"busy_slots", absl::StrCat(load.busy_slots)},
         {"slots", absl::StrCat(load.slots)},
         {"backlog_ms",
          absl::StrCat(absl::ToInt64Milliseconds(load.backlog))}});
    const absl::Time accepted = env_.clock.Monotonic();
    const absl::Duration promised = job.promised;
    dispatcher_.Submit(
        std::move(job), std::move(document),
        [this, accepted, promised,
         callback = std::move(callback)](const JobAnswer& answer) {
          LogEnd(answer, env_.clock.Monotonic() - accepted, promised);
          callback(answer);
        });
  }

  void LogEnd(const JobAnswer& answer,
              absl::Duration took,
              absl::Duration promised) {
    if (answer.status == JobStatus::kFailed &&
        answer.error.code == ErrorCode::kDeadlineExceeded) {
      log_.Write(Decision::kJobCancelled, answer.key, "the deadline passed",
                 {{"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))}});
    }
    log_.Write(
        answer.status == JobStatus::kNotRun ? Decision::kJobNotAdmitted
                                            : Decision::kJobEnded,
        answer.key, JobStatusName(answer.status),
        {{"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))},
         {"promised_ms", absl::StrCat(absl::ToInt64Milliseconds(promised))},
         {"error", std::string(ErrorCodeName(answer.error.code))},
         {"detail", answer.error.detail}});
    if (EndedBeforeTasks(answer) || dispatcher_.WasCancelled(answer.key)) {
      log_.WriteCancelHistory(answer.key, env_.timeline);
    } else if (answer.status == JobStatus::kFailed || took > promised) {
      log_.WriteHistory(answer.key, env_.timeline);
    }
  }

  // The entry daemon chose the route by its version of the configuration; the
  // owner needs only the policies for its job table.
  VersionedDocument DocumentOf(const PoolJobRequest& request) const {
    VersionedDocument document;
    document.version = request.document_version;
    const RoutedDocument* route =
        documents_.has_value()
            ? documents_->FindEnvironment(request.environment)
            : nullptr;
    if (route != nullptr) {
      document.document = route->document->document;
    }
    document.document.environment = request.environment;
    document.document.upstream_classes = {request.upstream_class};
    return document;
  }

  void Reply(uint64_t number, const JobAnswer& answer) {
    const auto job = forwarded_.Take(number);
    if (!job.has_value()) {
      return;
    }
    PoolJobReply reply;
    reply.request = job->request;
    reply.key = job->key;
    reply.status = static_cast<uint32_t>(answer.status);
    reply.error = static_cast<uint32_t>(answer.error.code);
    reply.detail = answer.error.detail;
    reply.retry_after_ms =
        static_cast<uint32_t>(absl::ToInt64Milliseconds(answer.retry_after));
    const SchedulerLoad load = dispatcher_.load();
    reply.busy_slots = static_cast<uint32_t>(std::max(load.busy_slots, 0));
    reply.backlog_ms =
        static_cast<uint32_t>(absl::ToInt64Milliseconds(load.backlog));
    if (IsRefusal(answer)) {
      reply.room = EncodeRoom(dispatcher_.room());
    }
    env_.transport.Send(job->address, reply);
  }

  void CancelJobsOfEntry(const std::string& address, const char* reason) {
    const std::vector<std::string> keys = forwarded_.TakeAll(address);
    if (keys.empty()) {
      return;
    }
    Log(LogLevel::kInfo, "jobs of an entry daemon cancelled",
        {{"peer", address},
         {"jobs", absl::StrCat(keys.size())},
         {"reason", reason}});
    const CancelCause cause = CauseOf(reason, address);
    for (const auto& it : keys) {
      dispatcher_.Cancel(it, ErrorCode::kConnectionBroken, cause);
    }
  }

  // Without a message or a check of its clients, the entry daemon of a job may
  // have lost them.
  void EndJobsWithEndingLease() {
    const std::vector<std::string> entries = forwarded_.Entries();
    for (const auto& key : dispatcher_.JobsWithEndingLease()) {
      CancelCause cause = {"the clients were not checked"};
      for (const auto& it : entries) {
        const uint64_t request = forwarded_.RequestOf(it, key);
        if (request != 0) {
          cause = CauseOf("the entry daemon did not confirm its clients", it,
                          request);
        }
      }
      if (cause.entry_silence.value_or(absl::ZeroDuration()) > kEntrySilence) {
        cause.reason = "the entry daemon is unresponsive";
      }
      dispatcher_.Cancel(key, ErrorCode::kConnectionBroken, cause);
    }
  }

  void OnCancel(const std::string& address, const PoolJobCancel& cancel) {
    if (cancel.request != 0) {
      const bool known = CancelForClient(
          cancel.key, CauseOf("a client cancelled the job", address));
      env_.transport.Send(
          address, PoolJobCancelReply{cancel.request, known, HasDoubt()});
    } else if (cancel.job_request == 0 ||
               cancel.job_request ==
                   forwarded_.RequestOf(address, cancel.key)) {
      dispatcher_.Cancel(cancel.key, ErrorCode::kConnectionBroken,
                         CauseOf("a message of the entry daemon cancelled it",
                                 address, cancel.job_request));
    }
  }

  // --- Cancelled keys ---

  // True if the job was in progress. It may have been cancelled a moment ago by
  // a former request of the client.
  bool CancelForClient(const std::string& key, const CancelCause& cause) {
    return dispatcher_.Cancel(key, ErrorCode::kCancelled, cause) ||
           dispatcher_.WasCancelled(key);
  }

  // Before the rows of runners have been read there may be pools that are not
  // known yet; an empty name, which has no owner, stands for them.
  std::vector<std::string> PoolsToTell() const {
    std::vector<std::string> pools = ownership_.Pools();
    if (runners_.age() == absl::InfiniteDuration()) {
      pools.emplace_back();
    }
    return pools;
  }

  // While this daemon has taken a pool over from a daemon that it does not
  // hear, that daemon may still have jobs at work in the pool.
  internal::PoolHolder HolderOf(const std::string& pool) {
    using Kind = internal::PoolHolder::Kind;
    const PoolClaim* owner = ownership_.Owner(pool);
    if (owner == nullptr) {
      return {};
    }
    if (owner->owner != settings_.vm) {
      return {Kind::kPeer, owner->address};
    }
    return IsInDoubt(pool) ? internal::PoolHolder()
                           : internal::PoolHolder{Kind::kSelf, ""};
  }

  // A runner that has answered under the new fence obeys the former owner no
  // longer.
  bool IsInDoubt(const std::string& pool) {
    if (!in_doubt_.contains(pool)) {
      return false;
    }
    if (runners_.is_awaiting_rows()) {
      return true;
    }
    for (const auto& [key, runner] : runners_.runners()) {
      if (runner.info.failure_domain == pool &&
          !dispatcher_.HasAnswered(runner.info.vm)) {
        return true;
      }
    }
    in_doubt_.erase(pool);
    return false;
  }

  bool HasDoubt() {
    const auto pools = ownership_.Pools();
    return std::any_of(pools.begin(), pools.end(),
                       [this](const auto& it) { return IsInDoubt(it); });
  }

  // A former owner that is heard and does not claim the pool has given it up.
  void ResolveDoubts(const std::string& vm, const PoolStatus& status) {
    std::erase_if(in_doubt_, [&](const auto& it) {
      return it.second == vm &&
             std::none_of(status.claims.begin(), status.claims.end(),
                          [&](const PoolClaim& claim) {
                            return claim.pool == it.first;
                          });
    });
  }

  void OnPoolAcquired(const std::string& pool) {
    const std::string former = ownership_.TakenFrom(pool);
    if (!former.empty()) {
      in_doubt_[pool] = former;
    }
    key_pull_.Begin(pool, env_.clock.Monotonic());
    ownership_.SetAccepting(pool, false);
    for (auto& [address, peer] : peers_) {
      peer.keys_asked = false;
    }
    AskForKeys();
    FinishKeyPull(env_.clock.Monotonic());
  }

  // Peers that have fallen silent are not waited for, but asked when they are
  // heard again.
  void AskForKeys() {
    if (!key_pull_.active()) {
      return;
    }
    const absl::Time now = env_.clock.Monotonic();
    for (auto& [address, peer] : peers_) {
      const bool silent = peer.last_contact != absl::InfinitePast() &&
                          now - peer.last_contact > kReturnDelay;
      if (silent || peer.keys_asked) {
        continue;
      }
      peer.keys_asked = env_.transport.Send(address, CancelledKeysRequest{0});
      if (peer.keys_asked) {
        key_pull_.Await(address);
      }
    }
  }

  void PullKeysOnContact(Peer& peer) {
    if (!peer.keys_asked && OwnsAnyPool()) {
      peer.keys_asked = env_.transport.Send(peer.record.peer_address,
                                            CancelledKeysRequest{0});
    }
  }

  void OnCancelledKeys(const std::string& address,
                       const CancelledKeysReply& reply) {
    dispatcher_.OnPeerCancelledKeys(reply.keys);
    key_pull_.Remove(address);
    FinishKeyPull(env_.clock.Monotonic());
  }

  void FinishKeyPull(absl::Time now) {
    const auto pools = key_pull_.TakeFinished(members_known_, now);
    for (const auto& it : pools) {
      ownership_.SetAccepting(it, !returning_.contains(it));
    }
    if (!pools.empty()) {
      OnOwnershipChanged();
    }
  }

  // --- Runners ---

  void FollowRunnerRows(bool follow) {
    if (follow && !following_rows_) {
      runners_.AwaitRows();
      runner_watcher_.FollowChanges(kOwnerPollInterval);
    } else if (!follow && following_rows_) {
      runners_.StopAwaitingRows();
      runner_watcher_.TakeSnapshots(kNonOwnerSnapshotInterval);
    }
    following_rows_ = follow;
  }

  void RefreshRunnerRows() {
    if (following_rows_) {
      runners_.AwaitRows();
      runner_watcher_.Refresh();
      ApplyRunners();
    }
  }

  void ExpireRunners() {
    const bool removed = runners_.RemoveMissing(
        [this](const std::string& vm) { return dispatcher_.Usable(vm); });
    if (runners_.ExpireWait() || removed) {
      ApplyRunners();
    }
  }

  void ApplyRunners() {
    std::set<std::string> pools = {settings_.failure_domain};
    std::map<std::string, int> runners_to_use = UsableRunners();
    std::vector<LeasedUpstreamClient::OwnedRunner> owned;
    absl::flat_hash_map<std::string, std::string> domain_of_rack;
    for (const auto& [key, runner] : runners_.runners()) {
      const std::string& pool = runner.info.failure_domain;
      pools.insert(pool);
      if (settings_.remote_run_factor > 1 && !runner.info.rack.empty()) {
        domain_of_rack[runner.info.rack] = pool;
      }
      const uint64_t fence = ownership_.OwnedFence(pool);
      if (fence != 0) {
        owned.push_back({runner.info, fence,
                         !runners_.is_awaiting_rows() &&
                             !returning_.contains(pool) &&
                             runners_to_use[pool]-- > 0});
      }
    }
    ownership_.SetPools({pools.begin(), pools.end()});
    dispatcher_.SetRunners(std::move(owned));
    router_.SetRacks(std::move(domain_of_rack), settings_.remote_run_factor);
  }

  // Number of runners that may get tasks, by failure domain.
  std::map<std::string, int> UsableRunners() const {
    std::map<std::string, int> runners;
    for (const auto& [key, runner] : runners_.runners()) {
      ++runners[runner.info.failure_domain];
    }
    for (auto& [pool, number] : runners) {
      number =
          static_cast<int>(std::ceil(number * evacuations_.UsableShare(pool)));
    }
    return runners;
  }

  void OnOwnerChanged(const std::string& pool) {
    if (ownership_.OwnedFence(pool) != 0) {
      Log(LogLevel::kInfo, "pool acquired",
          {{"pool", pool},
           {"runner_rows_age_ms",
            absl::StrCat(absl::ToInt64Milliseconds(runners_.age()))}});
      OnPoolAcquired(pool);
    } else {
      in_doubt_.erase(pool);
    }
    OnOwnershipChanged();
  }

  void OnOwnershipChanged() {
    FollowRunnerRows(OwnsAnyPool());
    ApplyRunners();
    for (auto& [address, peer] : peers_) {
      peer.status_sent_at = absl::InfinitePast();
    }
  }

  // --- Evacuations ---

  void OnEvacuations(const std::vector<EvacuationTable::Change>& changes,
                     const std::string& source) {
    if (changes.empty()) {
      return;
    }
    for (const auto& it : changes) {
      Log(LogLevel::kInfo,
          it.active ? "evacuation requested" : "evacuation withdrawn",
          {{"failure_domain", it.domain},
           {"row_version", absl::StrCat(it.version)},
           {"source", source}});
      if (it.active && ownership_.OwnedFence(it.domain) != 0) {
        evacuating_.try_emplace(it.domain, env_.clock.Monotonic());
      }
    }
    const std::set<std::string> active = evacuations_.ActiveDomains();
    evacuated_domains_.Set(static_cast<int64_t>(active.size()));
    router_.SetEvacuated(active);
    OnOwnershipChanged();
  }

  void AdvanceEvacuations(absl::Time now) {
    if (next_return_step_ <= now && evacuations_.IsReturning()) {
      next_return_step_ = now + kReturnStep;
      returning_use_ = true;
      ApplyRunners();
    } else if (returning_use_ && !evacuations_.IsReturning()) {
      returning_use_ = false;
      ApplyRunners();
      Log(LogLevel::kInfo, "all runners are used again after an evacuation");
    }
    const std::set<std::string> active = evacuations_.ActiveDomains();
    if (!active.empty()) {
      EndQueuedJobs();
    }
    if (!active.empty() || !evacuating_.empty()) {
      ReportEvacuations(active, now);
    }
  }

  // A daemon with several pools places queued tasks in the others.
  void EndQueuedJobs() {
    bool owns_evacuated = false;
    for (const auto& it : ownership_.Pools()) {
      if (ownership_.OwnedFence(it) == 0) {
        continue;
      }
      if (!evacuations_.IsActive(it)) {
        return;
      }
      owns_evacuated = true;
    }
    const size_t ended =
        owns_evacuated ? dispatcher_.EndQueuedJobs(kEvacuated) : 0;
    if (ended > 0) {
      evacuated_jobs_.Add(ended);
      Log(LogLevel::kInfo, "queued jobs ended by an evacuation",
          {{"jobs", absl::StrCat(ended)}});
    }
  }

  void ReportEvacuations(const std::set<std::string>& active, absl::Time now) {
    size_t total = 0;
    for (const auto& it : active) {
      const size_t runs =
          ownership_.OwnedFence(it) != 0 ? dispatcher_.RunsIn(it) : 0;
      total += runs;
      if (runs > 0) {
        evacuating_.try_emplace(it, now);
      }
    }
    evacuation_runs_.Set(static_cast<int64_t>(total));
    std::erase_if(evacuating_, [&](const auto& it) {
      if (!evacuations_.IsActive(it.first) ||
          ownership_.OwnedFence(it.first) == 0) {
        return true;
      }
      if (dispatcher_.RunsIn(it.first) > 0) {
        return false;
      }
      Log(LogLevel::kInfo, "evacuation complete: no task runs",
          {{"failure_domain", it.first},
           {"took_ms",
            absl::StrCat(absl::ToInt64Milliseconds(now - it.second))}});
      return true;
    });
  }

  // --- Configuration ---

  void OnDocumentRows(const std::vector<Row>& rows) {
    for (const auto& it : rows) {
      if (it.key == codec_.documents_key && it.version != 0) {
        ApplyDocuments(it.value, "store");
      }
    }
  }

  void ApplyDocuments(const std::string& body, const std::string& source) {
    Error error;
    auto documents = codec_.parse_documents(body, &error);
    if (!documents.has_value()) {
      LogFailure("the configuration cannot be decoded", error);
      return;
    }
    // The version never decreases while the process runs.
    if (documents_.has_value() && documents->version <= documents_->version) {
      return;
    }
    Log(LogLevel::kInfo, "configuration applied",
        {{"version", absl::StrCat(documents->version)},
         {"routes", absl::StrCat(documents->size())},
         {"source", source}});
    document_version_.Set(documents->version);
    documents_ = *std::move(documents);
  }

  void PullDocuments(absl::Time now) {
    const int64_t version = documents_.has_value() ? documents_->version : 0;
    if (next_pull_ > now) {
      return;
    }
    next_pull_ = now + kPullInterval;
    std::vector<std::string> newer;
    for (const auto& [address, peer] : peers_) {
      if (peer.document_version > version) {
        newer.push_back(address);
      }
    }
    // At random, so that the daemons that miss a change do not all ask the same
    // peer: its link would be busy with the answers for seconds.
    if (!newer.empty()) {
      env_.transport.Send(newer[env_.random.Below(newer.size())],
                          DocumentPull{version});
    }
  }

  void SendDocuments(const std::string& address, int64_t after) {
    if (!documents_.has_value() || documents_->version <= after) {
      return;
    }
    DocumentPush push;
    push.revision = documents_->version;
    push.after_revision = after;
    push.reply = true;
    DocumentChange change;
    change.revision = documents_->version;
    change.version = documents_->version;
    change.body = documents_->body;
    push.changes.push_back(std::move(change));
    env_.transport.Send(address, push);
  }

  // --- Shutdown ---

  // The daemon reports not ready but serves until the balancer has noticed;
  // then the pools accept no new jobs and are released when their jobs have
  // ended or `drain_timeout` has passed.
  void AdvanceDrain(absl::Time now) {
    if (!drain_started_.has_value() || drained_) {
      return;
    }
    const absl::Duration passed = now - *drain_started_;
    if (passed < settings_.drain_balancer_delay) {
      return;
    }
    if (!handing_over_) {
      handing_over_ = true;
      OnOwnershipChanged();
    }
    const bool timed_out =
        passed >= settings_.drain_balancer_delay + settings_.drain_timeout;
    if ((dispatcher_.jobs_in_progress() == 0 && router_.pending() == 0) ||
        timed_out) {
      ReleasePools();
      drained_ = true;
    }
  }

  void ReleasePools() {
    ownership_.StopClaiming();
    for (const auto& it : ownership_.Pools()) {
      if (ownership_.OwnedFence(it) != 0) {
        ReleasePool(it);
      }
    }
  }

  void ReleasePool(const std::string& pool) {
    PoolStatus status = MakeStatus();
    status.claims = {ownership_.Release(pool)};
    for (const auto& [address, peer] : peers_) {
      env_.transport.Send(address, status);
    }
  }

  // Returns the pool of another failure domain when a daemon of that domain is
  // alive, and hands a pool to a much larger VM: the pool first stops accepting
  // jobs and is released later.
  void ReturnPools(absl::Time now) {
    for (const auto& it : ownership_.Pools()) {
      if (ownership_.OwnedFence(it) == 0 || !HasBetterOwner(it, now)) {
        returning_.erase(it);
        continue;
      }
      const auto [entry, begun] =
          returning_.try_emplace(it, now + kReturnDelay);
      if (begun) {
        ownership_.SetAccepting(it, false);
        OnOwnershipChanged();
      } else if (entry->second <= now) {
        returning_.erase(entry);
        next_hand_over_ = now + kHandOverInterval;
        ReleasePool(it);
      }
    }
  }

  // True if a daemon of the pool's failure domain is alive that this daemon
  // gives the pool to.
  bool HasBetterOwner(const std::string& pool, absl::Time now) const {
    const bool foreign = pool != settings_.failure_domain;
    if (!foreign && now < next_hand_over_) {
      return false;
    }
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
      const Peer& peer = it.second;
      return peer.record.failure_domain == pool &&
             now - peer.last_contact < kReturnDelay &&
             (foreign || internal::IsMuchLarger(peer.record.weight,
                                                settings_.cpu_millicores));
    });
  }

  const PoolNodeSettings settings_;
  const PoolNodeCodec codec_;
  const uint64_t incarnation_;
  const PoolNodeDependencies env_;
  DecisionLog log_;
  PoolOwnership ownership_;
  PoolDispatcher dispatcher_;
  PoolRouter router_;
  internal::Cancellations cancellations_;
  internal::KeyPull key_pull_;
  bool members_known_ = false;  // the rows of the members have been read
  // Vms from which owned pools were taken over and that may still act as their
  // owners, by pool.
  std::map<std::string, std::string> in_doubt_;
  StoreWatcher runner_watcher_;
  StoreWatcher operator_watcher_;
  EvacuationTable evacuations_;
  // Owned pools under evacuation whose tasks have not all ended, with the time
  // from which this daemon evacuates them.
  std::map<std::string, absl::Time> evacuating_;
  absl::Time next_return_step_ = absl::InfinitePast();
  bool returning_use_ = false;  // the runners of a pool are taken back in steps
  internal::RunnerTable runners_;
  Gauge& document_version_;
  Gauge& evacuated_domains_;
  Gauge& evacuation_runs_;
  Counter& evacuated_jobs_;
  std::map<std::string, Peer> peers_;  // by address
  // When each client that waits for an answer was last known to be connected.
  absl::Time clients_checked_ = absl::InfinitePast();
  // When a peer in another failure domain sent its last message.
  absl::Time outside_contact_ = absl::InfinitePast();
  absl::Time outside_received_ = absl::InfinitePast();
  int64_t outside_messages_ = 0;  // without a gap between them
  // The last gap followed regular messages. If an owner, which reports ten
  // times a second, is heard after it, a further gap is a partition as well,
  // also before there were many messages.
  bool outside_resumed_ = false;
  bool outside_owner_heard_ = false;  // since the last gap
  absl::Time last_tick_ = absl::InfinitePast();
  std::shared_ptr<ClientContact> client_contact_ =
      std::make_shared<ClientContact>();
  // Of the peers that have sent a message, by address.
  std::map<std::string, internal::IncarnationHistory> incarnations_;
  Counter& replaced_senders_;
  bool following_rows_ = false;  // this daemon owns a pool
  std::optional<RoutedDocuments> documents_;
  internal::ForwardedJobs forwarded_;
  absl::Time next_pull_ = absl::InfinitePast();
  absl::Time gossip_due_ = absl::InfinitePast();
  absl::Time own_load_reported_at_ = absl::InfinitePast();
  std::optional<absl::Time> drain_started_;
  bool handing_over_ = false;
  // Pools that are returned to their failure domain, with the time of release.
  std::map<std::string, absl::Time> returning_;
  // The pool of the own failure domain is not given to a larger VM before.
  absl::Time next_hand_over_ = absl::InfinitePast();
  bool drained_ = false;
  absl::Duration member_retry_ = kMemberRetry;
};

PoolNode::PoolNode(const PoolNodeSettings& settings,
                   PoolNodeCodec codec,
                   uint64_t incarnation,
                   const PoolNodeDependencies& environment,
                   std::unique_ptr<Scheduler> scheduler)
    : impl_(std::make_unique<Impl>(settings,
                                   std::move(codec),
                                   incarnation,
                                   environment,
                                   std::move(scheduler))) {}
PoolNode::~PoolNode() = default;

void PoolNode::Start() {
  impl_->Start();
}
absl::Time PoolNode::Tick() {
  return impl_->Tick();
}
const RoutedDocument* PoolNode::FindRoute(std::string_view host,
                                          std::string_view path) const {
  return impl_->FindRoute(host, path);
}
bool PoolNode::has_documents() const {
  return impl_->has_documents();
}
uint64_t PoolNode::Submit(JobSpec job,
                          const RoutedDocument& route,
                          AnswerCallback callback,
                          absl::Time arrived) {
  return impl_->Submit(std::move(job), route, std::move(callback), arrived);
}
void PoolNode::OnClientsChecked(absl::Time time) {
  impl_->OnClientsChecked(time);
}
void PoolNode::Abandon(uint64_t submission) {
  impl_->Abandon(submission);
}
void PoolNode::Cancel(const std::string& key,
                      std::function<void(CancelResult)> on_result) {
  impl_->Cancel(key, std::move(on_result));
}
void PoolNode::OnPeerMessage(const MemberRecord& sender,
                             const PeerMessage& message) {
  impl_->OnPeerMessage(sender, message);
}
void PoolNode::OnPeerDisconnected(const std::string& peer_address) {
  impl_->OnPeerDisconnected(peer_address);
}
void PoolNode::OnSenderDisconnected(const MemberRecord& sender) {
  impl_->OnSenderDisconnected(sender);
}
void PoolNode::BeginDrain() {
  impl_->BeginDrain();
}
bool PoolNode::drained() const {
  return impl_->drained();
}
bool PoolNode::ready() const {
  return impl_->ready();
}
MemberRecord PoolNode::self() const {
  return impl_->self();
}

}  // namespace radishrail
