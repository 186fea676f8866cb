#ifndef RADISHRAIL_SRC_DOCUMENT_CHANGE_H_
#define RADISHRAIL_SRC_DOCUMENT_CHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "document_rows.h"
#include "radishrail/document_controller.h"
#include "radishrail/random.h"
#include "radishrail/store.h"

namespace radishrail::internal {

// A change that an operator requests.
struct ChangeRequest {
  std::string environment;
  Stage stage = Stage::kTrial;
  std::string body;      // kTrial only
  int64_t version = 0;   // kProduction only
  int64_t replaces = 0;  // kProduction only
  std::string operation;

  // Identifies the requested change in the operation's row.
  std::string Fingerprint() const;
};

// Carries out one change. Invariant: a change is reported as accepted or
// rejected only when the row `operation/<id>` holds that outcome. The row is
// written once, on the condition that it is absent, so the outcome is final
// regardless of requests that are still in flight.
class PendingChange : public std::enable_shared_from_this<PendingChange> {
 public:
  // `change` is set if the change was accepted and this instance has its body.
  using DoneFunction =
      std::function<void(ChangeResult, std::optional<DocumentChange> change)>;
  using ScheduleFunction =
      std::function<void(absl::Duration delay, std::function<void()> call)>;

  PendingChange(Random& random,
                Store& store,
                ChangeRequest request,
                ScheduleFunction schedule,
                DoneFunction done);

  // Callbacks hold weak references: once its owner releases it, the change
  // stops without calling `done`.
  void Start() { ReadOperation(); }

 private:
  void ReadOperation();
  void ReadEnvironment();
  void ReadHead();
  void Evaluate();
  void EvaluatePromotion();
  void PutBody();
  void GetBody();
  void Commit();
  void RetryAfterConflict();
  void ResolveLater(const Error& error);
  void Abort();
  void Reject(ErrorCode code, std::string detail);
  void WriteOutcome(OperationRow row);
  void FinishWithOutcome(const OperationRow& row);
  void FinishUnknown(Error error);
  Error InvalidRow(const std::string& key) const;

  Random& random_;
  Store& store_;
  const ChangeRequest request_;
  const ScheduleFunction schedule_;
  const DoneFunction done_;

  EnvironmentRow environment_;
  int64_t environment_version_ = 0;
  int64_t revision_ = 0;
  int64_t head_version_ = 0;
  // Trial version when this change was first evaluated.
  std::optional<int64_t> base_trial_version_;
  int64_t version_ = 0;
  std::string body_;
  std::string body_hash_;
  // A transaction of this change may have been committed or may yet be.
  bool in_doubt_ = false;
  int conflicts_ = 0;
  int resolve_attempts_ = 0;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_DOCUMENT_CHANGE_H_
