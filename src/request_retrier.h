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

// Retries submissions that were refused for a transient reason, such as a
// handover of key ranges between owners, which takes seconds. A retry is
// idempotent, since the owner deduplicates by key. Single-threaded.
class RequestRetrier {
 public:
  using RunFunction = std::function<void(CallerRequest, CallerResponder)>;

  RequestRetrier(const Clock& clock, Metrics& metrics, RunFunction run);

  // Runs a request from a caller. Submissions are retried; `respond` gets the
  // response to the last attempt.
  void Run(CallerRequest request, CallerResponder respond);
  // Starts the retries that are due.
  void Tick();
  size_t waiting() const { return waiting_.size(); }

 private:
  struct PendingRequest {
    CallerRequest request;
    CallerResponder respond;
    absl::Time retry_until;
    absl::Time next_retry;
  };

  void Start(const std::shared_ptr<PendingRequest>& pending);

  const Clock& clock_;
  const RunFunction run_;
  Counter& retries_;
  std::vector<std::shared_ptr<PendingRequest>> waiting_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_REQUEST_RETRIER_H_
