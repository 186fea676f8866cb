#ifndef RADISHRAIL_FILTER_H_
#define RADISHRAIL_FILTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/document_controller.h"
#include "radishrail/error.h"
#include "radishrail/job.h"
#include "radishrail/job_answers.h"
#include "radishrail/job_key.h"
#include "radishrail/peer_message.h"

namespace radishrail {

// A caller's request, received from the caller or forwarded by a peer.
struct CallerRequest {
  ForwardMethod method = ForwardMethod::kSubmit;
  std::string key;
  std::string token;
  std::string body;
  uint32_t hops = 0;  // number of daemons that have forwarded it
  // Result of `ParseCallerRequest`; the control thread parses the body if
  // it is absent.
  std::optional<JobSpec> job;
  Error parse_error;
};

struct CallerResponse {
  int http_status = 500;
  std::string body;
  absl::Duration retry_after = absl::ZeroDuration();
  // Refused for a cause that is expected to clear within seconds.
  bool transient = false;
};

using CallerResponder = std::function<void(const CallerResponse&)>;

// Parses the body of a submission. Traffic threads call it to keep the cost off
// the control thread.
void ParseCallerRequest(CallerRequest& request);

// State shared by the filters of one request.
struct RequestContext {
  CallerRequest request;
  CallerResponder respond;
  std::optional<JobKey> key;
  std::shared_ptr<const VersionedDocument> document;
  // Time of the ownership decision.
  absl::Time decided_at = absl::InfiniteFuture();
};

// One step in the handling of a request.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual std::string_view name() const = 0;
  // Returns true to continue with the next filter, false if the request was
  // answered, was forwarded or will be answered later.
  virtual bool Apply(RequestContext& context) = 0;
};

// Runs filters in order until one ends the request.
class FilterChain {
 public:
  explicit FilterChain(std::vector<std::unique_ptr<RequestFilter>> filters);
  void Run(RequestContext context);

 private:
  std::vector<std::unique_ptr<RequestFilter>> filters_;
};

// Responses used by several filters.
CallerResponse ErrorResponse(const Error& error,
                             absl::Duration retry_after = {});
CallerResponse AnswerResponse(const JobAnswer& answer);
// True for refusals while key ranges change owners or while a daemon starts,
// drains or is unreachable.
bool IsTransient(const Error& error);

}  // namespace radishrail

#endif  // RADISHRAIL_FILTER_H_
