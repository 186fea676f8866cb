#include "radishrail/policy_scheduler.h"

#include "policy_scheduler_impl.h"

namespace radishrail {

PolicyScheduler::PolicyScheduler(const Clock& clock,
                                 const PolicySchedulerSettings& settings)
    : impl_(std::make_unique<Impl>(clock, settings)) {}
PolicyScheduler::~PolicyScheduler() = default;

std::optional<Refusal> PolicyScheduler::Admit(const JobDemand& demand) {
  return impl_->Admit(demand);
}
std::optional<Placement> PolicyScheduler::Next() {
  return impl_->Next();
}
void PolicyScheduler::Requeue(TaskRef task,
                              absl::Time not_before,
                              std::optional<UpstreamId> avoid) {
  impl_->Requeue(task, not_before, avoid);
}
void PolicyScheduler::Finish(TaskRef task,
                             std::optional<absl::Duration> run_time) {
  impl_->Finish(task, run_time);
}
void PolicyScheduler::Remove(uint64_t job) {
  impl_->Remove(job);
}
std::vector<uint64_t> PolicyScheduler::TakeHopeless() {
  return impl_->TakeHopeless();
}
void PolicyScheduler::SetUpstream(const UpstreamCapacity& capacity) {
  impl_->SetUpstream(capacity);
}
void PolicyScheduler::RemoveUpstream(UpstreamId upstream) {
  impl_->RemoveUpstream(upstream);
}
SchedulerLoad PolicyScheduler::load() const {
  return impl_->load();
}
std::vector<RoomForSize> PolicyScheduler::room() {
  return impl_->room();
}
size_t PolicyScheduler::queued_tasks() const {
  return impl_->queued_tasks();
}
size_t PolicyScheduler::running_tasks() const {
  return impl_->running_tasks();
}

}  // namespace radishrail
