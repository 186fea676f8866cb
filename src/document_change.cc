#include "document_change.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace radishrail::internal {

namespace {

// Daemons that lag by more revisions read the environment rows instead.
constexpr int64_t kKeptLogRows = 1000;
// Each conflict means that another change was accepted; more conflicts in a row
// mean several changes per second, all of which write the single head row.
constexpr int kMaxConflicts = 20;
constexpr absl::Duration kConflictDelay = absl::Milliseconds(50);
// Attempts to read or determine the outcome; with doubling delays from 100 ms
// they take up to 6 s plus the platform's timeouts.
constexpr int kMaxResolveAttempts = 6;
// A change makes four calls before its transaction. While the platform loses
// responses, losing one of the four is common and must not fail the change.
constexpr int kMaxReadRetries = 3;
constexpr absl::Duration kResolveDelay = absl::Milliseconds(100);

}  // namespace

std::string ChangeRequest::Fingerprint() const {
  if (stage == Stage::kProduction) {
    return absl::StrCat("promote ", version, " replacing ", replaces);
  }
  return absl::StrCat("put ", BodyHash(body));
}

PendingChange::PendingChange(Random& random,
                             Store& store,
                             ChangeRequest request,
                             ScheduleFunction schedule,
                             DoneFunction done)
    : random_(random),
      store_(store),
      request_(std::move(request)),
      schedule_(std::move(schedule)),
      done_(std::move(done)) {}

Error PendingChange::InvalidRow(const std::string& key) const {
  return {ErrorCode::kProtocol, Step::kPlatformRead, "platform",
          absl::StrCat("row ", key, " has an invalid value")};
}

void PendingChange::ReadOperation() {
  const std::string key = OperationKey(request_.operation);
  store_.Read(key, [weak = weak_from_this(), key](std::optional<Row> row,
                                                  const Error& error) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (!row.has_value()) {
      self->ResolveLater(error);
      return;
    }
    if (row->version == 0) {
      self->in_doubt_ ? self->Abort() : self->ReadEnvironment();
      return;
    }
    const std::optional<OperationRow> outcome = DecodeOperation(row->value);
    if (outcome.has_value()) {
      self->FinishWithOutcome(*outcome);
    } else {
      self->FinishUnknown(self->InvalidRow(key));
    }
  });
}

void PendingChange::ReadEnvironment() {
  const std::string key = EnvironmentKey(request_.environment);
  store_.Read(key, [weak = weak_from_this(), key](std::optional<Row> row,
                                                  const Error& error) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (!row.has_value()) {
      self->ResolveLater(error);
      return;
    }
    std::optional<EnvironmentRow> environment = DecodeEnvironment(row->value);
    if (!environment.has_value()) {
      self->FinishUnknown(self->InvalidRow(key));
      return;
    }
    self->environment_ = *std::move(environment);
    self->environment_version_ = row->version;
    self->ReadHead();
  });
}

void PendingChange::ReadHead() {
  store_.Read(kHeadKey, [weak = weak_from_this()](std::optional<Row> row,
                                                  const Error& error) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (!row.has_value()) {
      self->ResolveLater(error);
      return;
    }
    const std::optional<int64_t> revision = DecodeHead(row->value);
    if (!revision.has_value()) {
      self->FinishUnknown(self->InvalidRow(kHeadKey));
      return;
    }
    self->revision_ = *revision + 1;
    self->head_version_ = row->version;
    self->Evaluate();
  });
}

void PendingChange::Evaluate() {
  if (request_.stage == Stage::kProduction) {
    EvaluatePromotion();
    return;
  }
  // Concurrent edits must not silently overwrite each other, so the second of
  // two racing puts is rejected.
  const StageState& trial = environment_.trial;
  if (base_trial_version_.has_value() &&
      *base_trial_version_ != trial.version) {
    Reject(ErrorCode::kConflict,
           absl::StrCat("operation ", trial.operation, " put trial version ",
                        trial.version, " at the same time"));
    return;
  }
  base_trial_version_ = trial.version;
  version_ = environment_.last_version + 1;
  body_ = request_.body;
  body_hash_ = BodyHash(body_);
  PutBody();
}

