#include "radishrail/admission_policy.h"

#include <array>

#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 2> kNames = {"queued_work", "reserved"};
constexpr std::array<std::string_view, 2> kShareNames = {"backlog",
                                                         "admission"};

}  // namespace

std::string_view AdmissionPolicyName(AdmissionPolicy policy) {
  return internal::NameOf(kNames, policy);
}

std::optional<AdmissionPolicy> AdmissionPolicyFromName(std::string_view name) {
  return internal::FromName<AdmissionPolicy>(kNames, name);
}

std::string_view SharePolicyName(SharePolicy policy) {
  return internal::NameOf(kShareNames, policy);
}

std::optional<SharePolicy> SharePolicyFromName(std::string_view name) {
  return internal::FromName<SharePolicy>(kShareNames, name);
}

}  // namespace radishrail
