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
  Counter& suppressed_lines_ =
      metrics_.counter("radishrail_log_lines_left_out_total");
};

// Guards against log lines that the operations page does not document.
TEST_F(DecisionLogTest, DecisionName_AllValues_AreOnOperationsPage) {
  std::ifstream file(std::filesystem::path(__FILE__).parent_path() / ".." /
                     "docs" / "OPERATIONS.md");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  for (int i = 0; i <= static_cast<int>(Decision::kMaxValue); ++i) {
    const std::string name(DecisionName(static_cast<Decision>(i)));
    EXPECT_THAT(text, testing::HasSubstr(absl::StrCat("| `", name, "` |")));
  }
}

// Guards against a log volume that grows with the load.
TEST_F(DecisionLogTest, Write_LinesExceedBudget_CountsSuppressed) {
  for (int i = 0; i < DecisionLog::kLinesPerSecond + 5; ++i) {
    log_.Write(Decision::kJobOffered, "job", "pool");
  }
  EXPECT_EQ(suppressed_lines_.value(), 5u);
  log_.Write(Decision::kJobRefused, "job", "overloaded");
  EXPECT_EQ(suppressed_lines_.value(), 5u) << "each kind has its own budget";
  clock_.Advance(absl::Seconds(1));
  log_.Write(Decision::kJobOffered, "job", "pool");
  EXPECT_EQ(suppressed_lines_.value(), 5u);
}

}  // namespace
}  // namespace radishrail
