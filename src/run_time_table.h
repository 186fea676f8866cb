#ifndef RADISHRAIL_SRC_RUN_TIME_TABLE_H_
#define RADISHRAIL_SRC_RUN_TIME_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace radishrail::internal {

using KindId = uint32_t;

// Learned run times per kind of task, in seconds, normalised to mean upstream
// speed.
class RunTimeTable {
 public:
  // A run longer than `outlier_factor` times the mean counts as this long.
  RunTimeTable(size_t max_kinds,
               double long_factor,
               double min_long_s,
               double outlier_factor);

  // Finds or adds a kind and acquires a reference for one queued or running
  // task.
  KindId Acquire(uint32_t environment, std::string_view kind, double now_s);
  void Release(KindId kind, double now_s);

  void OnPlaced(KindId kind, int slots, double now_s);
  // `run_s` is negative if the task did not complete.
  void OnEnded(KindId kind, int slots, double run_s);

  // Expected run time. The declared one is used only until the first task of
  // the kind has completed.
  double Expected(KindId kind, double declared_s, double now_s) const;
  // Classifies a kind as long or short by the expected run time of one of its
  // tasks. The running tasks of the kind change their class with it.
  bool ClassifyLong(KindId kind, double expected_s);
  // Slots that tasks of long kinds occupy.
  int long_slots() const { return long_slots_; }

 private:
  struct Kind {
    double mean_s = 0;
    double first_placed_s = -1;
    double last_used_s = 0;
    uint32_t completions = 0;
    uint32_t running = 0;
    int running_slots = 0;
    bool is_long = false;
    uint32_t references = 0;
    std::pair<uint32_t, std::string> key;
  };

  void EvictUnusedKinds(double now_s);

  const size_t max_kinds_;
  const double long_factor_;
  const double min_long_s_;
  const double outlier_factor_;
  std::vector<Kind> kinds_;
  std::vector<KindId> free_ids_;
  absl::flat_hash_map<std::pair<uint32_t, std::string>, KindId> ids_;
  double last_eviction_s_ = -1;
  int long_slots_ = 0;
  // Running estimate of the median run time of completed tasks.
  double median_s_ = 0.2;
  double mean_s_ = 0.2;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_RUN_TIME_TABLE_H_
