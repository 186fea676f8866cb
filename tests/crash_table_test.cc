#include "radishrail/crash_table.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

class CrashTableTest : public testing::Test {
 protected:
  static constexpr int64_t kIncarnation = 1;

  static RunFate Fate(const std::string& vm,
                      UpstreamFate fate,
                      const std::string& task = "0.0.0") {
    return {"job", task, vm, kIncarnation, fate};
  }

  void SendTo(CrashTable& peer) {
    for (const auto& it : table_.Shared()) {
      peer.RecordOfPeer(it);
    }
  }

  FakeClock clock_;
  CrashTable table_{clock_};
};

// Guards against a task that crashes one upstream after another.
TEST_F(CrashTableTest, Job_TwoUpstreamsCrashedUnderATask_IsGivenUp) {
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kRun);
  table_.Record(Fate("r2", UpstreamFate::kCrashed));
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kGiveUp);
  EXPECT_EQ(table_.Judge("other"), CrashVerdict::kRun);
}

// Guards against a job that is given up since several upstreams crashed, each
// under another of its tasks.
TEST_F(CrashTableTest, Job_UpstreamsCrashedUnderDifferentTasks_Runs) {
  table_.Record(Fate("r1", UpstreamFate::kCrashed, "0.0.0"));
  table_.Record(Fate("r2", UpstreamFate::kCrashed, "0.0.1"));
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kRun);
}

// Guards against a job that is given up since upstreams were silent for a
// while.
TEST_F(CrashTableTest, Job_SilentUpstreamsAnswerAgain_Runs) {
  for (const char* it : {"r1", "r2", "r3"}) {
    table_.Record(Fate(it, UpstreamFate::kUncertain));
  }
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kUnresolved);
  table_.Record(Fate("r2", UpstreamFate::kAlive));
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kRun);
}

// Guards against a silent upstream that is not recognized as crashed later.
TEST_F(CrashTableTest, Job_SilentUpstreamsTurnOutCrashed_IsGivenUp) {
  for (const char* it : {"r1", "r2"}) {
    table_.Record(Fate(it, UpstreamFate::kUncertain));
    table_.Record(Fate(it, UpstreamFate::kCrashed));
    table_.Record(Fate(it, UpstreamFate::kAlive));
  }
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kGiveUp);
}

// Guards against crashes of an upstream that count once, since it returns under
// its name.
TEST_F(CrashTableTest, Job_UpstreamCrashedInTwoIncarnations_IsGivenUp) {
  RunFate fate = Fate("r1", UpstreamFate::kCrashed);
  table_.Record(fate);
  ++fate.incarnation;
  table_.Record(fate);
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kGiveUp);
}

// Guards against crashes that are forgotten since the owner that knew of them
// is lost.
TEST_F(CrashTableTest, Shared_UpstreamsLostAtTwoOwners_CountTogether) {
  CrashTable successor(clock_);
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  SendTo(successor);
  EXPECT_EQ(successor.Judge("job"), CrashVerdict::kRun);
  successor.Record(Fate("r2", UpstreamFate::kCrashed));
  EXPECT_EQ(successor.Judge("job"), CrashVerdict::kGiveUp);
}

// Guards against peers that give up a job since upstreams were silent for a
// while.
TEST_F(CrashTableTest, Shared_SilentUpstreamAnswersAgain_RunsAtPeers) {
  CrashTable peer(clock_);
  for (const char* it : {"r1", "r2", "r3"}) {
    table_.Record(Fate(it, UpstreamFate::kUncertain));
  }
  SendTo(peer);
  EXPECT_EQ(peer.Judge("job"), CrashVerdict::kUnresolved);
  table_.Record(Fate("r2", UpstreamFate::kAlive));
  SendTo(peer);
  EXPECT_EQ(peer.Judge("job"), CrashVerdict::kRun);
}

// Guards against an owner that was started after the first crash, and does not
// learn of it with the second one.
TEST_F(CrashTableTest, Shared_SecondUpstreamLost_HoldsBoth) {
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  clock_.Advance(absl::Seconds(2));
  CrashTable peer(clock_);
  table_.Record(Fate("r2", UpstreamFate::kCrashed));
  SendTo(peer);
  EXPECT_EQ(peer.Judge("job"), CrashVerdict::kGiveUp);
}

// Guards against status messages that carry each loss for as long as it is
// remembered, and against losses that daemons send to each other for ever.
TEST_F(CrashTableTest, Shared_SomeTimeLater_IsEmpty) {
  CrashTable peer(clock_);
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  SendTo(peer);
  EXPECT_TRUE(peer.Shared().empty());
  clock_.Advance(absl::Seconds(2));
  EXPECT_TRUE(table_.Shared().empty());
}

// Guards against status messages that grow with the number of runs lost at
// once, and against single losses that displace a task that crashes upstreams.
TEST_F(CrashTableTest, Shared_ManyRunsAreLost_KeepsTaskLostTwice) {
  constexpr size_t kManyRuns = 1000;
  CrashTable peer(clock_);
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  table_.Record(Fate("r2", UpstreamFate::kCrashed));
  for (size_t i = 0; i < kManyRuns; ++i) {
    table_.Record(Fate("r3", UpstreamFate::kCrashed, absl::StrCat("0.1.", i)));
  }
  EXPECT_LT(table_.Shared().size(), kManyRuns / 2);
  SendTo(peer);
  EXPECT_EQ(peer.Judge("job"), CrashVerdict::kGiveUp);
}

// Guards against a table that grows without bound.
TEST_F(CrashTableTest, Job_LongAfterItsCrashes_IsForgotten) {
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  table_.Record(Fate("r2", UpstreamFate::kCrashed));
  clock_.Advance(absl::Minutes(2));
  table_.Tick();
  EXPECT_EQ(table_.Judge("job"), CrashVerdict::kRun);
}

}  // namespace
}  // namespace radishrail
