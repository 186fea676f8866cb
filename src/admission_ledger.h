#ifndef RADISHRAIL_SRC_ADMISSION_LEDGER_H_
#define RADISHRAIL_SRC_ADMISSION_LEDGER_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace radishrail::internal {

// Slots that queued tasks of admitted jobs need, by the latest start that keeps
// the promise, and slots that running tasks give back, by their expected end.
// Times are in seconds. A decision costs a pass over a constant number of
// buckets.
class AdmissionLedger {
 public:
  // Number of a bucket since the epoch of the caller's time.
  using Bucket = int64_t;
  // What is later than this counts as not within the time that is examined,
  // until it is removed and added again.
  static constexpr double kHorizonSeconds = 2.5;

  // Adds a queued job's slots and work, in slot-seconds at speed 1. The bucket
  // returned identifies them.
  Bucket AddQueued(double latest_start_s, double slots, double work);
  void RemoveQueued(Bucket bucket, double slots, double work);
  // Adds a running task.
  Bucket AddRunning(double end_s, int slots);
  // The task ended or was taken back.
  void RemoveRunning(Bucket bucket, int slots, double now_s);
  // Moves what is past its time to the overdue totals.
  void Advance(double now_s);

  struct Demand {
    double latest_start_s = 0;
    double slots = 0;
    double work = 0;
  };
  struct Supply {
    int slots = 0;
    double mean_speed = 1;
  };
  struct Shortage {
    double start_s = 0;  // not all tasks with this latest start find room
    double slots = 0;    // missing by then; none if negative
  };
  // The largest shortage if `demand` is added, at its latest start or later.
  Shortage Check(double now_s,
                 const Demand& demand,
                 const Supply& supply) const;

  double queued_slots() const { return queued_slots_; }
  double running_slots() const { return running_slots_; }
  // Adapts the part of the slots that can be used to `used`, the part in use
  // while a queued task found no room.
  void LearnEfficiency(double used);
  double efficiency() const { return efficiency_; }

 private:
  static constexpr size_t kBuckets = 128;  // 2.56 s

  // Of a time beyond the horizon.
  static constexpr Bucket kFar = -1;

  Bucket Find(double at_s) const;
  Shortage CheckFar(double now_s,
                    const Demand& demand,
                    const Supply& supply) const;
  // The total to which a bucket counts now; `far` and `overdue` are those of
  // the times outside of the horizon.
  static double* Total(std::array<double, kBuckets>* totals,
                       Bucket bucket,
                       Bucket first,
                       double* far,
                       double* overdue);

  std::array<double, kBuckets> queued_{};
  std::array<double, kBuckets> ending_{};
  Bucket first_ = 0;
  double overdue_queued_ = 0;
  double overdue_running_ = 0;
  double far_queued_ = 0;
  double far_running_ = 0;
  double queued_slots_ = 0;
  double queued_work_ = 0;
  double running_slots_ = 0;
  // Decaying sums of the times by which running tasks exceeded their expected
  // ends, and of their squares.
  double excess_ = 0;
  double excess_squares_ = 0;
  double efficiency_ = 0.9;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_ADMISSION_LEDGER_H_
