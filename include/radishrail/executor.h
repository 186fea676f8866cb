#ifndef RADISHRAIL_EXECUTOR_H_
#define RADISHRAIL_EXECUTOR_H_

#include <functional>

#include "absl/time/time.h"

namespace radishrail {

// Runs functions on one thread, in the order in which they were posted.
class Executor {
 public:
  virtual ~Executor() = default;
  // May be called from any thread.
  virtual void Post(std::function<void()> task) = 0;
  // Runs `task` not before `delay` has passed.
  virtual void PostDelayed(absl::Duration delay,
                           std::function<void()> task) = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_EXECUTOR_H_
