#include "radishrail/decision_log.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 9> kNames = {
    "job_offered",      "job_offered_again", "job_refused",
    "job_unknown",      "job_abandoned",     "job_admitted",
    "job_not_admitted", "job_ended",         "job_history"};

}  // namespace

std::string_view DecisionName(Decision decision) {
  return internal::NameOf(kNames, decision);
}

DecisionLog::DecisionLog(const Clock& clock, Metrics& metrics)
    : clock_(clock),
      left_out_(metrics.counter("radishrail_log_lines_left_out_total",
                                "Log lines beyond the budget of their kind")) {}

bool DecisionLog::Spend(Decision decision) {
  Budget& budget = budgets_[static_cast<size_t>(decision)];
  const absl::Time now = clock_.Monotonic();
  if (now - budget.second >= absl::Seconds(1)) {
    budget.second = now;
    budget.lines = 0;
  }
  if (budget.lines >= kLinesPerSecond) {
    ++budget.left_out;
    left_out_.Add();
    return false;
  }
  ++budget.lines;
  return true;
}

void DecisionLog::Write(Decision decision,
                        std::string_view request,
                        std::string_view outcome,
                        std::initializer_list<LogField> fields) {
  if (!Spend(decision)) {
    return;
  }
  std::vector<LogField> all = {{"request", std::string(request)},
                               {"outcome", std::string(outcome)}};
  all.insert(all.end(), fields.begin(), fields.end());
  Budget& budget = budgets_[static_cast<size_t>(decision)];
  if (budget.left_out > 0) {
    all.push_back(
        {"left_out", absl::StrCat(std::exchange(budget.left_out, 0))});
  }
  Log(LogLevel::kInfo, DecisionName(decision), all);
}

void DecisionLog::WriteHistory(std::string_view request,
                               const Timeline& timeline) {
  if (!Spend(Decision::kJobHistory)) {
    return;
  }
  for (const auto& it : timeline.Select(request, absl::InfinitePast())) {
    Log(LogLevel::kInfo, DecisionName(Decision::kJobHistory),
        std::vector<LogField>{
            {"request", std::string(request)},
            {"outcome", std::string(EventTypeName(it.type))},
            {"at", absl::FormatTime(absl::RFC3339_full, it.wall,
                                    absl::UTCTimeZone())},
            {"task", it.task},
            {"upstream", it.upstream},
            {"cause", it.cause}});
  }
}

}  // namespace radishrail
