#include "incarnation_history.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

// Guards against a former incarnation that becomes the current one again.
TEST(IncarnationHistoryTest, Observe_AfterRestart_FormerStaysReplaced) {
  IncarnationHistory history;
  EXPECT_EQ(history.Observe(5), IncarnationState::kNew);
  EXPECT_EQ(history.Observe(5), IncarnationState::kCurrent);
  EXPECT_FALSE(history.IsReplaced(5));
  EXPECT_EQ(history.Observe(7), IncarnationState::kNew);
  EXPECT_EQ(history.Observe(5), IncarnationState::kReplaced);
  EXPECT_EQ(history.Observe(7), IncarnationState::kCurrent);
  EXPECT_TRUE(history.IsReplaced(5));
}

// Guards against a restarted peer that is ignored since its clock was set back.
TEST(IncarnationHistoryTest, Observe_LowerNumber_IsNew) {
  IncarnationHistory history;
  history.Observe(7);
  EXPECT_EQ(history.Observe(3), IncarnationState::kNew);
  EXPECT_EQ(history.Observe(7), IncarnationState::kReplaced);
}

// Guards against memory that grows with each restart of a peer.
TEST(IncarnationHistoryTest, Observe_ManyRestarts_ForgetsOldest) {
  IncarnationHistory history;
  for (uint64_t i = 1; i <= 100; ++i) {
    history.Observe(i);
  }
  EXPECT_TRUE(history.IsReplaced(99));
  EXPECT_FALSE(history.IsReplaced(1));
}

}  // namespace
}  // namespace radishrail::internal
