#include "radishrail/evacuation_table.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

using testing::IsEmpty;
using testing::SizeIs;

class EvacuationTableTest : public testing::Test {
 protected:
  FakeClock clock_;
  EvacuationTable table_{"op/evacuate/", clock_};
};

// Guards against a request that a late message of a peer brings back.
TEST_F(EvacuationTableTest, PeerState_OlderThanWithdrawal_IsIgnored) {
  table_.OnRows({{"op/evacuate/d1", "{}", 5}}, false, 5);
  table_.OnRows({{"op/evacuate/d1", "", 0}}, false, 9);
  EXPECT_THAT(table_.OnPeer({{"d1", 5, true}}), IsEmpty());
  EXPECT_FALSE(table_.IsActive("d1"));
}

// Guards against the same in a daemon that has never seen the request, and
// against a peer that is not told of the withdrawal.
TEST_F(EvacuationTableTest, PeerState_OlderThanSnapshot_IsAnsweredAsWithdrawn) {
  table_.OnRows({}, true, 50);
  EXPECT_EQ(table_.version(), 0);
  EXPECT_THAT(table_.OnPeer({{"d1", 10, true}}), IsEmpty());
  EXPECT_FALSE(table_.IsActive("d1"));
  EXPECT_EQ(table_.version(), 50);
  EvacuationTable peer("op/evacuate/", clock_);
  peer.OnRows({{"op/evacuate/d1", "{}", 10}}, false, 10);
  EXPECT_THAT(peer.OnPeer(table_.States()), SizeIs(1));
  EXPECT_FALSE(peer.IsActive("d1"));
}

// Guards against a request whose deletion fell into a gap of the history.
TEST_F(EvacuationTableTest, Snapshot_WithoutRow_WithdrawsRequest) {
  table_.OnRows({{"op/evacuate/d1", "{}", 5}, {"op/config", "", 6}}, true, 6);
  EXPECT_TRUE(table_.IsActive("d1"));
  table_.OnRows({{"op/config", "", 6}}, true, 8);
  EXPECT_FALSE(table_.IsActive("d1"));
}

// Guards against a snapshot that is older than what was read before.
TEST_F(EvacuationTableTest, Snapshot_OlderThanLastAnswer_IsIgnored) {
  table_.OnRows({{"op/evacuate/d1", "{}", 5}}, false, 7);
  table_.OnRows({}, true, 4);
  EXPECT_TRUE(table_.IsActive("d1"));
}

// Guards against a request that was removed and written again within one
// answer: the deletion, whose version is not reported, must not outdate it.
TEST_F(EvacuationTableTest, Rows_DeletedAndWrittenAgain_StayActive) {
  table_.OnRows({{"op/evacuate/d1", "{}", 5},
                 {"op/evacuate/d1", "", 0},
                 {"op/evacuate/d1", "{}", 7}},
                false, 9);
  EXPECT_TRUE(table_.IsActive("d1"));
  EXPECT_EQ(table_.version(), 7);
}

// Guards against an unbounded table, and against a full one that ignores new
// requests while it keeps withdrawn ones.
TEST_F(EvacuationTableTest, Table_Full_ForgetsOldestWithdrawnRequest) {
  constexpr int kDomains = 200;
  for (int i = 1; i <= kDomains; ++i) {
    const std::string row = absl::StrCat("op/evacuate/d", i);
    table_.OnRows({{row, "{}", 2 * i}}, false, 2 * i);
    EXPECT_TRUE(table_.IsActive(absl::StrCat("d", i)));
    table_.OnRows({{row, "", 0}}, false, 2 * i + 1);
  }
  EXPECT_LE(table_.States().size(), 64u);
}

// Guards against the whole load on runners that may be cold, at once.
TEST_F(EvacuationTableTest, UsableShare_AfterWithdrawal_RisesToOne) {
  EXPECT_EQ(table_.UsableShare("d1"), 1);
  table_.OnRows({{"op/evacuate/d1", "{}", 5}}, false, 5);
  EXPECT_EQ(table_.UsableShare("d1"), 0);
  table_.OnRows({{"op/evacuate/d1", "", 0}}, false, 9);
  clock_.Advance(absl::Milliseconds(1500));
  EXPECT_NEAR(table_.UsableShare("d1"), 0.5, 0.01);
  EXPECT_TRUE(table_.IsReturning());
  clock_.Advance(absl::Seconds(2));
  EXPECT_EQ(table_.UsableShare("d1"), 1);
  EXPECT_FALSE(table_.IsReturning());
}

}  // namespace
}  // namespace radishrail
