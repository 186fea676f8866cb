#ifndef RADISHRAIL_RUN_TRACE_H_
#define RADISHRAIL_RUN_TRACE_H_

#include "radishrail/clock.h"
#include "radishrail/decision_log.h"
#include "radishrail/run_observer.h"
#include "radishrail/timeline.h"

namespace radishrail {

// Records the orders to start runs in the timeline and logs how runs of jobs
// that were over ended.
class RunTrace : public RunObserver {
 public:
  RunTrace(const Clock& clock, Timeline& timeline, DecisionLog& log)
      : clock_(clock), timeline_(timeline), log_(log) {}

  void OnRunOrdered(const RunInfo& run) override;
  void OnRunStopped(const RunInfo& run,
                    const RunStops& stops,
                    const TaskResult& result) override;
  void OnUntrackedRun(const RunInfo& run) override;

 private:
  const Clock& clock_;
  Timeline& timeline_;
  DecisionLog& log_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RUN_TRACE_H_
