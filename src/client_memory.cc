#include "client_memory.h"

#include <malloc.h>

namespace radishrail::internal {

std::shared_ptr<MemoryBudget> MakeClientMemory(const Settings& settings) {
  constexpr size_t kMebibyte = 1024 * 1024;
  return std::make_shared<MemoryBudget>(
      settings.client_memory_mb > 0
          ? settings.client_memory_mb * kMebibyte
          : ClientMemoryBytes(settings.memory_mb * kMebibyte));
}

// By default the allocator's thresholds rise with the sizes that are freed. The
// threshold is the size of a connection's memory, so that such blocks do not
// fragment the heap.
void SetAllocatorThresholds() {
  constexpr int kMapThreshold = 32 * 1024;
  constexpr int kTrimThreshold = 512 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

}  // namespace radishrail::internal