void PendingChange::EvaluatePromotion() {
  const StageState& production = environment_.production;
  if (environment_.last_version == 0) {
    Reject(
        ErrorCode::kNotFound,
        absl::StrCat("environment ", request_.environment, " does not exist"));
    return;
  }
  if (production.version != request_.replaces) {
    Reject(ErrorCode::kConflict,
           production.version == 0
               ? absl::StrCat("there is no production version yet, so that "
                              "version ",
                              request_.replaces, " cannot be replaced")
               : absl::StrCat("operation ", production.operation,
                              " already promoted version ", production.version,
                              "; this request replaces version ",
                              request_.replaces));
    return;
  }
  const auto& candidates = environment_.candidates;
  const auto candidate = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const Candidate& it) { return it.version == request_.version; });
  if (candidate == candidates.end()) {
    Reject(ErrorCode::kNotFound,
           absl::StrCat("version ", request_.version,
                        " is not a trial version above production version ",
                        production.version, "; the latest trial version is ",
                        environment_.trial.version));
    return;
  }
  version_ = request_.version;
  body_hash_ = candidate->body_hash;
  GetBody();
}

// The body is written before the transaction, so that every accepted version
// has its body.
void PendingChange::PutBody() {
  store_.PutObject(
      ObjectName(request_.environment, version_, body_hash_), body_,
      [weak = weak_from_this()](const std::optional<std::string>& stored,
                                const Error& error) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        if (stored.has_value()) {
          self->Commit();
        } else {
          self->ResolveLater(error);
        }
      });
}

// A version whose body cannot be read must not become effective.
void PendingChange::GetBody() {
  store_.GetObject(
      ObjectName(request_.environment, version_, body_hash_),
      [weak = weak_from_this()](std::optional<std::string> body,
                                const Error& error) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        if (!body.has_value()) {
          self->ResolveLater(error);
        } else if (BodyHash(*body) != self->body_hash_) {
          self->FinishUnknown({ErrorCode::kProtocol, Step::kPlatformRead,
                               "platform", "the stored body is damaged"});
        } else {
          self->body_ = *std::move(body);
          self->Commit();
        }
      });
}

void PendingChange::Commit() {
  EnvironmentRow next = environment_;
  const StageState state{version_, revision_, body_hash_, request_.operation};
  if (request_.stage == Stage::kTrial) {
    next.trial = state;
    next.last_version = version_;
    next.candidates.push_back({version_, body_hash_});
    if (next.candidates.size() > kMaxCandidates) {
      next.candidates.erase(next.candidates.begin());
    }
  } else {
    next.production = state;
    std::erase_if(next.candidates,
                  [&](const Candidate& it) { return it.version <= version_; });
  }
  next.revision = revision_;
  next.operation = request_.operation;
  const OperationRow outcome{OperationState::kAccepted,
                             request_.environment,
                             request_.Fingerprint(),
                             version_,
                             revision_,
                             ErrorCode::kOk,
                             {}};
  Transaction transaction;
  transaction.checks = {
      {OperationKey(request_.operation), 0},
      {EnvironmentKey(request_.environment), environment_version_},
      {kHeadKey, head_version_}};
  transaction.writes = {
      {OperationKey(request_.operation), EncodeOperation(outcome)},
      {EnvironmentKey(request_.environment), EncodeEnvironment(next)},
      {kHeadKey, EncodeHead(revision_)},
      {LogKey(revision_), EncodeLog({request_.environment, request_.stage,
                                     version_, body_hash_})}};
  if (revision_ > kKeptLogRows) {
    transaction.writes.push_back(
        {LogKey(revision_ - kKeptLogRows), std::nullopt});
  }
  store_.Transact(std::move(transaction),
                  [weak = weak_from_this(), outcome](
                      TransactionOutcome result,
                      const std::string& /*conflict*/, const Error& error) {
                    const auto self = weak.lock();
                    if (self == nullptr) {
                      return;
                    }
                    switch (result) {
                      case TransactionOutcome::kCommitted:
                        self->FinishWithOutcome(outcome);
                        break;
                      case TransactionOutcome::kConflict:
                        self->RetryAfterConflict();
                        break;
                      case TransactionOutcome::kUnknown:
                        self->in_doubt_ = true;
                        self->ResolveLater(error);
                        break;
                    }
                  });
}

