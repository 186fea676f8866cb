#ifndef RADISHRAIL_DECISION_LOG_H_
#define RADISHRAIL_DECISION_LOG_H_

#include <cstddef>
#include <initializer_list>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/line_budget.h"
#include "radishrail/log.h"
#include "radishrail/metrics.h"
#include "radishrail/timeline.h"

namespace radishrail {

// Kinds of logged decisions on a request; docs/OPERATIONS.md explains each.
enum class Decision {
  kJobOffered,
  kJobOfferedAgain,
  kJobJoined,
  kJobRefused,
  kJobUnknown,
  kJobAbandoned,
  kJobAdmitted,
  kJobNotAdmitted,
  kJobEnded,
  kJobHistory,
  kJobCancelled,
  kJobRepeated,
  kRunStopped,
  kMaxValue = kRunStopped,
};

std::string_view DecisionName(Decision decision);

// Writes one log line for each decision and limits the lines per second of each
// kind. The next line of a kind states how many were suppressed; suppressed
// histories are only counted in the metric. Kinds on jobs whose runs may
// continue after their end have larger budgets. Not thread-safe.
class DecisionLog {
 public:
  static constexpr int kLinesPerSecond = 20;
  // Budgets of the kinds on jobs that were cancelled or given up.
  static constexpr int kCancelLinesPerSecond = 100;
  static constexpr int kRunLinesPerSecond = 200;
  // A history that was begun within this budget is written completely.
  static constexpr int kCancelHistoryLinesPerSecond = 300;
  // Number of events in the history of a request; older ones are omitted.
  static constexpr size_t kHistoryEvents = 60;

  DecisionLog(const Clock& clock, Metrics& metrics);

  // `outcome` is the result of the decision, `fields` are its inputs.
  void Write(Decision decision,
             std::string_view request,
             std::string_view outcome,
             std::initializer_list<LogField> fields = {});
  // Writes the recorded events of a failed request, one line for each. The
  // budget counts a history as one line, whatever its number of events.
  void WriteHistory(std::string_view request, const Timeline& timeline);
  // The same for a request that was cancelled or given up; its budget counts
  // lines.
  void WriteCancelHistory(std::string_view request, const Timeline& timeline);

 private:
  LineBudget& BudgetOf(Decision decision) {
    return budgets_[static_cast<size_t>(decision)];
  }
  bool TryConsume(LineBudget& budget);
  void WriteEvent(std::string_view request, const Event& event);

  const Clock& clock_;
  Counter& suppressed_lines_;
  std::vector<LineBudget> budgets_;  // one for each decision
  LineBudget cancel_history_budget_{kCancelHistoryLinesPerSecond};
};

}  // namespace radishrail

#endif  // RADISHRAIL_DECISION_LOG_H_
