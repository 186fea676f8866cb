#include "radishrail/decision_log.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 10> kDecisionNames = {
    "job_offered", "job_offered_again", "job_joined",   "job_refused",
    "job_unknown", "job_abandoned",     "job_admitted", "job_not_admitted",
    "job_ended",   "job_history"};

}  // namespace

std::string_view DecisionName(Decision decision) {
  return internal::NameOf(kDecisionNames, decision);
}

DecisionLog::DecisionLog(const Clock& clock, Metrics& metrics)
    : clock_(clock),
      suppressed_lines_(
          metrics.counter("radishrail_log_lines_left_out_total",
                          "Log lines beyond the budget of their kind")),
      budgets_(kDecisionNames.size(), LineBudget(kLinesPerSecond)) {}

bool DecisionLog::TryConsume(Decision decision) {
  if (!BudgetOf(decision).TryConsume(clock_.Monotonic())) {
    suppressed_lines_.Add();
    return false;
  }
  return true;
}

void DecisionLog::Write(Decision decision,
                        std::string_view request,
                        std::string_view outcome,
                        std::initializer_list<LogField> fields) {
  if (!TryConsume(decision)) {
    return;
  }
  std::vector<LogField> all_fields = {{"request", std::string(request)},
                                      {"outcome", std::string(outcome)}};
  all_fields.insert(all_fields.end(), fields.begin(), fields.end());
  const uint64_t suppressed = BudgetOf(decision).TakeSuppressed();
  if (suppressed > 0) {
    all_fields.push_back({"left_out", absl::StrCat(suppressed)});
  }
  internal::WriteLogLine(LogLevel::kInfo, DecisionName(decision), all_fields);
}

void DecisionLog::WriteHistory(std::string_view request,
                               const Timeline& timeline) {
  if (!TryConsume(Decision::kJobHistory)) {
    return;
  }
  const auto events = timeline.Select(request, absl::InfinitePast());
  const size_t first =
      events.size() > kHistoryEvents ? events.size() - kHistoryEvents : 0;
  for (size_t i = first; i < events.size(); ++i) {
    const auto& it = events[i];
    const std::vector<LogField> fields = {
        {"request", std::string(request)},
        {"outcome", std::string(EventTypeName(it.type))},
        {"at",
         absl::FormatTime(absl::RFC3339_full, it.wall, absl::UTCTimeZone())},
        {"task", it.task},
        {"upstream", it.upstream},
        {"cause", it.cause}};
    internal::WriteLogLine(LogLevel::kInfo, DecisionName(Decision::kJobHistory),
                           fields);
  }
}

}  // namespace radishrail
