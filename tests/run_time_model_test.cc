#include "run_time_model.h"

#include "gtest/gtest.h"

namespace radishrail::internal {
namespace {

// Guards against an estimate from too few runs, and against one that ignores
// the speed of the upstream: 50 ms at double speed are 100 ms at mean speed.
TEST(RunTimeModelTest, Expected_FiveRuns_IsScaledToMeanSpeed) {
  RunTimeModel model;
  const uint32_t kind = model.KindNumber("booking", "quote");
  for (int i = 0; i < 4; ++i) {
    model.Learn(kind, absl::Milliseconds(50), 2);
  }
  EXPECT_EQ(model.Expected(kind), absl::ZeroDuration());
  model.Learn(kind, absl::Milliseconds(50), 2);
  EXPECT_NEAR(absl::ToDoubleSeconds(model.Expected(kind)), 0.1, 1e-6);
}

// Guards against an outlier, such as a stuck run, that dominates the mean.
TEST(RunTimeModelTest, Learn_OneOutlier_ChangesExpectationByBoundedFactor) {
  RunTimeModel model;
  const uint32_t kind = model.KindNumber("booking", "quote");
  for (int i = 0; i < 9; ++i) {
    model.Learn(kind, absl::Milliseconds(100), 1);
  }
  model.Learn(kind, absl::Hours(1), 1);
  EXPECT_LT(model.Expected(kind), absl::Milliseconds(125));
}

// Guards against unbounded memory, since callers choose the names of kinds, and
// against a common estimate for unrelated kinds beyond the limit.
TEST(RunTimeModelTest, KindNumber_LimitReached_ReturnsSharedUnlearnedKind) {
  RunTimeModel model;
  EXPECT_NE(model.KindNumber("booking", "quote"),
            model.KindNumber("billing", "quote"));
  for (int i = 0; i < 10000; ++i) {
    model.KindNumber("booking", std::to_string(i));
  }
  EXPECT_EQ(model.KindNumber("booking", "another"), 0U);
  for (int i = 0; i < 10; ++i) {
    model.Learn(0, absl::Seconds(1), 1);
  }
  EXPECT_EQ(model.Expected(0), absl::ZeroDuration());
}

}  // namespace
}  // namespace radishrail::internal
