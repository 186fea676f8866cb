#ifndef RADISHRAIL_SRC_REQUEST_RETRIER_H_
#define RADISHRAIL_SRC_REQUEST_RETRIER_H_

#include <functional>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/filter.h"
#include "radishrail/metrics.h"

namespace radishrail::internal {

// Repeats submissions that were refused for a reason that passes within
// seconds, such as key ranges that are changing their owner. A repetition is
// idempotent, since the owner deduplicates by key. Single-threaded.
class RequestRetrier {
 public:
  using RunFunction = std::function<void(CallerRequest, CallerResponder)>;

  RequestRetrier(const Clock& clock, Metrics& metrics, RunFunction run);

  // Runs a request that arrived from a caller.
  void Run(CallerRequest request, CallerResponder respond);
  void Tick();
  size_t waiting() const { return waiting_.size(); }

 private:
  struct Attempt {
    CallerRequest request;
    CallerResponder respond;
    absl::Time give_up;
    absl::Time next;
  };

  void Start(const std::shared_ptr<Attempt>& attempt);

  const Clock& clock_;
  const RunFunction run_;
  Counter& retries_;
  std::vector<std::shared_ptr<Attempt>> waiting_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_REQUEST_RETRIER_H_
