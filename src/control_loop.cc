#include "radishrail/control_loop.h"

#include <pthread.h>

#include <algorithm>
#include <utility>

namespace radishrail {

namespace {

// Longer delays are clamped to this, so that adding a delay to the current time
// cannot overflow.
constexpr absl::Duration kMaxDelay = absl::Hours(24 * 365);
constexpr size_t kMaxThreadName = 15;

}  // namespace

ControlLoop::ControlLoop(const std::string& name) : thread_([this] { Run(); }) {
  pthread_setname_np(thread_.native_handle(),
                     name.substr(0, kMaxThreadName).c_str());
}

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::Post(std::function<void()> task) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    posted_.push_back(std::move(task));
    wake = std::exchange(sleeping_, false);
  }
  if (wake) {
    wake_.notify_one();
  }
}

void ControlLoop::PostDelayed(absl::Duration delay,
                              std::function<void()> task) {
  const auto bounded = std::clamp(delay, absl::ZeroDuration(), kMaxDelay);
  // Rounded up, since a task must not run before its delay has passed.
  const TimePoint due =
      std::chrono::steady_clock::now() +
      absl::ToChronoNanoseconds(bounded + absl::Nanoseconds(1));
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    new_timers_.push_back({due, next_sequence_++, std::move(task)});
    wake = std::exchange(sleeping_, false);
  }
  if (wake) {
    wake_.notify_one();
  }
}

void ControlLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    sleeping_ = false;
  }
  wake_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool ControlLoop::IsCurrent() const {
  return std::this_thread::get_id() == thread_.get_id();
}

bool ControlLoop::IsLater(const Timer& a, const Timer& b) {
  return a.due != b.due ? a.due > b.due : a.sequence > b.sequence;
}

void ControlLoop::PushTimer(Timer timer) {
  timers_.push_back(std::move(timer));
  std::push_heap(timers_.begin(), timers_.end(), IsLater);
}

void ControlLoop::RunDueTimers() {
  if (timers_.empty()) {
    return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  while (!timers_.empty() && timers_.front().due <= now) {
    std::pop_heap(timers_.begin(), timers_.end(), IsLater);
    const Timer timer = std::move(timers_.back());
    timers_.pop_back();
    timer.task();
  }
}

// The whole queue is swapped out under one lock, so that a burst of posts costs
// the loop one lock and no contention while the batch runs. Timers are checked
// after each batch, so that a busy queue delays them by at most one batch.
void ControlLoop::Run() {
  std::vector<std::function<void()>> batch;
  std::vector<Timer> added;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      while (posted_.empty() && new_timers_.empty() && !stopping_) {
        if (timers_.empty()) {
          sleeping_ = true;
          wake_.wait(lock, [&] { return !sleeping_; });
          continue;
        }
        const TimePoint due = timers_.front().due;
        if (due <= std::chrono::steady_clock::now()) {
          break;
        }
        sleeping_ = true;
        wake_.wait_until(lock, due, [&] { return !sleeping_; });
        sleeping_ = false;
      }
      if (stopping_ && posted_.empty()) {
        return;
      }
      batch.swap(posted_);
      added.swap(new_timers_);
    }
    for (auto& it : added) {
      PushTimer(std::move(it));
    }
    added.clear();
    for (auto& it : batch) {
      it();
      it = nullptr;  // releases the task's captures before the next task runs
    }
    batch.clear();
    RunDueTimers();
  }
}

}  // namespace radishrail
