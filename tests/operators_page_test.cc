#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "radishrail/error.h"

namespace radishrail {
namespace {

// Guards against error codes that the operators' page does not document.
TEST(OperatorsPageTest, ErrorCodes_AllValues_AreExplained) {
  std::ifstream file(std::filesystem::path(__FILE__).parent_path() / ".." /
                     "docs" / "operators.md");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  for (int i = 0; i <= static_cast<int>(ErrorCode::kMaxValue); ++i) {
    const std::string name(ErrorCodeName(static_cast<ErrorCode>(i)));
    EXPECT_THAT(text, ::testing::HasSubstr(absl::StrCat("| `", name, "` |")));
  }
}

}  // namespace
}  // namespace radishrail
