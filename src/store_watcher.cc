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

}  // namespace

StoreWatcher::StoreWatcher(std::string prefix,
                           absl::Duration wait,
                           Store& store,
                           Executor& executor,
                           Random& random,
                           RowsCallback on_rows)
    : prefix_(std::move(prefix)),
      wait_(wait),
      store_(store),
      executor_(executor),
      random_(random),
      on_rows_(std::move(on_rows)) {}

void StoreWatcher::Start() {
  TakeSnapshot();
}

void StoreWatcher::TakeSnapshot() {
  store_.Snapshot(
      prefix_, [this, alive = std::weak_ptr<const bool>(alive_)](
                   std::optional<Store::Changes> changes, const Error& error) {
        if (alive.expired() || stopped_) {
          return;
        }
        if (!changes.has_value()) {
          OnFailure(error);
          return;
        }
        OnAnswer();
        Log(LogLevel::kInfo, "snapshot of the store read",
            {{"prefix", prefix_},
             {"version", absl::StrCat(changes->next)},
             {"version_before", absl::StrCat(version_)},
             {"rows", absl::StrCat(changes->rows.size())}});
        has_snapshot_ = true;
        version_ = changes->next;
        on_rows_(changes->rows, true);
        ScheduleWatch();
      });
}

void StoreWatcher::SetPollInterval(absl::Duration interval) {
  const bool shorter = interval < poll_interval_;
  poll_interval_ = interval;
  if (watch_scheduled_ && shorter) {
    ScheduleWatch();
  }
}

void StoreWatcher::ScheduleWatch() {
  watch_scheduled_ = true;
  executor_.PostDelayed(
      poll_interval_, [this, call = ++scheduled_call_,
                       alive = std::weak_ptr<const bool>(alive_)] {
        if (!alive.expired() && !stopped_ && call == scheduled_call_) {
          watch_scheduled_ = false;
          WatchChanges();
        }
      });
}

void StoreWatcher::WatchChanges() {
  store_.Watch(
      prefix_, version_, wait_,
      [this, alive = std::weak_ptr<const bool>(alive_)](
          std::optional<Store::Changes> changes, const Error& error) {
        if (alive.expired() || stopped_) {
          return;
        }
        if (!changes.has_value()) {
          if (error.code == ErrorCode::kNotFound) {
            Log(LogLevel::kInfo, "history of the store discarded",
                {{"prefix", prefix_}, {"version", absl::StrCat(version_)}});
            has_snapshot_ = false;
          }
          OnFailure(error);
          return;
        }
        OnAnswer();
        version_ = std::max(version_, changes->next);
        if (!changes->rows.empty()) {
          on_rows_(changes->rows, false);
        }
        if (changes->truncated) {
          WatchChanges();
        } else {
          ScheduleWatch();
        }
      });
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
  const absl::Duration backoff = std::min(
      kMaxBackoff, kMinBackoff * (1 << std::min(failures_++, kMaxDoublings)));
  executor_.PostDelayed(backoff * (0.5 + random_.Unit()),
                        [this, alive = std::weak_ptr<const bool>(alive_)] {
                          if (alive.expired() || stopped_) {
                            return;
                          }
                          if (has_snapshot_) {
                            WatchChanges();
                          } else {
                            TakeSnapshot();
                          }
                        });
}

}  // namespace radishrail
