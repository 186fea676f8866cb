#ifndef RADISHRAIL_POOL_VIEW_H_
#define RADISHRAIL_POOL_VIEW_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "radishrail/peer_message.h"
#include "radishrail/random.h"
#include "radishrail/scheduler.h"

namespace radishrail {

// The room that a job needs.
struct RoomDemand {
  int slots = 0;       // of all tasks
  int task_slots = 0;  // of the largest task
  // The longest task may take less than its declared run time.
  absl::Duration longest = absl::ZeroDuration();
  absl::Time promise_by;  // monotonic; InfiniteFuture: nothing is promised
};

// What the owner of a pool reported last.
struct PoolLoad {
  int slots = 0;
  int busy = 0;  // includes the jobs offered since the report
  absl::Duration backlog = absl::ZeroDuration();
  std::vector<RoomForSize> room;  // by ascending `slots`; empty: unknown
  absl::Time measured = absl::InfinitePast();  // when the owner made the report
  absl::Time reported;                         // when it was received
};

std::vector<PoolRoom> EncodeRoom(const std::vector<RoomForSize>& room);
std::vector<RoomForSize> DecodeRoom(const std::vector<PoolRoom>& room);

// An entry daemon's view of the free room of all pools: the owners' reports,
// corrected by their age, by what this daemon has offered since, and by the
// growth of the load from other daemons. Chooses the pool of a job. Does no
// I/O; single-threaded.
class PoolView {
 public:
  struct Candidate {
    std::string pool;
    // Added to the expected wait, for an owner that is silent.
    absl::Duration penalty = absl::ZeroDuration();
  };

  PoolView(std::string failure_domain, Random& random);

  void OnReport(const std::string& pool, PoolLoad report);
  // A reply of the owner; it does not report all slots.
  void OnReply(const std::string& pool,
               const PoolJobReply& reply,
               absl::Time now);
  void OnOffered(const std::string& pool,
                 const RoomDemand& demand,
                 absl::Time now);

  // The last report; nullptr before the first one.
  const PoolLoad* Find(const std::string& pool) const;
  // The pool for a job: the own failure domain unless another pool starts the
  // job considerably earlier; of several others whose reports do not tell
  // which one is best, one at random in proportion to their room.
  std::optional<std::string> Choose(const std::vector<Candidate>& candidates,
                                    const RoomDemand& demand,
                                    absl::Time now);
  // False if the job certainly starts too late in the pool to keep its promise.
  // True if the room of the pool is unknown.
  bool MayFit(const std::string& pool,
              const RoomDemand& demand,
              absl::Time now) const;
  bool IsRoomKnown(const std::string& pool, const RoomDemand& demand) const;
  // The shortest time until a pool may start such a job; nullopt if the room of
  // all pools is unknown.
  std::optional<absl::Duration> EarliestStart(const RoomDemand& demand,
                                              absl::Time now) const;
  // The reported room for tasks of the job's size, for the log; empty: unknown.
  std::string DescribeRoom(const std::string& pool,
                           const RoomDemand& demand) const;

 private:
  struct Offered {
    absl::Time time;
    int slots = 0;
  };
  struct Pool {
    PoolLoad load;
    std::deque<Offered> offered;  // that the last report may not include
    // Slots a second by which the load from other daemons grows.
    double growth = 0;
  };
  struct Estimate {
    bool known = false;
    absl::Duration wait = absl::InfiniteDuration();
    // Free slots that tasks of the job's size can use.
    double free_slots = 0;
    absl::Duration age = absl::ZeroDuration();
  };

  Estimate EstimateWait(const Pool& pool,
                        const RoomDemand& demand,
                        absl::Time now) const;
  static const RoomForSize* RoomFor(const PoolLoad& load, int task_slots);
  static void DropReported(Pool& pool);

  const std::string failure_domain_;
  Random& random_;
  absl::flat_hash_map<std::string, Pool> pools_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_POOL_VIEW_H_
