#include "radishrail/expiring_key_set.h"

#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

class ExpiringKeySetTest : public testing::Test {
 protected:
  static constexpr absl::Duration kRetention = absl::Seconds(60);

  FakeClock clock_;
  ExpiringKeySet keys_{clock_, kRetention, 2};
};

// Guards against a cancelled key that is forgotten too early, or never.
TEST_F(ExpiringKeySetTest, Key_RetentionPassed_IsForgotten) {
  keys_.Add("a");
  clock_.Advance(kRetention - absl::Milliseconds(1));
  keys_.RemoveExpired();
  EXPECT_TRUE(keys_.Contains("a"));
  clock_.Advance(absl::Milliseconds(1));
  keys_.RemoveExpired();
  EXPECT_FALSE(keys_.Contains("a"));
  EXPECT_EQ(keys_.size(), 0u);
}

// Guards against memory that grows with the number of cancellations.
TEST_F(ExpiringKeySetTest, Add_BeyondLimit_ForgetsOldestKey) {
  keys_.Add("a");
  keys_.Add("b");
  keys_.Add("b");
  EXPECT_TRUE(keys_.Contains("a"));
  keys_.Add("c");
  EXPECT_FALSE(keys_.Contains("a"));
  EXPECT_TRUE(keys_.Contains("b"));
  EXPECT_TRUE(keys_.Contains("c"));
}

}  // namespace
}  // namespace radishrail
