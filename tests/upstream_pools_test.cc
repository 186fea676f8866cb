#include "upstream_pools.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

// Guards against tasks that run nowhere while all upstreams are cold, as they
// need more than the slots of a cold upstream, and against a second task beside
// such a one.
TEST(UpstreamPoolsTest, ColdUpstream_Idle_TakesOneTaskOfAnySize) {
  constexpr int kSlots = 8;
  UpstreamPools pools(SpillPolicy::kFastest, 1);
  UpstreamCapacity capacity;
  capacity.slots = kSlots / 2;
  capacity.slots_if_idle = kSlots;
  pools.Set(capacity);
  const PoolId large = pools.FindPool({}, kSlots);
  const PoolId small = pools.FindPool({}, 1);
  EXPECT_EQ(pools.Choose(large, 0, std::nullopt), 0u);
  pools.Occupy(0, 1);
  EXPECT_FALSE(pools.HasFree(large));
  EXPECT_TRUE(pools.HasFree(small));
  pools.Occupy(0, -1);
  pools.Occupy(0, kSlots);
  EXPECT_FALSE(pools.HasFree(small));
  pools.Occupy(0, -kSlots);
  EXPECT_TRUE(pools.HasFree(large));
}

}  // namespace
}  // namespace radishrail::internal
