#include "radishrail/crash_table.h"

#include <algorithm>
#include <cstddef>

namespace radishrail {

namespace {

// Two crashes under one task are hardly chance, and each further one ends the
// work of other callers on that upstream.
constexpr size_t kMaxCrashed = 2;
// A crash is certain only when the upstream is back, some seconds later, and
// had confirmed the run. Otherwise a task may be lost with this many upstreams,
// since they may also be cut off, or may not have received it.
constexpr size_t kMaxLost = 3;
// Longer than clients repeat a job.
constexpr absl::Duration kRetention = absl::Seconds(60);
constexpr absl::Duration kCleanupInterval = absl::Seconds(1);
// Time in which a fate is part of each status message to peers.
constexpr absl::Duration kShareTime = absl::Seconds(1);
constexpr size_t kMaxShared = 200;

}  // namespace

const CrashTable::FateOfVm* CrashTable::Apply(const RunFate& fate) {
  if (fate.fate == UpstreamFate::kAlive && !jobs_.contains(fate.job_key)) {
    return nullptr;
  }
  Job& job = jobs_[fate.job_key];
  job.updated = clock_.Monotonic();
  FateOfVm& vms = job.tasks[fate.task_id];
  if (fate.fate == UpstreamFate::kAlive) {
    const auto it = vms.find(fate.vm);
    if (it != vms.end() && it->second == UpstreamFate::kUncertain) {
      vms.erase(it);
    }
    return &vms;
  }
  UpstreamFate& known = vms.try_emplace(fate.vm, fate.fate).first->second;
  known = std::max(known, fate.fate);
  return &vms;
}

void CrashTable::Record(const RunFate& fate) {
  const FateOfVm* vms = Apply(fate);
  if (vms == nullptr || vms->size() < 2) {
    return;
  }
  const absl::Time until = clock_.Monotonic() + kShareTime;
  for (const auto& [vm, known] : *vms) {
    shared_.push_back({until, {fate.job_key, fate.task_id, vm, known}});
  }
  while (shared_.size() > kMaxShared) {
    shared_.pop_front();
  }
}

void CrashTable::RecordOfPeer(const RunFate& fate) {
  Apply(fate);
}

CrashVerdict CrashTable::Judge(const std::string& job_key) const {
  const auto job = jobs_.find(job_key);
  if (job == jobs_.end()) {
    return CrashVerdict::kRun;
  }
  CrashVerdict verdict = CrashVerdict::kRun;
  for (const auto& [task, vms] : job->second.tasks) {
    const auto crashed = static_cast<size_t>(std::count_if(
        vms.begin(), vms.end(),
        [](const auto& it) { return it.second == UpstreamFate::kCrashed; }));
    if (crashed >= kMaxCrashed) {
      return CrashVerdict::kGiveUp;
    }
    if (vms.size() >= kMaxLost) {
      verdict = CrashVerdict::kUnresolved;
    }
  }
  return verdict;
}

std::vector<RunFate> CrashTable::Shared() {
  const absl::Time now = clock_.Monotonic();
  while (!shared_.empty() && shared_.front().first < now) {
    shared_.pop_front();
  }
  std::vector<RunFate> fates;
  fates.reserve(shared_.size());
  for (const auto& [until, fate] : shared_) {
    fates.push_back(fate);
  }
  return fates;
}

void CrashTable::Tick() {
  const absl::Time now = clock_.Monotonic();
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanupInterval;
  absl::erase_if(jobs_, [now](const auto& it) {
    return now - it.second.updated > kRetention;
  });
}

}  // namespace radishrail
