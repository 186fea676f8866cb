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
// Time in which a fate is part of each status message to peers, which are sent
// ten times a second.
constexpr absl::Duration kShareTime = absl::Milliseconds(300);
constexpr size_t kMaxShared = 200;

}  // namespace

const CrashTable::FateOfUpstream* CrashTable::Apply(const RunFate& fate) {
  if (fate.fate == UpstreamFate::kAlive && !jobs_.contains(fate.job_key)) {
    return nullptr;
  }
  Job& job = jobs_[fate.job_key];
  job.updated = clock_.Monotonic();
  FateOfUpstream& lost = job.tasks[fate.task_id];
  const std::pair upstream(fate.vm, fate.incarnation);
  if (fate.fate == UpstreamFate::kAlive) {
    const auto it = lost.find(upstream);
    if (it != lost.end() && it->second == UpstreamFate::kUncertain) {
      lost.erase(it);
    }
    return &lost;
  }
  UpstreamFate& known = lost.try_emplace(upstream, fate.fate).first->second;
  known = std::max(known, fate.fate);
  return &lost;
}

void CrashTable::Record(const RunFate& fate) {
  const FateOfUpstream* lost = Apply(fate);
  if (lost == nullptr) {
    return;
  }
  if (lost->size() < 2 || fate.fate == UpstreamFate::kAlive) {
    Share(shared_single_, fate);
    return;
  }
  for (const auto& [upstream, known] : *lost) {
    const auto& [vm, incarnation] = upstream;
    Share(shared_repeated_,
          {fate.job_key, fate.task_id, vm, incarnation, known});
  }
}

void CrashTable::Share(std::deque<SharedFate>& queue,
                       const RunFate& fate) const {
  queue.push_back({clock_.Monotonic() + kShareTime, fate});
  if (queue.size() > kMaxShared) {
    queue.pop_front();
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
  for (const auto& [task, lost] : job->second.tasks) {
    const auto crashed = static_cast<size_t>(std::count_if(
        lost.begin(), lost.end(),
        [](const auto& it) { return it.second == UpstreamFate::kCrashed; }));
    if (crashed >= kMaxCrashed) {
      return CrashVerdict::kGiveUp;
    }
    if (lost.size() >= kMaxLost) {
      verdict = CrashVerdict::kUnresolved;
    }
  }
  return verdict;
}

std::vector<RunFate> CrashTable::Shared() {
  const absl::Time now = clock_.Monotonic();
  std::vector<RunFate> fates;
  // An upstream that answers again was lost before, perhaps with others.
  for (auto* queue : {&shared_repeated_, &shared_single_}) {
    while (!queue->empty() && queue->front().until < now) {
      queue->pop_front();
    }
    for (const auto& it : *queue) {
      fates.push_back(it.fate);
    }
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
