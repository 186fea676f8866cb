#ifndef RADISHRAIL_CRASH_TABLE_H_
#define RADISHRAIL_CRASH_TABLE_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/run_fate.h"

namespace radishrail {

enum class CrashVerdict {
  kRun,
  kGiveUp,      // upstreams crashed under one of its tasks
  kUnresolved,  // too many upstreams may have crashed under one of its tasks
};

// Remembers the upstreams that were lost under a task, also
// after its job has ended, and decides whether the job may run.
// Single-threaded.
class CrashTable {
 public:
  explicit CrashTable(const Clock& clock) : clock_(clock) {}

  // Records what this daemon found out.
  void Record(const RunFate& fate);
  // Records what a peer found out, which is not passed on.
  void RecordOfPeer(const RunFate& fate);
  CrashVerdict Judge(const std::string& job_key) const;
  // What peers should know: recent fates of tasks under which more than one
  // upstream was lost.
  std::vector<RunFate> Shared();
  // Forgets old entries.
  void Tick();

 private:
  using FateOfVm = std::map<std::string, UpstreamFate>;
  struct Job {
    std::map<std::string, FateOfVm> tasks;
    absl::Time updated;
  };

  const FateOfVm* Apply(const RunFate& fate);

  const Clock& clock_;
  absl::flat_hash_map<std::string, Job> jobs_;  // by key
  absl::Time next_cleanup_ = absl::InfinitePast();
  std::deque<std::pair<absl::Time, RunFate>> shared_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_CRASH_TABLE_H_