void PendingChange::RetryAfterConflict() {
  if (++conflicts_ > kMaxConflicts) {
    Reject(ErrorCode::kConflict, "too many other changes at the same time");
    return;
  }
  // The operation's row is read first: the conflict may be with this same
  // change, which was submitted twice.
  const absl::Duration delay = kConflictDelay * (conflicts_ * random_.Unit());
  schedule_(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ReadOperation();
    }
  });
}

void PendingChange::ResolveLater(const Error& error) {
  // If no transaction is in doubt, this instance committed nothing, but an
  // earlier submission with the same operation id may have.
  const int limit = in_doubt_ ? kMaxResolveAttempts : kMaxReadRetries;
  if (++resolve_attempts_ > limit) {
    FinishUnknown(error);
    return;
  }
  const absl::Duration delay =
      kResolveDelay * ((1 << resolve_attempts_) * (0.5 + random_.Unit() / 2));
  schedule_(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ReadOperation();
    }
  });
}

void PendingChange::Abort() {
  Reject(ErrorCode::kPlatformUnavailable,
         "the platform's response was lost and the change was cancelled; "
         "submit it again with a new operation id");
}

void PendingChange::Reject(ErrorCode code, std::string detail) {
  WriteOutcome({OperationState::kRejected, request_.environment,
                request_.Fingerprint(), 0, 0, code, std::move(detail)});
}

void PendingChange::WriteOutcome(OperationRow row) {
  Transaction transaction;
  transaction.checks = {{OperationKey(request_.operation), 0}};
  transaction.writes = {
      {OperationKey(request_.operation), EncodeOperation(row)}};
  store_.Transact(std::move(transaction),
                  [weak = weak_from_this(), row = std::move(row)](
                      TransactionOutcome result,
                      const std::string& /*conflict*/, const Error& error) {
                    const auto self = weak.lock();
                    if (self == nullptr) {
                      return;
                    }
                    switch (result) {
                      case TransactionOutcome::kCommitted:
                        self->FinishWithOutcome(row);
                        break;
                      case TransactionOutcome::kConflict:
                        // Another instance has written the outcome.
                        self->ReadOperation();
                        break;
                      case TransactionOutcome::kUnknown:
                        self->in_doubt_ = true;
                        self->ResolveLater(error);
                        break;
                    }
                  });
}

void PendingChange::FinishWithOutcome(const OperationRow& row) {
  ChangeResult result;
  if (row.environment != request_.environment ||
      row.request != request_.Fingerprint()) {
    result.outcome = ChangeOutcome::kRejected;
    result.error = {ErrorCode::kConflict,
                    Step::kDocument,
                    {},
                    absl::StrCat("operation id ", request_.operation,
                                 " was used for another change: ", row.request,
                                 " in environment ", row.environment)};
  } else if (row.state == OperationState::kAccepted) {
    result.outcome = ChangeOutcome::kAccepted;
    result.version = row.version;
    result.revision = row.revision;
  } else {
    result.outcome = ChangeOutcome::kRejected;
    result.error = {row.code, Step::kDocument, {}, row.detail};
  }
  std::optional<DocumentChange> change;
  // The body is available only if this instance reached the transaction.
  if (result.outcome == ChangeOutcome::kAccepted && version_ == row.version &&
      revision_ == row.revision) {
    change = DocumentChange{row.revision, row.environment,
                            std::string(StageName(request_.stage)), row.version,
                            body_};
  }
  done_(std::move(result), std::move(change));
}

void PendingChange::FinishUnknown(Error error) {
  error.detail =
      absl::StrCat(error.detail, error.detail.empty() ? "" : "; ",
                   "the outcome is unknown, repeat with the same operation id ",
                   request_.operation);
  ChangeResult result;
  result.outcome = ChangeOutcome::kUnknown;
  result.error = std::move(error);
  done_(std::move(result), std::nullopt);
}

}  // namespace radishrail::internal
