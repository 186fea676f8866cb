#include "retry_budget.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

class RetryBudgetsTest : public testing::Test {
 protected:
  // Retries granted before the first refusal, which is kept in `refusal_`.
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

// Guards against retries without a bound while one upstream refuses all tasks.
TEST_F(RetryBudgetsTest, UpstreamBurstIsSpentThenRefused) {
  EXPECT_EQ(Drain(0, 1), 20);
  EXPECT_EQ(refusal_, RetryPermission::kUpstreamEmpty);
}

// Guards against a refusal by the upstream that still costs the environment a
// token: 5 upstreams with 20 tokens each use up its 100 exactly.
TEST_F(RetryBudgetsTest, RefusedRetryTakesNoTokenOfTheOtherBudget) {
  for (UpstreamId upstream = 1; upstream <= 5; ++upstream) {
    EXPECT_EQ(Drain(0, upstream), 20) << upstream;
  }
  EXPECT_EQ(Drain(0, 6), 0);
  EXPECT_EQ(refusal_, RetryPermission::kEnvironmentEmpty);
  EXPECT_EQ(Drain(1, 6), 20);
}

// Guards against a budget that stays empty once traffic has stopped.
TEST_F(RetryBudgetsTest, TimeFillsOneTokenPerSecondUpToTheBurst) {
  Drain(0, 1);
  now_ += absl::Seconds(3);
  EXPECT_EQ(Drain(0, 1), 3);
  now_ += absl::Hours(1);
  EXPECT_EQ(Drain(0, 1), 20);
}

// Guards against first attempts that do not earn retries: at the upstream 0.2
// each, so that 11 of them allow 2.
TEST_F(RetryBudgetsTest, FirstAttemptsEarnTheirShare) {
  Drain(0, 1);
  for (int i = 0; i < 11; ++i) {
    budgets_.OnFirstAttempt(0, 1, 0.1, now_);
  }
  EXPECT_EQ(Drain(0, 1), 2);
}

}  // namespace
}  // namespace radishrail::internal
