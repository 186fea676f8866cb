#ifndef RADISHRAIL_METRICS_H_
#define RADISHRAIL_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace radishrail {

// Monotonically increasing counter. Thread-safe; `Add` is one atomic addition.
class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

// Value that can go up and down; thread-safe.
class Gauge {
 public:
  void Set(int64_t n) { value_.store(n, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

// Histogram of durations; the upper bounds of the buckets double from 50 us and
// the last is infinite. Thread-safe.
class Histogram {
 public:
  static constexpr size_t kBuckets = 24;

  void Record(absl::Duration duration);
  uint64_t count() const;
  // Upper bound of the bucket that contains the quantile; zero if empty.
  absl::Duration Quantile(double quantile) const;
  static absl::Duration UpperBound(size_t bucket);
  uint64_t bucket_count(size_t bucket) const {
    return counts_[bucket].load(std::memory_order_relaxed);
  }
  absl::Duration sum() const;

 private:
  std::array<std::atomic<uint64_t>, kBuckets> counts_{};
  std::atomic<int64_t> sum_us_{0};
};

// Registry of named metrics. References stay valid as long as the registry.
// Names contain the unit, for example "radishrail_job_response_seconds".
class Metrics {
 public:
  Counter& counter(std::string_view name, std::string_view help = {});
  Gauge& gauge(std::string_view name, std::string_view help = {});
  Histogram& histogram(std::string_view name, std::string_view help = {});
  // All metrics in the Prometheus text exposition format.
  std::string Render() const;

 private:
  struct Entry {
    std::string name;
    std::string help;
    std::unique_ptr<Counter> counter;
    std::unique_ptr<Gauge> gauge;
    std::unique_ptr<Histogram> histogram;
  };

  Entry& FindOrAdd(std::string_view name, std::string_view help);

  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_METRICS_H_
