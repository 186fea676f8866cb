#include "radishrail/job.h"

#include <algorithm>
#include <array>

#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 6> kTaskStatuses = {
    "queued", "running", "done", "failed", "not_run", "unknown"};
constexpr std::array<std::string_view, 4> kJobStatuses = {"running", "complete",
                                                          "failed", "not_run"};

// Of a task or an upstream, so that those of a job can be added as `int`.
constexpr int64_t kMaxSlots = 1'000'000;

int64_t DivideUp(int64_t n, int64_t unit) {
  return (n + unit - 1) / unit;
}

}  // namespace

int SlotsNeeded(const Resources& resources) {
  return static_cast<int>(std::clamp<int64_t>(
      std::max(DivideUp(resources.cpu_millis, kCpuMillisPerSlot),
               DivideUp(resources.memory_mb, kMemoryMbPerSlot)),
      1, kMaxSlots));
}

int SlotsOffered(const Resources& resources) {
  return static_cast<int>(
      std::clamp<int64_t>(std::min(resources.cpu_millis / kCpuMillisPerSlot,
                                   resources.memory_mb / kMemoryMbPerSlot),
                          0, kMaxSlots));
}

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
