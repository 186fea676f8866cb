#include "radishrail/job.h"

#include <array>

#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 6> kTaskStatuses = {
    "queued", "running", "done", "failed", "not_run", "unknown"};
constexpr std::array<std::string_view, 4> kJobStatuses = {"running", "complete",
                                                          "failed", "not_run"};

}  // namespace

std::string_view TaskStatusName(TaskStatus status) {
  return internal::NameOf(kTaskStatuses, status);
}

std::optional<TaskStatus> TaskStatusFromName(std::string_view name) {
  return internal::FromName<TaskStatus>(kTaskStatuses, name);
}

std::string_view JobStatusName(JobStatus status) {
  return internal::NameOf(kJobStatuses, status);
}

std::optional<JobStatus> JobStatusFromName(std::string_view name) {
  return internal::FromName<JobStatus>(kJobStatuses, name);
}

}  // namespace radishrail
