#include "radishrail/decision_log.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 13> kDecisionNames = {
    "job_offered", "job_offered_again", "job_joined",    "job_refused",
    "job_unknown", "job_abandoned",     "job_admitted",  "job_not_admitted",
    "job_ended",   "job_history",       "job_cancelled", "job_repeated",
    "run_stopped"};

int LinesPerSecond(Decision decision) {
  switch (decision) {
    case Decision::kJobJoined:
    case Decision::kJobUnknown:
    case Decision::kJobAbandoned:
    case Decision::kJobCancelled:
    case Decision::kJobRepeated:
      return DecisionLog::kCancelLinesPerSecond;
    case Decision::kRunStopped:
      return DecisionLog::kRunLinesPerSecond;
    default:
      return DecisionLog::kLinesPerSecond;
  }
}

// The newest events of a request, as many as a history may have.
std::vector<Event> HistoryOf(std::string_view request,
                             const Timeline& timeline) {
  std::vector<Event> events = timeline.Select(request, absl::InfinitePast());
  if (events.size() > DecisionLog::kHistoryEvents) {
    events.erase(events.begin(), events.end() - DecisionLog::kHistoryEvents);
  }
  return events;
}

}  // namespace

std::string_view DecisionName(Decision decision) {
  return internal::NameOf(kDecisionNames, decision);
}

DecisionLog::DecisionLog(const Clock& clock, Metrics& metrics)
    : clock_(clock),
      suppressed_lines_(
          metrics.counter("radishrail_log_lines_left_out_total",
                          "Log lines beyond the budget of their kind")) {
  for (size_t i = 0; i < kDecisionNames.size(); ++i) {
    budgets_.emplace_back(LinesPerSecond(static_cast<Decision>(i)));
  }
}

bool DecisionLog::TryConsume(LineBudget& budget) {
  if (!budget.TryConsume(clock_.Monotonic())) {
    suppressed_lines_.Add();
    return false;
  }
  return true;
}

void DecisionLog::Write(Decision decision,
                        std::string_view request,
                        std::string_view outcome,
                        std::initializer_list<LogField> fields) {
  if (!TryConsume(BudgetOf(decision))) {
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
  if (!TryConsume(BudgetOf(Decision::kJobHistory))) {
    return;
  }
  for (const auto& it : HistoryOf(request, timeline)) {
    WriteEvent(request, it);
  }
}

void DecisionLog::WriteCancelHistory(std::string_view request,
                                     const Timeline& timeline) {
  if (!TryConsume(cancel_history_budget_)) {
    return;
  }
  const std::vector<Event> events = HistoryOf(request, timeline);
  // The first line is consumed above.
  for (size_t i = 1; i < events.size(); ++i) {
    cancel_history_budget_.TryConsume(clock_.Monotonic());
  }
  for (const auto& it : events) {
    WriteEvent(request, it);
  }
}

void DecisionLog::WriteEvent(std::string_view request, const Event& event) {
  const std::vector<LogField> fields = {
      {"request", std::string(request)},
      {"outcome", std::string(EventTypeName(event.type))},
      {"at",
       absl::FormatTime(absl::RFC3339_full, event.wall, absl::UTCTimeZone())},
      {"task", event.task},
      {"upstream", event.upstream},
      {"peer", event.peer},
      {"cause", event.cause}};
  internal::WriteLogLine(LogLevel::kInfo, DecisionName(Decision::kJobHistory),
                         fields);
}

}  // namespace radishrail
