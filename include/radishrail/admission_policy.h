#ifndef RADISHRAIL_ADMISSION_POLICY_H_
#define RADISHRAIL_ADMISSION_POLICY_H_

#include <optional>
#include <string_view>

namespace radishrail {

// When a job is admitted.
enum class AdmissionPolicy {
  // The queued work of smaller jobs, at the capacity of the recent peak, leaves
  // time for the job.
  kQueuedWork,
  // The job fits beside all admitted jobs at the capacity of the moment, and
  // jobs without slack go first, so that later ones do not push them past their
  // promised time.
  kReserved,
  kMaxValue = kReserved,
};

// Where shares of scarce capacity act.
enum class SharePolicy {
  // On the order of tasks, while much work is queued.
  kBacklog,
  // At admission as well, with `AdmissionPolicy::kReserved`.
  kAdmission,
  kMaxValue = kAdmission,
};

std::string_view AdmissionPolicyName(AdmissionPolicy policy);
std::optional<AdmissionPolicy> AdmissionPolicyFromName(std::string_view name);
std::string_view SharePolicyName(SharePolicy policy);
std::optional<SharePolicy> SharePolicyFromName(std::string_view name);

}  // namespace radishrail

#endif  // RADISHRAIL_ADMISSION_POLICY_H_
