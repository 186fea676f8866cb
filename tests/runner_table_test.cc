#include "runner_table.h"

#include <optional>
#include <string>

#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

class RunnerTableTest : public testing::Test {
 protected:
  static constexpr absl::Duration kLongAfter = absl::Seconds(10);
  static constexpr absl::Duration kColdTime = absl::Seconds(5);

  static std::optional<VmInfo> Parse(const Row& row, Error* error) {
    if (row.value == "malformed") {
      return Fail(error, ErrorCode::kInvalidArgument, Step::kParsing,
                  "malformed row");
    }
    VmInfo info;
    info.vm = row.key;
    info.incarnation = static_cast<int64_t>(row.value.size());
    info.state = row.value == "leaving" ? VmState::kLeaving : VmState::kLive;
    if (row.value == "cold") {
      info.cold_remaining = kColdTime;
    }
    return info;
  }

  bool RemoveMissing(bool responding) {
    return table_.RemoveMissing(
        [responding](const std::string&) { return responding; });
  }

  FakeClock clock_;
  Metrics metrics_;
  RunnerTable table_{clock_, Parse, [](const std::string&) { return true; },
                     metrics_};
};

// Guards against a runner that is forgotten since another writer has spoiled
// its row.
TEST_F(RunnerTableTest, Row_Malformed_LeavesRunnerAsItWas) {
  table_.OnRows({{"r1", "leaving", 1}}, true);
  table_.OnRows({{"r1", "malformed", 2}, {"r2", "malformed", 3}}, false);
  ASSERT_EQ(table_.runners().size(), 1u);
  EXPECT_EQ(table_.runners().at("r1").info.state, VmState::kLeaving);
  EXPECT_FALSE(RemoveMissing(false));
}

// Guards against a sound runner that counts as restarted when the last report
// of its former life under the same name reaches the store late.
TEST_F(RunnerTableTest, Row_OfFormerLife_DoesNotCountAsRestart) {
  const auto incarnation = [&] {
    return table_.runners().at("r1").info.incarnation;
  };
  table_.OnRows({{"r1", "second", 1}}, true);
  table_.OnRows({{"r1", "first", 2}}, false);
  EXPECT_EQ(incarnation(), 6);
  table_.OnRows({{"r1", "thirdly", 3}}, false);
  EXPECT_EQ(incarnation(), 7);
}

// Guards against logs that grow with each reading of a row that another writer
// left, and against a second odd row that is not reported.
TEST_F(RunnerTableTest, Row_MalformedAgain_IsReportedOnce) {
  table_.OnRows({{"r1", "malformed", 1}}, true);
  EXPECT_EQ(table_.malformed_rows(), 1u);
  table_.OnRows({{"r1", "malformed", 1}, {"r2", "malformed", 2}}, true);
  EXPECT_EQ(table_.malformed_rows(), 2u);
  table_.OnRows({{"r1", "", 3}}, false);
  EXPECT_EQ(table_.malformed_rows(), 1u);
  table_.OnRows({}, true);
  EXPECT_EQ(table_.malformed_rows(), 0u);
}

// Guards against the loss of live runners whose rows expired while the store
// was unreachable.
TEST_F(RunnerTableTest, Row_MissingInSnapshot_RespondingRunnerStaysForAWhile) {
  table_.OnRows({{"r1", "", 1}, {"r2", "", 2}}, true);
  table_.OnRows({{"r2", "", 2}}, true);
  EXPECT_FALSE(RemoveMissing(true));
  clock_.Advance(kLongAfter);
  EXPECT_TRUE(RemoveMissing(true));
  EXPECT_FALSE(table_.runners().contains("r1"));
  EXPECT_TRUE(table_.runners().contains("r2"));
}

// Guards against tasks for a runner whose row is gone and that does not answer.
TEST_F(RunnerTableTest, Row_Deleted_SilentRunnerIsRemovedAtOnce) {
  table_.OnRows({{"r1", "", 1}}, true);
  table_.OnRows({{"r1", "", 0}}, false);
  EXPECT_TRUE(RemoveMissing(false));
  EXPECT_TRUE(table_.runners().empty());
}

// Guards against a runner that is removed although its row is back.
TEST_F(RunnerTableTest, Row_ReappearedAfterDeletion_RunnerStays) {
  table_.OnRows({{"r1", "", 1}}, true);
  table_.OnRows({{"r1", "", 0}}, false);
  table_.OnRows({{"r1", "", 3}}, false);
  clock_.Advance(kLongAfter);
  EXPECT_FALSE(RemoveMissing(false));
}

// Guards against a pool that stops for as long as the store is down, and
// against one that relies on old rows while the store answers.
TEST_F(RunnerTableTest, Wait_StoreDoesNotAnswer_EndsAfterASecond) {
  table_.AwaitRows();
  clock_.Advance(absl::Milliseconds(900));
  EXPECT_FALSE(table_.ExpireWait());
  EXPECT_TRUE(table_.is_awaiting_rows());
  clock_.Advance(absl::Milliseconds(200));
  EXPECT_TRUE(table_.ExpireWait());
  EXPECT_FALSE(table_.is_awaiting_rows());
  EXPECT_FALSE(table_.ExpireWait());
}

TEST_F(RunnerTableTest, Wait_RowsArrive_Ends) {
  table_.AwaitRows();
  table_.OnRows({}, true);
  EXPECT_FALSE(table_.is_awaiting_rows());
}

// Guards against an upstream that stays cold since its unchanged row is read
// again and again.
TEST_F(RunnerTableTest, ColdRow_ReadAgain_KeepsEnd) {
  table_.OnRows({{"r1", "cold", 1}}, true);
  const absl::Time end = clock_.Monotonic() + kColdTime;
  clock_.Advance(absl::Seconds(1));
  table_.OnRows({{"r1", "cold", 1}}, true);
  EXPECT_EQ(table_.runners().at("r1").info.cold_until, end);
  table_.OnRows({{"r1", "cold", 2}}, false);
  EXPECT_EQ(table_.runners().at("r1").info.cold_until, end + absl::Seconds(1));
}

}  // namespace
}  // namespace radishrail::internal
