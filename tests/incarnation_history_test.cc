#include "incarnation_history.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

class IncarnationHistoryTest : public testing::Test {
 protected:
  IncarnationState Observe(uint64_t incarnation) {
    return history_.Observe(incarnation, now_);
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  IncarnationHistory history_;
};

// Guards against a former incarnation that becomes the current one again.
TEST_F(IncarnationHistoryTest, Observe_AfterRestart_FormerStaysReplaced) {
  EXPECT_EQ(Observe(5), IncarnationState::kNew);
  EXPECT_EQ(Observe(5), IncarnationState::kCurrent);
  EXPECT_TRUE(history_.IsCurrent(5));
  EXPECT_EQ(Observe(7), IncarnationState::kNew);
  EXPECT_EQ(Observe(5), IncarnationState::kReplaced);
  now_ += absl::Hours(1);
  EXPECT_EQ(Observe(5), IncarnationState::kReplaced);
  EXPECT_EQ(Observe(7), IncarnationState::kCurrent);
  EXPECT_FALSE(history_.IsCurrent(5));
}

// Guards against a live peer that is ignored for good after a held-up message
// of a former incarnation that was not heard before.
TEST_F(IncarnationHistoryTest, Observe_LowerNumberWhileAlive_IsReplaced) {
  Observe(7);
  EXPECT_EQ(Observe(3), IncarnationState::kReplaced);
  EXPECT_EQ(Observe(7), IncarnationState::kCurrent);
}

// Guards against a restarted peer that is ignored since its clock was set back.
TEST_F(IncarnationHistoryTest, Observe_LowerNumberAfterSilence_IsNew) {
  Observe(7);
  now_ += absl::Seconds(4);
  EXPECT_EQ(Observe(3), IncarnationState::kNew);
  EXPECT_EQ(Observe(7), IncarnationState::kReplaced);
}

// Guards against memory that grows with each restart of a peer.
TEST_F(IncarnationHistoryTest, Observe_ManyRestarts_ForgetsOldest) {
  for (uint64_t i = 1; i <= 100; ++i) {
    Observe(i);
  }
  now_ += absl::Seconds(4);
  EXPECT_EQ(Observe(99), IncarnationState::kReplaced);
  EXPECT_EQ(Observe(1), IncarnationState::kNew);
}

}  // namespace
}  // namespace radishrail::internal
