#include "answer_timeout.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

class AnswerTimeoutTest : public ::testing::Test {
 protected:
  void Record(int count, absl::Duration response_time) {
    for (int i = 0; i < count; ++i) {
      timeout_.Record(response_time);
    }
  }

  AnswerTimeout timeout_{absl::Milliseconds(20), absl::Milliseconds(250)};
};

// Guards against looking at a runner that answers slowly from the start.
TEST_F(AnswerTimeoutTest, Get_NoAnswerSeen_ReturnsMaximum) {
  EXPECT_EQ(timeout_.Get(), absl::Milliseconds(250));
}

// Guards against a timeout below what a busy machine needs.
TEST_F(AnswerTimeoutTest, Get_FastAnswers_ReturnsMinimum) {
  Record(50, absl::Milliseconds(2));
  EXPECT_EQ(timeout_.Get(), absl::Milliseconds(20));
}

// Guards against false timeouts once answers take longer.
TEST_F(AnswerTimeoutTest, Get_AnswersBecomeSlow_ExceedsThem) {
  Record(50, absl::Milliseconds(2));
  Record(5, absl::Milliseconds(60));
  EXPECT_GT(timeout_.Get(), absl::Milliseconds(60));
  Record(50, absl::Seconds(1));
  EXPECT_EQ(timeout_.Get(), absl::Milliseconds(250));
}

// Guards against a timeout that stays long after the answers are fast again.
TEST_F(AnswerTimeoutTest, Get_AnswersBecomeFastAgain_Falls) {
  Record(20, absl::Milliseconds(100));
  Record(100, absl::Milliseconds(2));
  EXPECT_EQ(timeout_.Get(), absl::Milliseconds(20));
}

}  // namespace
}  // namespace radishrail::internal
