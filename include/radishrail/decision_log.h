#ifndef RADISHRAIL_DECISION_LOG_H_
#define RADISHRAIL_DECISION_LOG_H_

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "absl/time/time.h"
#include "radishrail/clock.h"
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
  struct Budget {
    absl::Time second;
    int lines = 0;
    uint64_t left_out = 0;
  };

  bool Spend(Decision decision);

  const Clock& clock_;
  Counter& left_out_;
  std::array<Budget, static_cast<size_t>(Decision::kMaxValue) + 1> budgets_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_DECISION_LOG_H_
