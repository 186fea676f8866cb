#ifndef RADISHRAIL_MEMORY_BUDGET_H_
#define RADISHRAIL_MEMORY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <optional>
#include <span>

#include "absl/time/time.h"

namespace radishrail {

// Accounts for the memory that clients make a process hold. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(size_t limit_bytes) : limit_(limit_bytes) {}

  // Returns false, and reserves nothing, if the limit would be exceeded.
  bool TryReserve(size_t bytes);
  // Reserves in any case, for memory that is held already.
  void Reserve(size_t bytes);
  void Release(size_t bytes);

  size_t limit() const { return limit_; }
  size_t used() const { return used_; }
  // Largest amount reserved so far.
  size_t peak() const { return peak_; }

 private:
  void RaisePeak(size_t used);

  const size_t limit_;
  std::atomic<size_t> used_ = 0;
  std::atomic<size_t> peak_ = 0;
};

// The share of a machine's memory that clients may make a daemon hold.
size_t ClientMemoryBytes(size_t machine_bytes);

// What a client's connection holds.
struct HeldMemory {
  enum class Phase {
    kIdle,     // awaits a request or receives its header
    kBody,     // receives the body of a request
    kWaiting,  // its request was received and is not answered
  };
  Phase phase = Phase::kIdle;
  size_t bytes = 0;
  // Time since the client last sent something.
  absl::Duration silence;
};

// Position of the connection to close first if memory or connections run out;
// nullopt if all wait for an answer.
std::optional<size_t> ChooseConnectionToClose(
    std::span<const HeldMemory> connections);

}  // namespace radishrail

#endif  // RADISHRAIL_MEMORY_BUDGET_H_
