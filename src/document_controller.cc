#include "radishrail/document_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "document_change.h"
#include "document_rows.h"
#include "document_sync.h"
#include "document_table.h"
#include "radishrail/log.h"

namespace radishrail {

// Load on the platform at the target size (300 daemons, 12,000 changes/day =
// 0.14/s, 8,300 restarts/day = 0.1/s, 200 environments assumed):
//   reads   polls of `documents/head`, 300 / 2 s                   150   /s
//           log row and body per daemon and change, if all pushes
//           are lost: 2 * 300 * 0.14                                84   /s
//           restarts: a List and 400 bodies, 401 * 0.1              40   /s
//           changes: 3 rows and a body each, 4 * 0.14                0.6 /s
//           sum                                                    275   /s
//   writes  changes: a body and a transaction, 2 * 0.14              0.3 /s
//           rejected and cancelled changes: at most one each         0.1 /s
// Budget: 2,000 reads/s and several hundred writes/s. A burst of 3 changes/s
// whose pushes are all lost adds at most 1,800 reads/s; pushes and pulls
// between peers reduce this, since bodies then do not come from the platform.

namespace {

using internal::ChangeRequest;
using internal::DocumentSync;
using internal::DocumentTable;
using internal::PendingChange;

constexpr absl::Duration kPollInterval = absl::Seconds(2);
// Spreads the polls of daemons that started together.
constexpr double kPollJitter = 0.1;
// Including the time for reads, a daemon is up to date within 9 s after the
// platform recovers; 300 daemons then poll within 2 s, at 150 reads/s.
constexpr absl::Duration kMaxBackoff = absl::Seconds(4);
// After this time, an unanswered pull may be repeated with another peer.
constexpr absl::Duration kPullTimeout = absl::Seconds(1);
// Two heartbeat intervals: while the platform is unavailable, a daemon that has
// just started waits for the heartbeats of more peers before it assumes that
// the highest revision reported is the latest one.
constexpr absl::Duration kPeerReportTime = absl::Seconds(2);
// Limits the total size of the bodies in one message. A frame has at most
// 8 MiB, a document at most 256 KiB.
constexpr size_t kMaxBodyBytesPerMessage = 512 * 1024;
// Operators' changes in progress at the same time in this daemon.
constexpr size_t kMaxPendingChanges = 64;

ChangeResult ErrorResult(ChangeOutcome outcome, Error error) {
  ChangeResult result;
  result.outcome = outcome;
  result.error = std::move(error);
  return result;
}

}  // namespace

class DocumentController::Impl
    : public std::enable_shared_from_this<DocumentController::Impl> {
 public:
  Impl(const Clock& clock,
       Random& random,
       Store& store,
       PeerTransport& transport,
       PeerListFunction reachable_peers)
      : clock_(clock),
        random_(random),
        store_(store),
        transport_(transport),
        reachable_peers_(std::move(reachable_peers)) {}

  void Tick();
  void OnPeerMessage(const MemberRecord& sender, const PeerMessage& message);
  void OnPeerRevision(const MemberRecord& sender, int64_t revision);
  void PutTrial(ChangeRequest request, ChangeCallback callback);
  void StartChange(ChangeRequest request, ChangeCallback callback);

  bool ready() const { return ready_; }
  bool platform_readable() const { return poll_failures_ == 0; }
  DocumentTable& table() { return table_; }

 private:
  struct DelayedCall {
    absl::Time due;
    std::function<void()> call;
  };

  void RunDelayedCalls();
  void Poll();
  void OnPollDone(const Error& error);
  void UpdateReady();
  void Pull(const MemberRecord& peer);
  void AnswerPull(const MemberRecord& peer, const DocumentPull& pull);
  void OnPush(const MemberRecord& sender, const DocumentPush& push);
  bool IsValidPush(const DocumentPush& push) const;
  void OnAccepted(const DocumentChange& change);

  const Clock& clock_;
  Random& random_;
  Store& store_;
  PeerTransport& transport_;
  const PeerListFunction reachable_peers_;

  DocumentTable table_;
  std::shared_ptr<DocumentSync> sync_;
  absl::Time next_poll_ = absl::InfinitePast();
  int poll_failures_ = 0;
  bool synced_ = false;  // at least one poll of the platform has succeeded
  bool ready_ = false;
  // Highest revision that a peer reported or a change of this daemon reached.
  int64_t highest_reported_revision_ = 0;
  absl::Time first_report_time_ = absl::InfiniteFuture();
  absl::Time pull_expires_ = absl::InfinitePast();
  std::set<std::shared_ptr<PendingChange>> pending_changes_;
  std::vector<DelayedCall> delayed_calls_;
};

void DocumentController::Impl::Tick() {
  RunDelayedCalls();
  if (sync_ == nullptr && clock_.Monotonic() >= next_poll_) {
    Poll();
  }
  UpdateReady();
}

void DocumentController::Impl::RunDelayedCalls() {
  const absl::Time now = clock_.Monotonic();
  // A call may schedule further calls.
  std::vector<DelayedCall> calls;
  calls.swap(delayed_calls_);
  for (auto& it : calls) {
    if (it.due <= now) {
      it.call();
    } else {
      delayed_calls_.push_back(std::move(it));
    }
  }
}

void DocumentController::Impl::Poll() {
  sync_ = std::make_shared<DocumentSync>(
      store_, table_, [weak = weak_from_this()](const Error& error) {
        if (const auto self = weak.lock()) {
          self->OnPollDone(error);
        }
      });
  // A local reference, since the callback may reset `sync_` before `Start`
  // returns.
  const std::shared_ptr<DocumentSync> sync = sync_;
  sync->Start();
}

void DocumentController::Impl::OnPollDone(const Error& error) {
  sync_ = nullptr;
  const absl::Time now = clock_.Monotonic();
  if (error.ok()) {
    if (poll_failures_ > 0) {
      Log(LogLevel::kInfo, "platform is readable again");
    }
    poll_failures_ = 0;
    synced_ = true;
    const double jitter = 1 - kPollJitter + 2 * kPollJitter * random_.Unit();
    next_poll_ = now + kPollInterval * jitter;
  } else {
    if (++poll_failures_ == 1) {
      LogFailure("platform cannot be polled", error);
    }
    const absl::Duration backoff =
        poll_failures_ == 1 ? kPollInterval : kMaxBackoff;
    next_poll_ = now + backoff * (0.5 + random_.Unit() / 2);
  }
  UpdateReady();
}

void DocumentController::Impl::UpdateReady() {
  if (ready_ || table_.revision() < highest_reported_revision_) {
    return;
  }
  const bool peers_suffice =
      poll_failures_ > 0 && table_.revision() > 0 &&
      clock_.Monotonic() >= first_report_time_ + kPeerReportTime;
  ready_ = synced_ || peers_suffice;
}

void DocumentController::Impl::OnPeerMessage(const MemberRecord& sender,
                                             const PeerMessage& message) {
  if (const auto* pull = std::get_if<DocumentPull>(&message)) {
    AnswerPull(sender, *pull);
  } else if (const auto* push = std::get_if<DocumentPush>(&message)) {
    OnPush(sender, *push);
  }
  UpdateReady();
}

void DocumentController::Impl::OnPeerRevision(const MemberRecord& sender,
                                              int64_t revision) {
  highest_reported_revision_ = std::max(highest_reported_revision_, revision);
  first_report_time_ = std::min(first_report_time_, clock_.Monotonic());
  if (revision > table_.revision() && clock_.Monotonic() >= pull_expires_) {
    Pull(sender);
  }
  UpdateReady();
}

void DocumentController::Impl::Pull(const MemberRecord& peer) {
  if (transport_.Send(peer.peer_address, DocumentPull{table_.revision()})) {
    pull_expires_ = clock_.Monotonic() + kPullTimeout;
  }
}

// Sends one part. The receiver pulls the next one, so that neither a lost
// message nor a slow receiver leaves a gap or a growing queue.
void DocumentController::Impl::AnswerPull(const MemberRecord& peer,
                                          const DocumentPull& pull) {
  if (pull.after_revision < 0 || pull.after_revision >= table_.revision()) {
    return;
  }
  DocumentPush push;
  push.revision = table_.revision();
  push.after_revision = pull.after_revision;
  push.reply = true;
  size_t bytes = 0;
  for (auto& it : table_.ChangesAfter(pull.after_revision)) {
    if (bytes > 0 && bytes + it.body.size() > kMaxBodyBytesPerMessage) {
      push.revision = push.changes.back().revision;
      push.last = false;
      break;
    }
    bytes += it.body.size();
    push.changes.push_back(std::move(it));
  }
  transport_.Send(peer.peer_address, push);
}

bool DocumentController::Impl::IsValidPush(const DocumentPush& push) const {
  if (push.after_revision < 0 || push.after_revision > push.revision) {
    return false;
  }
  int64_t previous = push.after_revision;
  for (const auto& it : push.changes) {
    if (it.revision <= previous || it.revision > push.revision ||
        it.version <= 0 || !internal::IsEnvironmentName(it.environment) ||
        !StageFromName(it.stage).has_value()) {
      return false;
    }
    previous = it.revision;
  }
  return true;
}

void DocumentController::Impl::OnPush(const MemberRecord& sender,
                                      const DocumentPush& push) {
  if (push.changes.empty() && !push.reply) {
    return;
  }
  if (!IsValidPush(push)) {
    Log(LogLevel::kWarning, "invalid document push ignored",
        {{"peer", sender.vm}, {"revision", absl::StrCat(push.revision)}});
    return;
  }
  if (push.reply) {
    pull_expires_ = absl::InfinitePast();
  }
  if (push.after_revision > table_.revision()) {
    // Earlier changes are missing, and changes are applied only in the order of
    // their revisions.
    OnPeerRevision(sender, push.revision);
    return;
  }
  highest_reported_revision_ =
      std::max(highest_reported_revision_, push.revision);
  for (const auto& it : push.changes) {
    table_.Apply(it);
  }
  table_.RaiseRevision(push.revision);
  if (push.reply && !push.last) {
    Pull(sender);
  }
}

void DocumentController::Impl::PutTrial(ChangeRequest request,
                                        ChangeCallback callback) {
  Error error;
  const std::optional<EnvironmentDocument> document =
      ParseDocument(request.body, &error);
  if (!document.has_value()) {
    callback(ErrorResult(ChangeOutcome::kRejected, std::move(error)));
    return;
  }
  if (document->environment != request.environment) {
    callback(ErrorResult(
        ChangeOutcome::kRejected,
        {ErrorCode::kInvalidArgument,
         Step::kDocument,
         {},
         absl::StrCat("field environment is \"", document->environment,
                      "\"; the document was put as \"", request.environment,
                      "\"")}));
    return;
  }
  StartChange(std::move(request), std::move(callback));
}

void DocumentController::Impl::StartChange(ChangeRequest request,
                                           ChangeCallback callback) {
  const char* problem = nullptr;
  if (!internal::IsEnvironmentName(request.environment)) {
    problem = "environment must be 1 to 64 characters of A-Z a-z 0-9 _ -";
  } else if (!internal::IsOperationId(request.operation)) {
    problem = "operation must be 1 to 64 characters of A-Z a-z 0-9 . _ : -";
  } else if (request.stage == Stage::kProduction &&
             (request.version < 1 || request.replaces < 0 ||
              request.version <= request.replaces)) {
    problem =
        "version must be higher than replaces; to restore an earlier document, "
        "put it again as a new trial version";
  }
  if (problem != nullptr) {
    callback(ErrorResult(
        ChangeOutcome::kRejected,
        {ErrorCode::kInvalidArgument, Step::kDocument, {}, problem}));
    return;
  }
  if (pending_changes_.size() >= kMaxPendingChanges) {
    callback(
        ErrorResult(ChangeOutcome::kUnknown,
                    {ErrorCode::kOverloaded,
                     Step::kDocument,
                     {},
                     "too many changes are in progress; repeat with the same "
                     "operation id"}));
    return;
  }
  const auto schedule = [weak = weak_from_this()](absl::Duration delay,
                                                  std::function<void()> call) {
    if (const auto self = weak.lock()) {
      self->delayed_calls_.push_back(
          {self->clock_.Monotonic() + delay, std::move(call)});
    }
  };
  // The callback needs the change, which is created after it, to remove it from
  // `pending_changes_`. The reference is weak so that the change does not own
  // itself.
  const auto weak_change = std::make_shared<std::weak_ptr<PendingChange>>();
  const auto done =
      [weak = weak_from_this(), weak_change, callback = std::move(callback)](
          ChangeResult result, const std::optional<DocumentChange>& change) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        self->pending_changes_.erase(weak_change->lock());
        if (change.has_value()) {
          self->OnAccepted(*change);
        } else if (result.outcome == ChangeOutcome::kAccepted) {
          self->next_poll_ = absl::InfinitePast();
        }
        callback(std::move(result));
      };
  const auto pending = std::make_shared<PendingChange>(
      random_, store_, std::move(request), schedule, done);
  *weak_change = pending;
  pending_changes_.insert(pending);
  pending->Start();
}

