#ifndef RADISHRAIL_SRC_RUNNER_TABLE_H_
#define RADISHRAIL_SRC_RUNNER_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/metrics.h"
#include "radishrail/store.h"

namespace radishrail::internal {

// What the rows of runners in the store say, and whether they are recent enough
// to start tasks by. Single-threaded.
class RunnerTable {
 public:
  struct Runner {
    VmInfo info;
    int64_t row_version = 0;
    std::optional<absl::Time> missing_since;
  };
  using Parser =
      std::function<std::optional<VmInfo>(const Row& row, Error* error)>;

  // `owns_pool`: whether this daemon owns the pool of a failure domain. Changes
  // in other pools are not logged.
  RunnerTable(const Clock& clock,
              Parser parse,
              std::function<bool(const std::string& pool)> owns_pool,
              Metrics& metrics);

  // `is_snapshot`: `rows` are all rows; otherwise the changed ones.
  void OnRows(const std::vector<Row>& rows, bool is_snapshot);
  // Rows that were read before must not be relied on: a pool was acquired, or
  // the daemon was paused.
  void AwaitRows() { awaiting_since_ = clock_.Monotonic(); }
  void StopAwaitingRows() { awaiting_since_.reset(); }
  bool is_awaiting_rows() const { return awaiting_since_.has_value(); }
  // Stops awaiting rows and returns true if the store has not answered in time.
  bool ExpireWait();
  // Removes runners whose row is missing: at once if the runner does not
  // respond either, otherwise later. Returns true if there were any.
  bool RemoveMissing(
      const std::function<bool(const std::string& vm)>& responds);

  const std::map<std::string, Runner>& runners() const { return runners_; }
  // Number of rows that could not be decoded when they were read last.
  size_t malformed_rows() const { return malformed_.size(); }
  // Time since rows were read.
  absl::Duration age() const { return clock_.Monotonic() - read_at_; }

 private:
  void ApplyRow(const Row& row);
  void OnMalformedRow(const Row& row, const Error& error);
  void MarkMissing(Runner& runner);
  void LogStateChange(const Runner& known, const Row& row, const VmInfo& info);

  const Clock& clock_;
  const Parser parse_;
  const std::function<bool(const std::string& pool)> owns_pool_;
  Counter& malformed_rows_;
  std::map<std::string, Runner> runners_;  // by row key
  std::set<std::string> malformed_;        // keys of rows
  absl::Time read_at_ = absl::InfinitePast();
  std::optional<absl::Time> awaiting_since_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_RUNNER_TABLE_H_
