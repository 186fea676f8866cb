#ifndef RADISHRAIL_SRC_REQUEST_FILTERS_H_
#define RADISHRAIL_SRC_REQUEST_FILTERS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "radishrail/document_controller.h"
#include "radishrail/filter.h"
#include "radishrail/forwarder.h"
#include "radishrail/job_controller.h"
#include "radishrail/metrics.h"
#include "radishrail/ownership.h"
#include "radishrail/timeline.h"

namespace radishrail::internal {

// Checks the size of the request and the syntax of the key.
class KeyFilter : public RequestFilter {
 public:
  KeyFilter(size_t max_body_bytes, std::vector<std::string> failure_domains)
      : max_body_bytes_(max_body_bytes),
        failure_domains_(std::move(failure_domains)) {}
  std::string_view name() const override { return "key"; }
  bool Apply(RequestContext& context) override;

 private:
  const size_t max_body_bytes_;
  const std::vector<std::string> failure_domains_;
};

// Parses the body of a submission.
class ParsingFilter : public RequestFilter {
 public:
  std::string_view name() const override { return "parsing"; }
  bool Apply(RequestContext& context) override;
};

// Finds the environment document of a submission and checks the token.
class EnvironmentFilter : public RequestFilter {
 public:
  explicit EnvironmentFilter(const DocumentController& documents)
      : documents_(documents) {}
  std::string_view name() const override { return "environment"; }
  bool Apply(RequestContext& context) override;

 private:
  const DocumentController& documents_;
};

// Answers requests whose key is in the job table of this daemon: joins the job,
// reports its state or cancels it.
class DeduplicationFilter : public RequestFilter {
 public:
  DeduplicationFilter(JobController& jobs, const DocumentController& documents)
      : jobs_(jobs), documents_(documents) {}
  std::string_view name() const override { return "deduplication"; }
  bool Apply(RequestContext& context) override;

 private:
  bool AllowsToken(const RequestContext& context) const;

  JobController& jobs_;
  const DocumentController& documents_;
};

// Forwards requests whose key another daemon owns, and refuses keys that no
// daemon can currently accept.
class OwnershipFilter : public RequestFilter {
 public:
  OwnershipFilter(const OwnershipController& ownership,
                  Forwarder& forwarder,
                  Metrics& metrics,
                  Timeline& timeline);
  std::string_view name() const override { return "ownership"; }
  bool Apply(RequestContext& context) override;

 private:
  void ForwardTo(const MemberRecord& target, RequestContext& context);

  const OwnershipController& ownership_;
  Forwarder& forwarder_;
  Timeline& timeline_;
  Counter& not_run_;
  Counter& unknown_;
};

// Adds a new job, whose key this daemon owns, to the job table.
class AdmissionFilter : public RequestFilter {
 public:
  // `accepting` returns false while the daemon starts and after its drain
  // delay.
  AdmissionFilter(JobController& jobs, std::function<bool()> accepting)
      : jobs_(jobs), accepting_(std::move(accepting)) {}
  std::string_view name() const override { return "admission"; }
  bool Apply(RequestContext& context) override;

 private:
  JobController& jobs_;
  const std::function<bool()> accepting_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_REQUEST_FILTERS_H_