void DocumentController::Impl::OnAccepted(const DocumentChange& change) {
  highest_reported_revision_ =
      std::max(highest_reported_revision_, change.revision);
  if (table_.revision() == change.revision - 1) {
    table_.Apply(change);
    table_.RaiseRevision(change.revision);
  } else {
    next_poll_ = absl::InfinitePast();
  }
  const DocumentPush push{change.revision, change.revision - 1, {change}};
  for (const auto& it : reachable_peers_()) {
    transport_.Send(it.peer_address, push);
  }
  UpdateReady();
}

DocumentController::DocumentController(const Clock& clock,
                                       Random& random,
                                       Store& store,
                                       PeerTransport& transport,
                                       PeerListFunction reachable_peers)
    : impl_(std::make_shared<Impl>(clock,
                                   random,
                                   store,
                                   transport,
                                   std::move(reachable_peers))) {}

DocumentController::~DocumentController() = default;

void DocumentController::Tick() {
  impl_->Tick();
}

void DocumentController::OnPeerMessage(const MemberRecord& sender,
                                       const PeerMessage& message) {
  impl_->OnPeerMessage(sender, message);
}

void DocumentController::OnPeerRevision(const MemberRecord& sender,
                                        int64_t revision) {
  impl_->OnPeerRevision(sender, revision);
}

bool DocumentController::ready() const {
  return impl_->ready();
}

int64_t DocumentController::revision() const {
  return impl_->table().revision();
}

bool DocumentController::platform_readable() const {
  return impl_->platform_readable();
}

void DocumentController::set_applied_function(
    std::function<void(Stage, const VersionedDocument&)> function) {
  impl_->table().set_applied_function(std::move(function));
}

std::shared_ptr<const VersionedDocument> DocumentController::Find(
    std::string_view environment,
    Stage stage) const {
  return impl_->table().Find(environment, stage);
}

std::vector<EnvironmentStatus> DocumentController::List() const {
  return impl_->table().List();
}

void DocumentController::PutTrial(const std::string& environment,
                                  const std::string& body,
                                  const std::string& operation,
                                  ChangeCallback callback) {
  impl_->PutTrial({environment, Stage::kTrial, body, 0, 0, operation},
                  std::move(callback));
}

void DocumentController::Promote(const std::string& environment,
                                 int64_t version,
                                 int64_t replaces,
                                 const std::string& operation,
                                 ChangeCallback callback) {
  impl_->StartChange(
      {environment, Stage::kProduction, {}, version, replaces, operation},
      std::move(callback));
}

}  // namespace radishrail
