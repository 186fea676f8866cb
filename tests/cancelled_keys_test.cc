#include "radishrail/cancelled_keys.h"

#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

// Guards against keys that daemons keep forever by telling each other, and
// against a key that is forgotten while its peer still has it.
TEST(CancelledKeysTest, Key_FromPeer_ExpiresAsThere) {
  FakeClock clock;
  CancelledKeys first(clock);
  CancelledKeys second(clock);
  first.Add("a");
  clock.Advance(absl::Seconds(40));
  first.Add("b");
  second.AddFromPeer(first.Encode());
  clock.Advance(absl::Seconds(21));
  first.AddFromPeer(second.Encode());
  first.RemoveExpired();
  second.RemoveExpired();
  EXPECT_FALSE(first.Contains("a"));
  EXPECT_FALSE(second.Contains("a"));
  EXPECT_TRUE(second.Contains("b"));
  EXPECT_EQ(first.size(), 1u);
}

// Guards against memory that grows with the cancellations.
TEST(CancelledKeysTest, Keys_TooMany_OldestAreDropped) {
  FakeClock clock;
  CancelledKeys keys(clock);
  for (size_t i = 0; i <= CancelledKeys::kMaxKeys; ++i) {
    keys.Add(std::to_string(i));
    clock.Advance(absl::Microseconds(1));
  }
  EXPECT_EQ(keys.size(), CancelledKeys::kMaxKeys);
  EXPECT_FALSE(keys.Contains("0"));
}

}  // namespace
}  // namespace radishrail
