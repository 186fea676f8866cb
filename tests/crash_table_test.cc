#include "radishrail/crash_table.h"

#include <string>

#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

class CrashTableTest : public testing::Test {
 protected:
  static RunFate Fate(const std::string& vm,
                      UpstreamFate fate,
                      const std::string& task = "0.0.0") {
    return {"job", task, vm, fate};
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

// Guards against status messages that grow with each lost run, and against an
// owner that does not learn what happened at another one.
TEST_F(CrashTableTest, Shared_MoreThanOneUpstreamLost_HoldsAllOfTheTask) {
  CrashTable peer(clock_);
  table_.Record(Fate("r1", UpstreamFate::kCrashed));
  EXPECT_TRUE(table_.Shared().empty());
  table_.Record(Fate("r2", UpstreamFate::kCrashed));
  for (const auto& it : table_.Shared()) {
    peer.RecordOfPeer(it);
  }
  EXPECT_EQ(peer.Judge("job"), CrashVerdict::kGiveUp);
  EXPECT_TRUE(peer.Shared().empty());
  clock_.Advance(absl::Seconds(2));
  EXPECT_TRUE(table_.Shared().empty());
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
