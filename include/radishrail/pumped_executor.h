#ifndef RADISHRAIL_PUMPED_EXECUTOR_H_
#define RADISHRAIL_PUMPED_EXECUTOR_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/executor.h"

namespace radishrail {

// Runs tasks on another executor and calls the pump after each batch of tasks
// and at the time that the pump's last call requested. A node is thus called
// after each event and at its due times, without polling.
class PumpedExecutor : public Executor {
 public:
  // Returns the latest time of its next call.
  using Pump = std::function<absl::Time()>;

  PumpedExecutor(Executor& executor, const Clock& clock)
      : executor_(executor), clock_(clock) {}

  // Call it once, on the executor's thread or before any task is posted.
  void SetPump(Pump pump) { pump_ = std::move(pump); }

  void Post(std::function<void()> task) override {
    executor_.Post([this, task = std::move(task)] {
      task();
      RequestPump();
    });
  }
  void PostDelayed(absl::Duration delay, std::function<void()> task) override {
    executor_.PostDelayed(delay, [this, task = std::move(task)] {
      task();
      RequestPump();
    });
  }

 private:
  // Posts a call of the pump, so that tasks posted before it run first.
  void RequestPump() {
    if (!std::exchange(pump_requested_, true)) {
      executor_.Post([this] { RunPump(); });
    }
  }

  void RunPump() {
    pump_requested_ = false;
    const absl::Time due = pump_();
    const absl::Time now = clock_.Monotonic();
    if (due < timer_due_ || timer_due_ <= now) {
      timer_due_ = due;
      executor_.PostDelayed(std::max(due - now, kMinDelay), [this, due] {
        if (due == timer_due_) {
          timer_due_ = absl::InfiniteFuture();
          RunPump();
        }
      });
    }
  }

  // Limits the call rate of a pump whose due time does not advance.
  static constexpr absl::Duration kMinDelay = absl::Milliseconds(1);

  Executor& executor_;
  const Clock& clock_;
  Pump pump_;
  bool pump_requested_ = false;
  absl::Time timer_due_ = absl::InfiniteFuture();
};

}  // namespace radishrail

#endif  // RADISHRAIL_PUMPED_EXECUTOR_H_
