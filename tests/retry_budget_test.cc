#include "retry_budget.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

class RetryBudgetsTest : public testing::Test {
 protected:
  // Requests retries until one is refused. Returns the number granted and
  // stores the reason of the refusal in `refusal_`.
  int Drain(uint32_t environment, UpstreamId upstream) {
    for (int n = 0; n < 1000; ++n) {
      refusal_ = budgets_.Request(environment, upstream, now_);
      if (refusal_ != RetryPermission::kGranted) {
        return n;
      }
    }
    return 1000;
  }

  absl::Time now_ = absl::UnixEpoch();
  RetryBudgets budgets_;
  RetryPermission refusal_ = RetryPermission::kGranted;
};

// Guards against unbounded retries while one upstream refuses all tasks.
TEST_F(RetryBudgetsTest, Request_UpstreamBurstUsedUp_IsRefused) {
  EXPECT_EQ(Drain(0, 1), 20);
  EXPECT_EQ(refusal_, RetryPermission::kUpstreamEmpty);
}

// Guards against consuming a token of the environment when the upstream's
// budget is empty: 5 upstreams with 20 tokens each use exactly the 100 tokens
// of the environment.
TEST_F(RetryBudgetsTest,
       Request_UpstreamBudgetEmpty_ConsumesNoEnvironmentToken) {
  for (UpstreamId upstream = 1; upstream <= 5; ++upstream) {
    EXPECT_EQ(Drain(0, upstream), 20) << upstream;
  }
  EXPECT_EQ(Drain(0, 6), 0);
  EXPECT_EQ(refusal_, RetryPermission::kEnvironmentEmpty);
  EXPECT_EQ(Drain(1, 6), 20);
}

// Guards against a budget that stays empty once traffic has stopped.
TEST_F(RetryBudgetsTest, Request_AfterIdleTime_GrantsOnePerSecondUpToBurst) {
  Drain(0, 1);
  now_ += absl::Seconds(3);
  EXPECT_EQ(Drain(0, 1), 3);
  now_ += absl::Hours(1);
  EXPECT_EQ(Drain(0, 1), 20);
}

// Guards against first attempts that add no tokens: each adds 0.2 to the budget
// of its upstream, so 11 of them allow 2 retries.
TEST_F(RetryBudgetsTest, OnFirstAttempt_Repeated_AddsShareOfToken) {
  Drain(0, 1);
  for (int i = 0; i < 11; ++i) {
    budgets_.OnFirstAttempt(0, 1, 0.1, now_);
  }
  EXPECT_EQ(Drain(0, 1), 2);
}

}  // namespace
}  // namespace radishrail::internal
