#ifndef RADISHRAIL_SRC_CLIENT_MEMORY_H_
#define RADISHRAIL_SRC_CLIENT_MEMORY_H_

#include <memory>

#include "radishrail/memory_budget.h"
#include "radishrail/settings.h"

namespace radishrail::internal {

// The memory that clients may occupy by the settings.
std::shared_ptr<MemoryBudget> MakeClientMemory(const Settings& settings);

// Makes the allocator return the memory of large bodies when they are freed.
void SetAllocatorThresholds();

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_CLIENT_MEMORY_H_
