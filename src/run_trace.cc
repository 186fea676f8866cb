#include "radishrail/run_trace.h"

#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace radishrail {

namespace {

std::string_view OutcomeName(TaskOutcome outcome) {
  switch (outcome) {
    case TaskOutcome::kDone:
      return "done";
    case TaskOutcome::kFailed:
      return "failed";
    case TaskOutcome::kNotStarted:
      return "not_started";
    case TaskOutcome::kEnded:
      return "ended";
    case TaskOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

// Empty if the event has not happened.
std::string MillisecondsAfter(absl::Time start, std::optional<absl::Time> at) {
  return at.has_value() ? absl::StrCat(absl::ToInt64Milliseconds(*at - start))
                        : "";
}

}  // namespace

void RunTrace::OnRunOrdered(const RunInfo& run) {
  Event event;
  event.type = EventType::kRunOrdered;
  event.job = run.job_key;
  event.task = run.task_id;
  event.upstream = run.vm;
  event.cause = absl::StrCat("run ", run.run, " fence ", run.fence);
  timeline_.Record(std::move(event));
}

void RunTrace::OnRunStopped(const RunInfo& run,
                            const RunStops& stops,
                            const TaskResult& result) {
  log_.Write(
      Decision::kRunStopped, run.job_key, OutcomeName(result.outcome),
      {{"task", run.task_id},
       {"run", absl::StrCat(run.run)},
       {"upstream", run.vm},
       {"fence", absl::StrCat(run.fence)},
       {"requested_ms", MillisecondsAfter(stops.started, stops.requested)},
       {"sent_ms", MillisecondsAfter(stops.started, stops.first_sent)},
       {"stops_sent", absl::StrCat(stops.sent)},
       {"answered_ms", MillisecondsAfter(stops.started, stops.answered)},
       {"ended_ms", MillisecondsAfter(stops.started, clock_.Monotonic())},
       {"detail", result.error.detail}});
}

void RunTrace::OnUntrackedRun(const RunInfo& run) {
  log_.Write(Decision::kRunStopped, run.job_key, "not_tracked",
             {{"task", run.task_id},
              {"run", absl::StrCat(run.run)},
              {"upstream", run.vm},
              {"fence", absl::StrCat(run.fence)}});
}

}  // namespace radishrail
