#ifndef RADISHRAIL_CRASH_TABLE_H_
#define RADISHRAIL_CRASH_TABLE_H_

#include <cstdint>
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

// Remembers the upstreams that were lost under a task, also after its job has
// ended, and decides whether the job may run. Single-threaded.
class CrashTable {
 public:
  explicit CrashTable(const Clock& clock) : clock_(clock) {}

  // Records what this daemon found out.
  void Record(const RunFate& fate);
  // Records what a peer found out, which is not passed on.
  void RecordOfPeer(const RunFate& fate);
  CrashVerdict Judge(const std::string& job_key) const;
  // What peers should know: what this daemon found out a moment ago.
  std::vector<RunFate> Shared();
  // Forgets old entries.
  void Tick();

 private:
  // By name and incarnation: an upstream may crash, return and crash again.
  using FateOfUpstream =
      std::map<std::pair<std::string, int64_t>, UpstreamFate>;
  struct Job {
    std::map<std::string, FateOfUpstream> tasks;
    absl::Time updated;
  };

  struct SharedFate {
    absl::Time until;
    RunFate fate;
  };

  const FateOfUpstream* Apply(const RunFate& fate);
  void Share(std::deque<SharedFate>& queue, const RunFate& fate) const;

  const Clock& clock_;
  absl::flat_hash_map<std::string, Job> jobs_;  // by key
  absl::Time next_cleanup_ = absl::InfinitePast();
  // All upstreams lost under tasks that lost more than one.
  std::deque<SharedFate> shared_repeated_;
  // Other losses, and upstreams that answer again. A rack that is lost causes
  // many, which must not displace the repeated ones.
  std::deque<SharedFate> shared_single_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_CRASH_TABLE_H_
