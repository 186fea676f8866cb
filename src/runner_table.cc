#include "runner_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "radishrail/log.h"

namespace radishrail::internal {

namespace {

// The rows of live runners expire while the store is unreachable and reappear
// later.
constexpr absl::Duration kMissingRowTimeout = absl::Milliseconds(2500);
// Longer waits would stop the pool while the store is down.
constexpr absl::Duration kMaxRowsWait = absl::Seconds(1);
constexpr size_t kMaxLoggedKeyBytes = 200;

}  // namespace

RunnerTable::RunnerTable(const Clock& clock,
                         Parser parse,
                         std::function<bool(const std::string& pool)> owns_pool,
                         Metrics& metrics)
    : clock_(clock),
      parse_(std::move(parse)),
      owns_pool_(std::move(owns_pool)),
      malformed_rows_(metrics.counter("radishrail_store_rows_spoiled_total",
                                      "Rows that could not be decoded")) {}

void RunnerTable::OnRows(const std::vector<Row>& rows, bool is_snapshot) {
  read_at_ = clock_.Monotonic();
  awaiting_since_.reset();
  std::set<std::string> present;
  for (const auto& it : rows) {
    present.insert(it.key);
    ApplyRow(it);
  }
  if (!is_snapshot) {
    return;
  }
  for (auto& [key, runner] : runners_) {
    if (!present.contains(key)) {
      MarkMissing(runner);
    }
  }
  std::erase_if(malformed_,
                [&](const auto& it) { return !present.contains(it); });
}

void RunnerTable::ApplyRow(const Row& row) {
  if (row.version == 0) {
    malformed_.erase(row.key);
    const auto it = runners_.find(row.key);
    if (it != runners_.end()) {
      MarkMissing(it->second);
    }
    return;
  }
  Error error;
  std::optional<VmInfo> info = parse_(row, &error);
  if (!info.has_value()) {
    OnMalformedRow(row, error);
    return;
  }
  malformed_.erase(row.key);
  Runner& runner = runners_[row.key];
  if (info->cold_remaining > absl::ZeroDuration()) {
    // A row that is read again says how long the upstream was cold when the row
    // was written.
    info->cold_until = runner.row_version == row.version
                           ? runner.info.cold_until
                           : clock_.Monotonic() + info->cold_remaining;
  }
  LogStateChange(runner, row, *info);
  // A row with an earlier start was written late by a former life under the
  // same name. The runner has not restarted, so its runs have not ended.
  if (info->address == runner.info.address) {
    info->incarnation = std::max(info->incarnation, runner.info.incarnation);
  }
  runner = {*std::move(info), row.version, std::nullopt};
}

// Logged once: the row is read again with each snapshot.
void RunnerTable::OnMalformedRow(const Row& row, const Error& error) {
  malformed_rows_.Add();
  if (malformed_.insert(row.key).second) {
    Log(LogLevel::kWarning, "malformed row of a runner ignored",
        {{"key", row.key.substr(0, kMaxLoggedKeyBytes)},
         {"detail", error.detail}});
  }
}

void RunnerTable::MarkMissing(Runner& runner) {
  if (!runner.missing_since.has_value()) {
    runner.missing_since = clock_.Monotonic();
  }
}

void RunnerTable::LogStateChange(const Runner& known,
                                 const Row& row,
                                 const VmInfo& info) {
  const bool was_leaving = known.info.state == VmState::kLeaving;
  const bool leaving = info.state == VmState::kLeaving;
  if (leaving == was_leaving || !owns_pool_(info.failure_domain)) {
    return;
  }
  Log(LogLevel::kInfo,
      leaving ? "runner is leaving" : "runner no longer leaving",
      {{"upstream", info.vm},
       {"row_version", absl::StrCat(row.version)},
       {"row_version_before", absl::StrCat(known.row_version)}});
}

bool RunnerTable::ExpireWait() {
  if (!awaiting_since_.has_value() ||
      clock_.Monotonic() - *awaiting_since_ <= kMaxRowsWait) {
    return false;
  }
  Log(LogLevel::kWarning,
      "runners are used by rows read before a takeover or a pause",
      {{"runner_rows_age_ms", absl::StrCat(absl::ToInt64Milliseconds(age()))}});
  awaiting_since_.reset();
  return true;
}

bool RunnerTable::RemoveMissing(
    const std::function<bool(const std::string& vm)>& responds) {
  const absl::Time now = clock_.Monotonic();
  return std::erase_if(runners_, [&](const auto& it) {
           const Runner& runner = it.second;
           return runner.missing_since.has_value() &&
                  (!responds(runner.info.vm) ||
                   now - *runner.missing_since > kMissingRowTimeout);
         }) > 0;
}

}  // namespace radishrail::internal
