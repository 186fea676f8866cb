#include "forwarded_jobs.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class ForwardedJobsTest : public testing::Test {
 protected:
  ForwardedJobs jobs_;
};

// Guards against a reply that goes to the wrong request, or to two.
TEST_F(ForwardedJobsTest, Take_Twice_ReturnsTheJobOnce) {
  const uint64_t number = jobs_.Add({"a", 7, "k"});
  EXPECT_EQ(jobs_.RequestOf("a", "k"), 7u);
  const auto job = jobs_.Take(number);
  ASSERT_TRUE(job.has_value());
  EXPECT_EQ(job->address, "a");
  EXPECT_EQ(job->request, 7u);
  EXPECT_FALSE(jobs_.Take(number).has_value());
  EXPECT_EQ(jobs_.RequestOf("a", "k"), 0u);
  EXPECT_THAT(jobs_.Entries(), IsEmpty());
}

// Guards against a repetition that is forgotten when the first request for its
// key is replied to.
TEST_F(ForwardedJobsTest, Take_FormerRequestOfKey_KeepsTheLast) {
  const uint64_t former = jobs_.Add({"a", 7, "k"});
  jobs_.Add({"a", 9, "k"});
  EXPECT_EQ(jobs_.Take(former)->request, 7u);
  EXPECT_EQ(jobs_.RequestOf("a", "k"), 9u);
  EXPECT_THAT(jobs_.TakeAll("a"), ElementsAre("k"));
}

// Guards against jobs that run on after their entry daemon is gone, and against
// those of others that end with it.
TEST_F(ForwardedJobsTest, TakeAll_OneOfTwoEntries_LeavesTheOther) {
  const uint64_t number = jobs_.Add({"a", 1, "k1"});
  jobs_.Add({"a", 2, "k2"});
  jobs_.Add({"b", 1, "k3"});
  EXPECT_THAT(jobs_.KeysBefore("a", 2), ElementsAre("k1"));
  EXPECT_THAT(jobs_.TakeAll("a"), ElementsAre("k1", "k2"));
  EXPECT_FALSE(jobs_.Take(number).has_value());
  EXPECT_THAT(jobs_.TakeAll("a"), IsEmpty());
  EXPECT_THAT(jobs_.Entries(), ElementsAre("b"));
}

}  // namespace
}  // namespace radishrail::internal
