#include "radishrail/memory_budget.h"

#include <tuple>

namespace radishrail {

namespace {

// The rest is for the process without clients (up to 24 MB were measured in a
// fleet of 300 VMs), for jobs that were accepted, and for buffers of sockets.
constexpr size_t kClientShareDivisor = 4;
// A body that is smaller and whose client sends is closed last: ordinary
// requests are small.
constexpr size_t kLargeBodyBytes = 48 * 1024;
constexpr absl::Duration kSlowSilence = absl::Seconds(1);

// Larger is closed earlier. First large or stalled bodies, the largest and
// slowest first; then connections without a request, the longest idle first.
std::tuple<int, double> CloseOrder(const HeldMemory& it) {
  const double silence_s = absl::ToDoubleSeconds(it.silence);
  if (it.phase == HeldMemory::Phase::kIdle) {
    return {1, silence_s};
  }
  const bool outlier =
      it.bytes >= kLargeBodyBytes || it.silence >= kSlowSilence;
  // One second keeps bodies that have just grown in the order of their size.
  return {outlier ? 2 : 0, static_cast<double>(it.bytes) * (1 + silence_s)};
}

}  // namespace

bool MemoryBudget::TryReserve(size_t bytes) {
  size_t used = used_;
  do {
    if (bytes > limit_ || used > limit_ - bytes) {
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + bytes));
  RaisePeak(used + bytes);
  return true;
}

void MemoryBudget::Reserve(size_t bytes) {
  RaisePeak(used_.fetch_add(bytes) + bytes);
}

void MemoryBudget::Release(size_t bytes) {
  used_ -= bytes;
}

void MemoryBudget::RaisePeak(size_t used) {
  size_t peak = peak_;
  while (peak < used && !peak_.compare_exchange_weak(peak, used)) {
  }
}

size_t ClientMemoryBytes(size_t machine_bytes) {
  return machine_bytes / kClientShareDivisor;
}

std::optional<size_t> ChooseConnectionToClose(
    std::span<const HeldMemory> connections) {
  std::optional<size_t> best;
  for (size_t i = 0; i < connections.size(); ++i) {
    if (connections[i].phase != HeldMemory::Phase::kWaiting &&
        (!best.has_value() ||
         CloseOrder(connections[i]) > CloseOrder(connections[*best]))) {
      best = i;
    }
  }
  return best;
}

}  // namespace radishrail
