#include "request_retrier.h"

#include <algorithm>
#include <utility>

namespace radishrail::internal {

namespace {

constexpr absl::Duration kRetryInterval = absl::Milliseconds(100);
// A handover of key ranges takes up to about 4 s, two polls of the table.
constexpr absl::Duration kMaxRetryTime = absl::Seconds(6);
// Share of the deadline that may be spent on retries.
constexpr double kMaxRetryShare = 0.3;

}  // namespace

RequestRetrier::RequestRetrier(const Clock& clock,
                               Metrics& metrics,
                               RunFunction run)
    : clock_(clock),
      run_(std::move(run)),
      retries_(metrics.counter(
          "radishrail_requests_retried_total",
          "Submissions repeated after a refusal for a passing reason")) {}

void RequestRetrier::Run(CallerRequest request, CallerResponder respond) {
  ParseCallerRequest(request);
  if (!request.job.has_value()) {
    run_(std::move(request), std::move(respond));
    return;
  }
  const absl::Time now = clock_.Monotonic();
  auto pending = std::make_shared<PendingRequest>();
  pending->retry_until =
      now + std::min(kMaxRetryTime, request.job->deadline * kMaxRetryShare);
  pending->request = std::move(request);
  pending->respond = std::move(respond);
  Start(pending);
}

// Copies the request, which is needed again if it is refused. Copying a body of
// 80 KB takes about 10 us, parsing it 800 us.
void RequestRetrier::Start(const std::shared_ptr<PendingRequest>& pending) {
  CallerRequest request = pending->request;
  run_(std::move(request), [this, pending](const CallerResponse& response) {
    const absl::Time now = clock_.Monotonic();
    if (response.transient && now < pending->retry_until) {
      pending->next_retry = now + kRetryInterval;
      waiting_.push_back(pending);
      return;
    }
    pending->respond(response);
  });
}

void RequestRetrier::Tick() {
  const absl::Time now = clock_.Monotonic();
  std::vector<std::shared_ptr<PendingRequest>> due;
  std::erase_if(waiting_, [&](const std::shared_ptr<PendingRequest>& it) {
    if (it->next_retry > now) {
      return false;
    }
    due.push_back(it);
    return true;
  });
  for (const auto& it : due) {
    retries_.Add();
    Start(it);
  }
}

}  // namespace radishrail::internal
