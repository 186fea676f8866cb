#include "radishrail/metrics.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace radishrail {

namespace {

constexpr absl::Duration kFirstUpperBound = absl::Microseconds(50);

void AppendHeader(std::string& out,
                  const std::string& name,
                  const std::string& help,
                  std::string_view type) {
  if (!help.empty()) {
    absl::StrAppend(&out, "# HELP ", name, " ", help, "\n");
  }
  absl::StrAppend(&out, "# TYPE ", name, " ",
                  absl::string_view(type.data(), type.size()), "\n");
}

void AppendHistogram(std::string& out,
                     const std::string& name,
                     const Histogram& histogram) {
  uint64_t cumulative = 0;
  for (size_t i = 0; i + 1 < Histogram::kBuckets; ++i) {
    cumulative += histogram.bucket_count(i);
    absl::StrAppend(&out, name, "_bucket{le=\"",
                    absl::ToDoubleSeconds(Histogram::UpperBound(i)), "\"} ",
                    cumulative, "\n");
  }
  absl::StrAppend(&out, name, "_bucket{le=\"+Inf\"} ", histogram.count(), "\n",
                  name, "_sum ", absl::ToDoubleSeconds(histogram.sum()), "\n",
                  name, "_count ", histogram.count(), "\n");
}

}  // namespace

absl::Duration Histogram::UpperBound(size_t bucket) {
  if (bucket + 1 >= kBuckets) {
    return absl::InfiniteDuration();
  }
  return kFirstUpperBound * (int64_t{1} << bucket);
}

void Histogram::Record(absl::Duration duration) {
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && duration > UpperBound(bucket)) {
    ++bucket;
  }
  counts_[bucket].fetch_add(1, std::memory_order_relaxed);
  sum_us_.fetch_add(absl::ToInt64Microseconds(duration),
                    std::memory_order_relaxed);
}

uint64_t Histogram::count() const {
  uint64_t n = 0;
  for (const auto& it : counts_) {
    n += it.load(std::memory_order_relaxed);
  }
  return n;
}

absl::Duration Histogram::sum() const {
  return absl::Microseconds(sum_us_.load(std::memory_order_relaxed));
}

absl::Duration Histogram::Quantile(double quantile) const {
  const uint64_t total = count();
  const double wanted = quantile * static_cast<double>(total);
  uint64_t seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += bucket_count(i);
    if (seen > 0 && static_cast<double>(seen) >= wanted) {
      return UpperBound(i);
    }
  }
  return absl::ZeroDuration();
}

Metrics::Entry& Metrics::FindOrAdd(std::string_view name,
                                   std::string_view help) {
  auto it = std::find_if(entries_.begin(), entries_.end(),
                         [&](const auto& e) { return e->name == name; });
  if (it == entries_.end()) {
    entries_.push_back(std::make_unique<Entry>());
    it = std::prev(entries_.end());
    (*it)->name = std::string(name);
    (*it)->help = std::string(help);
  }
  return **it;
}

Counter& Metrics::counter(std::string_view name, std::string_view help) {
  const std::lock_guard lock(mutex_);
  Entry& entry = FindOrAdd(name, help);
  if (entry.counter == nullptr) {
    entry.counter = std::make_unique<Counter>();
  }
  return *entry.counter;
}

Gauge& Metrics::gauge(std::string_view name, std::string_view help) {
  const std::lock_guard lock(mutex_);
  Entry& entry = FindOrAdd(name, help);
  if (entry.gauge == nullptr) {
    entry.gauge = std::make_unique<Gauge>();
  }
  return *entry.gauge;
}

Histogram& Metrics::histogram(std::string_view name, std::string_view help) {
  const std::lock_guard lock(mutex_);
  Entry& entry = FindOrAdd(name, help);
  if (entry.histogram == nullptr) {
    entry.histogram = std::make_unique<Histogram>();
  }
  return *entry.histogram;
}

std::string Metrics::Render() const {
  const std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& it : entries_) {
    if (it->counter != nullptr) {
      AppendHeader(out, it->name, it->help, "counter");
      absl::StrAppend(&out, it->name, " ", it->counter->value(), "\n");
    }
    if (it->gauge != nullptr) {
      AppendHeader(out, it->name, it->help, "gauge");
      absl::StrAppend(&out, it->name, " ", it->gauge->value(), "\n");
    }
    if (it->histogram != nullptr) {
      AppendHeader(out, it->name, it->help, "histogram");
      AppendHistogram(out, it->name, *it->histogram);
    }
  }
  return out;
}

}  // namespace radishrail
