#include <cstdint>

#include "absl/strings/str_cat.h"
#include "crashing_jobs.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

// Guards against a task that crashes one runner after another while owners are
// lost so often that each takes along what it knows of the last crash.
TEST(CrashingJobsOwnerLossTest, Task_OwnerIsKilledEveryThreeSeconds_IsGivenUp) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    PoolFleet fleet(seed, 3, 8);
    RunCrashingJobs(fleet, absl::Seconds(3));
    EXPECT_THAT(StartsBeyondBudget(fleet), testing::IsEmpty());
  }
}

}  // namespace
}  // namespace radishrail
