#ifndef RADISHRAIL_CONTROL_LOOP_H_
#define RADISHRAIL_CONTROL_LOOP_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/executor.h"

namespace radishrail {

// Executor on one thread of its own, with timers on the monotonic clock. A post
// costs one lock and, only if the thread is asleep, one wake-up.
class ControlLoop : public Executor {
 public:
  // `name` is the name of the thread, at most 15 characters.
  explicit ControlLoop(const std::string& name = "control");
  ~ControlLoop() override;
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Post(std::function<void()> task) override;
  // Timers with the same due time run in the order in which they were posted.
  void PostDelayed(absl::Duration delay, std::function<void()> task) override;

  // Runs all queued tasks, drops all timers and joins the thread.
  // Later posts are dropped. Must not be called on the loop's own thread.
  void Stop();
  // True on the loop's own thread.
  bool IsCurrent() const;

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Timer {
    TimePoint due;
    uint64_t sequence = 0;
    std::function<void()> task;
  };

  // Orders the heap so that the earliest timer is at the front.
  static bool IsLater(const Timer& a, const Timer& b);
  void Run();
  void RunDueTimers();
  void PushTimer(Timer timer);

  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::function<void()>> posted_;
  std::vector<Timer> new_timers_;
  uint64_t next_sequence_ = 0;
  bool sleeping_ = false;
  bool stopping_ = false;

  // Used by the loop's thread only.
  std::vector<Timer> timers_;
  std::thread thread_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_CONTROL_LOOP_H_
