#include "text_table.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

TEST(TextTableTest, Format_UnevenCells_AlignsColumns) {
  EXPECT_EQ(FormatTable({{"VM", "STATE"}, {"vm-long", "ready"}, {"a"}}),
            "VM       STATE\n"
            "vm-long  ready\n"
            "a\n");
}

TEST(TextTableTest, Format_MultibyteCharacters_CountOnce) {
  EXPECT_EQ(FormatTable({{"\xc3\xa4", "x"}, {"bb", "y"}}),
            "\xc3\xa4   x\nbb  y\n");
}

// Guards against task output that controls the terminal, and against truncation
// within a character.
TEST(TextTableTest, Printable_ControlAndLongText_IsSafe) {
  EXPECT_EQ(Printable("a\x1b[2J\n", 80), "a?[2J?");
  EXPECT_EQ(Printable("a\xc3\xa4z", 2), "a...");
}

TEST(TextTableTest, Diff_EqualTexts_IsEmpty) {
  EXPECT_EQ(DiffLines("a\nb", "a\nb"), "");
}

TEST(TextTableTest, Diff_ChangedAddedAndRemovedLines_AreMarked) {
  EXPECT_EQ(DiffLines("a\nb\nc\nd", "a\nx\nc\nd\ne"),
            "  a\n- b\n+ x\n  c\n  d\n+ e\n");
  EXPECT_EQ(DiffLines("", "a"), "- \n+ a\n");
  EXPECT_EQ(DiffLines("a\nb\n", "a\nc\n"), "  a\n- b\n+ c\n");
}

}  // namespace
}  // namespace radishrail::internal
