#include "radishrail/store_watcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "radishrail/log.h"

namespace radishrail {

namespace {

constexpr absl::Duration kMinBackoff = absl::Milliseconds(100);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(800);
constexpr int kMaxDoublings = 3;
constexpr absl::Duration kOldSnapshotRetry = absl::Milliseconds(400);

}  // namespace

StoreWatcher::StoreWatcher(std::string prefix,
                           absl::Duration wait,
                           const Clock& clock,
                           Store& store,
                           Executor& executor,
                           Random& random,
                           RowsCallback on_rows)
    : prefix_(std::move(prefix)),
      wait_(wait),
      clock_(clock),
      store_(store),
      executor_(executor),
      random_(random),
      on_rows_(std::move(on_rows)) {}

void StoreWatcher::Start() {
  TakeSnapshot();
}

void StoreWatcher::FollowChanges(absl::Duration interval) {
  interval_ = interval;
  if (!following_) {
    following_ = true;
    TakeSnapshot();
  }
}

void StoreWatcher::TakeSnapshots(absl::Duration interval) {
  interval_ = interval;
  following_ = false;
}

std::function<bool()> StoreWatcher::BeginStep() {
  return [this, step = ++step_, alive = std::weak_ptr<const bool>(alive_)] {
    return !alive.expired() && !stopped_ && step == step_;
  };
}

void StoreWatcher::TakeSnapshot() {
  called_at_ = clock_.Monotonic();
  store_.Snapshot(
      prefix_, [this, is_latest = BeginStep()](
                   std::optional<Store::Changes> changes, const Error& error) {
        if (!is_latest()) {
          return;
        }
        if (changes.has_value()) {
          OnSnapshot(*changes);
        } else {
          OnFailure(error);
        }
      });
}

void StoreWatcher::OnSnapshot(const Store::Changes& changes) {
  OnAnswer();
  if (changes.next < version_) {
    Log(LogLevel::kWarning, "old snapshot of the store ignored",
        {{"prefix", prefix_},
         {"version", absl::StrCat(changes.next)},
         {"version_before", absl::StrCat(version_)}});
    CallNextAfter(kOldSnapshotRetry);
    return;
  }
  Log(LogLevel::kInfo, "snapshot of the store read",
      {{"prefix", prefix_},
       {"version", absl::StrCat(changes.next)},
       {"version_before", absl::StrCat(version_)},
       {"rows", absl::StrCat(changes.rows.size())}});
  has_snapshot_ = true;
  version_ = changes.next;
  CallNextAfter(interval_);
  on_rows_(changes.rows, true);
}

void StoreWatcher::CallNextAfter(absl::Duration delay) {
  executor_.PostDelayed(delay, [this, is_latest = BeginStep()] {
    if (is_latest()) {
      CallNext();
    }
  });
}

void StoreWatcher::CallNext() {
  if (following_ && has_snapshot_) {
    WatchChanges();
  } else {
    TakeSnapshot();
  }
}

void StoreWatcher::WatchChanges() {
  called_at_ = clock_.Monotonic();
  store_.Watch(
      prefix_, version_, wait_,
      [this, is_latest = BeginStep()](std::optional<Store::Changes> changes,
                                      const Error& error) {
        if (!is_latest()) {
          return;
        }
        if (changes.has_value()) {
          OnChanges(*changes);
          return;
        }
        if (error.code == ErrorCode::kNotFound) {
          Log(LogLevel::kInfo, "history of the store discarded",
              {{"prefix", prefix_}, {"version", absl::StrCat(version_)}});
          has_snapshot_ = false;
        }
        OnFailure(error);
      });
}

void StoreWatcher::OnChanges(const Store::Changes& changes) {
  OnAnswer();
  version_ = std::max(version_, changes.next);
  if (changes.truncated) {
    CallNext();
  } else {
    CallNextAfter(interval_);
  }
  if (!changes.rows.empty()) {
    on_rows_(changes.rows, false);
  }
}

void StoreWatcher::OnAnswer() {
  failures_ = 0;
  if (!store_reachable_) {
    store_reachable_ = true;
    Log(LogLevel::kInfo, "store reachable again", {{"prefix", prefix_}});
  }
}

void StoreWatcher::OnFailure(const Error& error) {
  if (store_reachable_) {
    store_reachable_ = false;
    Log(LogLevel::kWarning, "store unreachable",
        {{"prefix", prefix_}, {"detail", error.ToString()}});
  }
  const absl::Duration backoff =
      std::min(kMaxBackoff,
               kMinBackoff * (1 << std::min(failures_++, kMaxDoublings))) *
      (0.5 + random_.Unit());
  // Counts from the call, so that a call that timed out is repeated at once.
  CallNextAfter(backoff - (clock_.Monotonic() - called_at_));
}

}  // namespace radishrail
