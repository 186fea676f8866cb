#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "pool_fleet.h"

namespace radishrail {
namespace {

// A deployment of one daemon, which has never had a peer.
class SingleDaemonTest : public testing::Test {
 protected:
  SingleDaemonTest() { fleet_.loop.RunFor(absl::Seconds(2)); }

  // Submits jobs, of which no submission may be refused.
  void ExpectJobsComplete(int jobs) {
    const int completed = fleet_.answers[JobStatus::kComplete];
    const int refused = fleet_.answers[JobStatus::kNotRun];
    for (int i = 0; i < jobs; ++i) {
      fleet_.Submit("d1n0", 2);
      fleet_.loop.RunFor(absl::Milliseconds(50));
    }
    fleet_.loop.RunFor(absl::Seconds(5));
    EXPECT_EQ(fleet_.answers[JobStatus::kComplete] - completed, jobs)
        << fleet_.TraceOfIncomplete();
    EXPECT_EQ(fleet_.answers[JobStatus::kNotRun] - refused, 0);
    EXPECT_THAT(fleet_.log.violations, testing::IsEmpty());
  }

  PoolFleet fleet_{1, 1, 4, {"d1"}};
};

// Guards against a daemon that learns the load of its own pool only beside the
// status messages to its peers, and so refuses all jobs without any.
TEST_F(SingleDaemonTest, Jobs_NoPeer_AllComplete) {
  ExpectJobsComplete(20);
}

// Guards against the same after the daemon has taken its pool a second time.
TEST_F(SingleDaemonTest, Jobs_DaemonWasRestarted_AllComplete) {
  fleet_.Kill("d1n0");
  fleet_.StartDaemon("d1n0");
  fleet_.loop.RunFor(absl::Seconds(4));
  ExpectJobsComplete(20);
}

}  // namespace
}  // namespace radishrail
