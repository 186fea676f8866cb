#include "admission_ledger.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

constexpr AdmissionLedger::Supply kSupply = {100, 1};

class AdmissionLedgerTest : public ::testing::Test {
 protected:
  AdmissionLedgerTest() {
    for (int i = 0; i < 1000; ++i) {
      ledger_.LearnEfficiency(1);
    }
  }

  // Missing slots if a job with this many, each for 100 ms, is added.
  double Missing(double now_s, double latest_start_s, double slots) const {
    return ledger_.Check(now_s, {latest_start_s, slots, slots * 0.1}, kSupply)
        .slots;
  }

  AdmissionLedger ledger_;
};

TEST_F(AdmissionLedgerTest, Check_SlotsFree_Fits) {
  EXPECT_LE(Missing(0, 0, 99), 0);
  EXPECT_GT(Missing(0, 0, 102), 0);
}

// Guards against counting the room of running tasks before they end.
TEST_F(AdmissionLedgerTest, Check_RunningTasks_RoomFromTheirEnd) {
  ledger_.AddRunning(0.5, 100);
  EXPECT_GT(Missing(0, 0.3, 50), 0);
  EXPECT_LE(Missing(0, 0.6, 50), 0);
}

// Guards against an admitted job that is pushed past its time by a later one
// that is due earlier.
TEST_F(AdmissionLedgerTest, Check_LaterDemand_KeepsEarlierAdmitted) {
  ledger_.AddRunning(0.2, 100);
  const auto bucket = ledger_.AddQueued(0.25, 80, 80 * 1.0);
  EXPECT_GT(Missing(0, 0.22, 50), 0);
  EXPECT_LE(Missing(0, 0.22, 15), 0);
  ledger_.RemoveQueued(bucket, 80, 80 * 1.0);
  EXPECT_LE(Missing(0, 0.22, 50), 0);
}

// A queued task gives its slots back after its run.
TEST_F(AdmissionLedgerTest, Check_ShortQueuedTasks_RoomIsUsedAgain) {
  ledger_.AddQueued(0.02, 100, 100 * 0.1);
  EXPECT_GT(Missing(0, 0.05, 90), 0);
  EXPECT_LE(Missing(0, 0.3, 90), 0);
}

// Guards against counting on the room of a task that runs far longer than
// expected.
TEST_F(AdmissionLedgerTest, Check_OverdueTask_HoldsItsRoomForLearnedRest) {
  for (int i = 0; i < 100; ++i) {
    const double start_s = i;
    ledger_.Advance(start_s);
    const auto bucket = ledger_.AddRunning(start_s + 0.1, 10);
    ledger_.Advance(start_s + 0.9);
    ledger_.RemoveRunning(bucket, 10, start_s + 0.9);
  }
  ledger_.AddRunning(100.1, 60);
  ledger_.Advance(100.2);
  EXPECT_GT(Missing(100.2, 100.25, 50), 0);
  EXPECT_LE(Missing(100.2, 100.9, 50), 0);
}

// Guards against counting a job of a long promise as due when the horizon of
// the buckets has passed.
TEST_F(AdmissionLedgerTest, Check_DueFarAhead_CountsByWorkOnly) {
  ledger_.AddQueued(3600, 1000, 1000.0 * 60);
  ledger_.AddRunning(600, 50);
  EXPECT_LE(Missing(0, 0, 49), 0);
  EXPECT_LE(Missing(0, 3600, 1000), 0);
  EXPECT_GT(ledger_.Check(0, {3600, 1000, 1000.0 * 400}, kSupply).slots, 0);
  ledger_.Advance(10);
  EXPECT_LE(Missing(10, 10, 49), 0);
  EXPECT_GT(Missing(10, 10, 52), 0);
}

// Guards against promising slots that tasks of this size cannot use.
TEST_F(AdmissionLedgerTest, LearnEfficiency_SlotsUnused_PromisesFewer) {
  for (int i = 0; i < 1000; ++i) {
    ledger_.LearnEfficiency(0.75);
  }
  EXPECT_GT(Missing(0, 0, 80), 0);
  EXPECT_LE(Missing(0, 0, 74), 0);
}

}  // namespace
}  // namespace radishrail::internal
