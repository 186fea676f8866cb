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

// A caller's request, as it arrived at this daemon or was forwarded by a peer.
struct CallerRequest {
  ForwardMethod method = ForwardMethod::kSubmit;
  std::string key;
  std::string token;
  std::string body;
  uint32_t hops = 0;  // daemons that forwarded the request before
  // Result of `ParseCallerRequest`; the control thread parses if it is absent.
  std::optional<JobSpec> job;
  Error parse_error;
};

struct CallerResponse {
  int http_status = 500;
  std::string body;
  absl::Duration retry_after = absl::ZeroDuration();
  // Refused for a reason that passes within seconds.
  bool transient = false;
};

using CallerResponder = std::function<void(const CallerResponse&)>;

// Parses the body of a submission, so that a traffic thread bears the cost.
void ParseCallerRequest(CallerRequest& request);

// What the filters of one request share.
struct RequestContext {
  CallerRequest request;
  CallerResponder respond;
  std::optional<JobKey> key;
  std::shared_ptr<const VersionedDocument> document;
  absl::Time decided_at = absl::InfiniteFuture();  // of ownership
};

// One step in the handling of a request.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual std::string_view name() const = 0;
  // Returns true to pass the request on, false if it was answered, handed on
  // or kept to be answered later.
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

// Responses that several filters give.
CallerResponse ErrorResponse(const Error& error,
                             absl::Duration retry_after = {});
CallerResponse AnswerResponse(const JobAnswer& answer);
// True for refusals while key ranges change their owner or a daemon starts.
bool IsTransient(const Error& error);

}  // namespace radishrail

#endif  // RADISHRAIL_FILTER_H_
