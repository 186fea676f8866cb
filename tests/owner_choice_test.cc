#include "owner_choice.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

constexpr uint32_t kSmall = 90;
constexpr uint32_t kMedium = 300;
constexpr uint32_t kLarge = 500;

// Guards against a small VM that owns a pool while larger ones are alive.
TEST(OwnerChoiceTest, ClaimDelay_SmallerVm_WaitsLonger) {
  EXPECT_EQ(ClaimDelay(kLarge, kLarge), absl::ZeroDuration());
  EXPECT_GT(ClaimDelay(kMedium, kLarge), absl::Milliseconds(50));
  EXPECT_GT(ClaimDelay(kSmall, kLarge), 2 * ClaimDelay(kMedium, kLarge));
}

// Guards against a pool that stays without an owner if only small VMs are left.
TEST(OwnerChoiceTest, ClaimDelay_SmallestVm_IsUnderHalfASecond) {
  EXPECT_LT(ClaimDelay(1, 100000), absl::Milliseconds(500));
}

TEST(OwnerChoiceTest, ClaimDelay_SizeUnknown_IsZero) {
  EXPECT_EQ(ClaimDelay(0, kLarge), absl::ZeroDuration());
}

// Guards against changes of the owner that gain little.
TEST(OwnerChoiceTest, IsMuchLarger_SimilarSizes_IsFalse) {
  EXPECT_FALSE(IsMuchLarger(kLarge, kMedium));
  EXPECT_FALSE(IsMuchLarger(kLarge, kLarge));
  EXPECT_TRUE(IsMuchLarger(kMedium, kSmall));
}

}  // namespace
}  // namespace radishrail::internal
