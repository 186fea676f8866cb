#include "retry_schedule.h"

#include <algorithm>
#include <map>

#include "fakes.h"
#include "gtest/gtest.h"
#include "radishrail/random.h"

namespace radishrail::internal {
namespace {

class RetryScheduleTest : public testing::Test {
 protected:
  void Serve(int jobs, absl::Duration time) {
    for (int i = 0; i < jobs; ++i) {
      clock_.Advance(time / jobs);
      schedule_.OnServed(clock_.Monotonic());
    }
  }
  // Number of returns in each second after now.
  std::map<int64_t, int> Refuse(int jobs, absl::Duration wait) {
    std::map<int64_t, int> returns;
    for (int i = 0; i < jobs; ++i) {
      ++returns[absl::ToInt64Seconds(schedule_.Next(clock_.Monotonic(), wait))];
    }
    return returns;
  }

  FakeClock clock_;
  SeededRandom random_{3};
  RetrySchedule schedule_{random_};
};

// Guards against a thousand refused callers that are the next burst.
TEST_F(RetryScheduleTest, Next_ManyRefusedAtOnce_ReturnOverSeconds) {
  Serve(4000, absl::Seconds(10));
  const auto returns = Refuse(500, absl::Milliseconds(100));
  EXPECT_GE(returns.size(), 4u);
  for (const auto& [second, jobs] : returns) {
    EXPECT_LE(jobs, 102) << second;  // a quarter of 400 a second
  }
}

// Guards against callers who wait longer than there is no room.
TEST_F(RetryScheduleTest, Next_FewRefused_ReturnWithinTheFirstSecond) {
  Serve(4000, absl::Seconds(10));
  const auto returns = Refuse(20, absl::Milliseconds(100));
  EXPECT_EQ(returns, (std::map<int64_t, int>{{1, 20}}));
}

// Guards against callers who return while there is certainly no room yet.
TEST_F(RetryScheduleTest, Next_RoomComesLater_ReturnAfterThat) {
  Serve(400, absl::Seconds(1));
  EXPECT_EQ(Refuse(100, absl::Milliseconds(2500)).begin()->first, 3);
}

// Guards against delays that grow without bound while nothing is served.
TEST_F(RetryScheduleTest, Next_NothingServed_StaysWithinBoundsAndSpreads) {
  const auto returns = Refuse(1000, absl::Minutes(1));
  EXPECT_EQ(returns.rbegin()->first,
            absl::ToInt64Seconds(RetrySchedule::kMaxDelay));
  EXPECT_EQ(Refuse(1000, absl::ZeroDuration()).size(), 8u);
}

// Guards against seconds that stay full when their time has come.
TEST_F(RetryScheduleTest, Next_RefusedAgainLater_ReturnAtOnceAgain) {
  Refuse(1000, absl::ZeroDuration());
  clock_.Advance(2 * RetrySchedule::kMaxDelay);
  EXPECT_EQ(Refuse(1, absl::ZeroDuration()).begin()->first, 1);
}

}  // namespace
}  // namespace radishrail::internal
