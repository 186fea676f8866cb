#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "radishrail/decision_log.h"

namespace radishrail {
namespace {

class DecisionLogTest : public testing::Test {
 protected:
  FakeClock clock_;
  Metrics metrics_;
  DecisionLog log_{clock_, metrics_};
  Counter& left_out_ = metrics_.counter("radishrail_log_lines_left_out_total");
};

// Guards against a line that operators cannot look up.
TEST_F(DecisionLogTest, AllDecisions_AreExplainedOnTheOperationsPage) {
  std::ifstream file(std::filesystem::path(__FILE__).parent_path() / ".." /
                     "docs" / "OPERATIONS.md");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  for (int i = 0; i <= static_cast<int>(Decision::kMaxValue); ++i) {
    const std::string name(DecisionName(static_cast<Decision>(i)));
    EXPECT_THAT(text, testing::HasSubstr(absl::StrCat("| `", name, "` |")));
  }
}

// Guards against a log that grows with the load.
TEST_F(DecisionLogTest, LinesBeyondTheBudget_AreCountedAndNotWritten) {
  for (int i = 0; i < DecisionLog::kLinesPerSecond + 5; ++i) {
    log_.Write(Decision::kJobOffered, "job", "pool");
  }
  EXPECT_EQ(left_out_.value(), 5u);
  log_.Write(Decision::kJobRefused, "job", "overloaded");
  EXPECT_EQ(left_out_.value(), 5u) << "kinds have budgets of their own";
  clock_.Advance(absl::Seconds(1));
  log_.Write(Decision::kJobOffered, "job", "pool");
  EXPECT_EQ(left_out_.value(), 5u);
}

}  // namespace
}  // namespace radishrail
