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

// Kinds of decisions that touch a request; docs/OPERATIONS.md explains each.
enum class Decision {
  kJobOffered,
  kJobOfferedAgain,
  kJobRefused,
  kJobUnknown,
  kJobAbandoned,
  kJobAdmitted,
  kJobNotAdmitted,
  kJobEnded,
  kJobHistory,
  kMaxValue = kJobHistory,
};

std::string_view DecisionName(Decision decision);

// Writes one log line for each decision, with a budget of lines a second for
// each kind. Lines beyond it are counted in the next line of the kind.
// Single-threaded.
class DecisionLog {
 public:
  static constexpr int kLinesPerSecond = 20;
  // Events of a request that its history shows, the newest ones.
  static constexpr size_t kHistoryEvents = 60;

  DecisionLog(const Clock& clock, Metrics& metrics);

  // `outcome` says what was decided, `fields` what it was decided by.
  void Write(Decision decision,
             std::string_view request,
             std::string_view outcome,
             std::initializer_list<LogField> fields = {});
  // What happened to the request so far, for one that ended badly. One line for
  // each event; the budget counts requests.
  void WriteHistory(std::string_view request, const Timeline& timeline);

 private:
  LineBudget& BudgetOf(Decision decision) {
    return budgets_[static_cast<size_t>(decision)];
  }
  bool Spend(Decision decision);

  const Clock& clock_;
  Counter& left_out_;
  std::vector<LineBudget> budgets_;  // one for each decision
};

}  // namespace radishrail

#endif  // RADISHRAIL_DECISION_LOG_H_
