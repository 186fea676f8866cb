#include "radishrail/memory_budget.h"

#include <array>

#include "gtest/gtest.h"

namespace radishrail {
namespace {

using Phase = HeldMemory::Phase;

constexpr size_t kSmall = 33 * 1024;
constexpr size_t kLarge = 256 * 1024;

// Guards against memory beyond the limit, and against a refused reservation
// that stays counted.
TEST(MemoryBudgetTest, TryReserve_BeyondLimit_ReservesNothing) {
  MemoryBudget budget(100);
  EXPECT_TRUE(budget.TryReserve(60));
  EXPECT_FALSE(budget.TryReserve(41));
  EXPECT_FALSE(budget.TryReserve(static_cast<size_t>(-1)));
  EXPECT_TRUE(budget.TryReserve(40));
  budget.Release(100);
  EXPECT_EQ(budget.used(), 0u);
  EXPECT_EQ(budget.peak(), 100u);
}

// Guards against a new small request being refused in favor of held ones.
TEST(ChooseConnectionToCloseTest, LargeAndSilentBodies_AreClosedFirst) {
  const std::array<HeldMemory, 4> held = {
      HeldMemory{Phase::kBody, kSmall, absl::ZeroDuration()},
      HeldMemory{Phase::kBody, kLarge, absl::Seconds(1)},
      HeldMemory{Phase::kBody, kLarge, absl::Seconds(5)},
      HeldMemory{Phase::kIdle, kSmall, absl::Minutes(5)}};
  EXPECT_EQ(ChooseConnectionToClose(held), 2u);
}

// Guards against many requests that stop after a few bytes.
TEST(ChooseConnectionToCloseTest, SmallBodyWithoutProgress_IsClosedBeforeIdle) {
  const std::array<HeldMemory, 2> held = {
      HeldMemory{Phase::kIdle, kSmall, absl::Minutes(5)},
      HeldMemory{Phase::kBody, kSmall, absl::Seconds(2)}};
  EXPECT_EQ(ChooseConnectionToClose(held), 1u);
}

TEST(ChooseConnectionToCloseTest, Idle_LongestIsClosedBeforeSmallBodies) {
  const std::array<HeldMemory, 3> held = {
      HeldMemory{Phase::kIdle, kSmall, absl::Seconds(5)},
      HeldMemory{Phase::kIdle, kSmall, absl::Seconds(6)},
      HeldMemory{Phase::kBody, kSmall, absl::Milliseconds(900)}};
  EXPECT_EQ(ChooseConnectionToClose(held), 1u);
}

// Guards against a broken promise: a waiting job may already run.
TEST(ChooseConnectionToCloseTest, WaitingRequests_AreNotClosed) {
  const std::array<HeldMemory, 2> held = {
      HeldMemory{Phase::kWaiting, kLarge, absl::Seconds(9)},
      HeldMemory{Phase::kWaiting, kLarge, absl::Seconds(8)}};
  EXPECT_EQ(ChooseConnectionToClose(held), std::nullopt);
}

}  // namespace
}  // namespace radishrail
