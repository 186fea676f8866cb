#include "runner_contact.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

class RunnerContactTest : public testing::Test {
 protected:
  static constexpr absl::Duration kTimeout = absl::Milliseconds(250);

  const absl::Time start_ = absl::FromUnixSeconds(1000);
  RunnerContact contact_;
};

// Guards against a runner that is given up since one order was lost.
TEST_F(RunnerContactTest, OrderLost_OtherAnswered_IsNotSilent) {
  contact_.OnNoAnswer(start_);
  contact_.OnAnswer(start_ + kTimeout);
  EXPECT_FALSE(contact_.IsDoubtful());
  EXPECT_FALSE(contact_.IsSilent(start_ + absl::Seconds(10)));
}

// Guards against a runner that is gone and stays in use.
TEST_F(RunnerContactTest, AllOrdersLost_IsSilentAfterTheLimit) {
  contact_.OnNoAnswer(start_);
  EXPECT_TRUE(contact_.IsDoubtful());
  EXPECT_FALSE(contact_.IsSilent(start_ + kTimeout));
  contact_.OnNoAnswer(start_ + kTimeout);
  EXPECT_TRUE(contact_.IsSilent(start_ + 2 * kTimeout));
}

// Guards against a late timeout that counts although the runner has answered a
// newer order meanwhile.
TEST_F(RunnerContactTest, OrderOlderThanAnswerLost_IsNotDoubtful) {
  contact_.OnAnswer(start_ + kTimeout);
  contact_.OnNoAnswer(start_);
  EXPECT_FALSE(contact_.IsDoubtful());
}

// Guards against shorter polls of all runners since a few of them are gone.
TEST(OrderLossRateTest, FewOrdersLost_IsNotHigh) {
  OrderLossRate rate;
  for (int i = 0; i < 1000; ++i) {
    rate.Record(i % 100 == 0);
  }
  EXPECT_FALSE(rate.IsHigh());
}

TEST(OrderLossRateTest, TenthOfOrdersLost_IsHighUntilLossesEnd) {
  OrderLossRate rate;
  for (int i = 0; i < 200; ++i) {
    rate.Record(i % 10 == 0);
  }
  EXPECT_TRUE(rate.IsHigh());
  for (int i = 0; i < 200; ++i) {
    rate.Record(false);
  }
  EXPECT_FALSE(rate.IsHigh());
}

}  // namespace
}  // namespace radishrail::internal
