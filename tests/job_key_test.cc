#include "radishrail/job_key.h"

#include <set>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

class JobKeyTest : public testing::Test {
 protected:
  std::optional<JobKey> Parse(std::string_view text) {
    error_ = {};
    return ParseJobKey(text, domains_, &error_);
  }

  const std::vector<std::string> domains_ = {"yard-a", "yard-b", "yard-c"};
  Error error_;
};

// Guards against a minted key that its own incarnation does not recognise.
TEST_F(JobKeyTest, Minted_Parsed_HasIncarnationAndMintTime) {
  const std::string text = MintJobKey("yard-b", "vm-1", 18446744073709551615u,
                                      absl::FromUnixMillis(77), "0abc");
  EXPECT_EQ(text, "k1.yard-b.vm-1.18446744073709551615.77-0abc");
  const auto key = Parse(text);
  ASSERT_TRUE(key.has_value()) << error_.ToString();
  EXPECT_EQ(key->form, KeyForm::kMinted);
  EXPECT_EQ(key->failure_domain, "yard-b");
  EXPECT_EQ(key->vm, "vm-1");
  EXPECT_EQ(key->incarnation, 18446744073709551615u);
  EXPECT_EQ(key->stamp, absl::FromUnixMillis(77));
}

TEST_F(JobKeyTest, Stamped_Parsed_HasTimeAndCallersPartWithDots) {
  const auto key = Parse("t1.yard-a.1800000000123.order.7:x");
  ASSERT_TRUE(key.has_value()) << error_.ToString();
  EXPECT_EQ(key->form, KeyForm::kStamped);
  EXPECT_EQ(key->stamp, absl::FromUnixMillis(1800000000123));
  EXPECT_EQ(key->range, KeyRange(key->text));
}

TEST_F(JobKeyTest, Plain_WithFailureDomain_KeepsIt) {
  const auto key = Parse("d1.yard-c.job-9");
  ASSERT_TRUE(key.has_value()) << error_.ToString();
  EXPECT_EQ(key->form, KeyForm::kPlain);
  EXPECT_EQ(key->failure_domain, "yard-c");
}

// Guards against a hash that maps no keys to some ranges or failure domains, or
// that makes the range depend on the failure domain.
TEST_F(JobKeyTest, Plain_ManyKeys_ReachEveryRangeOfEveryFailureDomain) {
  std::set<std::pair<std::string, uint32_t>> seen;
  for (int i = 0; i < 5000; ++i) {
    const auto key = Parse(absl::StrCat("job-", i));
    ASSERT_TRUE(key.has_value());
    ASSERT_LT(key->range, kRangesPerFailureDomain);
    seen.insert({key->failure_domain, key->range});
  }
  EXPECT_EQ(seen.size(), 3 * kRangesPerFailureDomain);
}

// Guards against daemons of different builds that map one key differently.
TEST_F(JobKeyTest, KeyRange_KnownText_IsStable) {
  EXPECT_EQ(KeyRange("booking-1"), 58u);
  EXPECT_EQ(KeyRange("d1.yard-a.7"), 20u);
}

// Guards against malformed keys that would be accepted as plain keys, which
// have weaker guarantees.
TEST_F(JobKeyTest, Malformed_Parsed_FailsWithReason) {
  const std::string long_key(kMaxKeyBytes + 1, 'a');
  for (const std::string_view text :
       {std::string_view{""},
        std::string_view{long_key},
        std::string_view{"a b"},
        std::string_view{"a/b"},
        std::string_view{"k1."},
        std::string_view{"k1.yard-a.vm-1.7"},
        std::string_view{"k1.yard-a.vm-1.7.abc"},
        std::string_view{"k1.yard-a.vm-1.7.12-"},
        std::string_view{"k1.yard-a.vm-1.07.12-a"},
        std::string_view{"k1.yard-a.vm-1.18446744073709551616.1-a"},
        std::string_view{"k1.yard-a..7.12-a"},
        std::string_view{"k1.yard-a.vm-1.7.12-a.b"},
        std::string_view{"k1.yard-x.vm-1.7.12-a"},
        std::string_view{"t1.yard-a.-5.a"},
        std::string_view{"t1.yard-a.5"},
        std::string_view{"t1.yard-a.5."},
        std::string_view{"t1.yard-a.1e3.a"},
        std::string_view{"t1.yard-a.999999999999999999.a"},
        std::string_view{"t1..5.a"},
        std::string_view{"d1.yard-a"},
        std::string_view{"d1.yard-a."},
        std::string_view{"d1.yard-x.a"}}) {
    EXPECT_FALSE(Parse(text).has_value()) << text;
    EXPECT_EQ(error_.code, ErrorCode::kInvalidArgument) << text;
    EXPECT_FALSE(error_.detail.empty()) << text;
  }
}

}  // namespace
}  // namespace radishrail
