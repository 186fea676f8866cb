#include "radishrail/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "radishrail/decision_log.h"
#include "radishrail/line_budget.h"
#include "radishrail/timeline.h"

namespace radishrail {
namespace {

// Redirects standard output to a pipe that the tests read.
class LogTest : public testing::Test {
 protected:
  void SetUp() override {
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    reader_ = ends[0];
    saved_output_ = dup(STDOUT_FILENO);
    ASSERT_GE(dup2(ends[1], STDOUT_FILENO), 0);
    close(ends[1]);
    InitLogging(LogLevel::kInfo, "test");
  }
  void TearDown() override {
    StopLogging();
    RestoreOutput();
    close(reader_);
  }

  // Reads lines until `RestoreOutput` closes the last writing end.
  std::vector<std::string> ReadLines() const {
    std::string text;
    char buf[4096];
    ssize_t n = 0;
    while ((n = read(reader_, buf, sizeof(buf))) > 0) {
      text.append(buf, static_cast<size_t>(n));
    }
    return absl::StrSplit(text, '\n', absl::SkipEmpty());
  }
  void RestoreOutput() {
    if (saved_output_ >= 0) {
      dup2(saved_output_, STDOUT_FILENO);
      close(saved_output_);
      saved_output_ = -1;
    }
  }
  int64_t Dropped() {
    RecordDroppedLogLines(metrics_);
    return metrics_.gauge("radishrail_log_lines_dropped").value();
  }

  Metrics metrics_;
  int reader_ = -1;
  int saved_output_ = -1;
};

// Guards against a blocked log output that blocks threads that serve requests,
// or hangs the shutdown until the process is killed.
TEST_F(LogTest, Output_PipeIsFull_DoesNotBlockWritersOrStop) {
  const int64_t dropped_before = Dropped();
  const std::string detail(1000, 'x');
  const std::vector<LogField> fields = {{"detail", detail}};
  std::promise<void> written;
  std::promise<void> stopped;
  std::thread writer([&] {
    for (size_t i = 0; i < 2 * kLogQueueLines; ++i) {
      internal::WriteLogLine(LogLevel::kInfo, "line", fields);
    }
    written.set_value();
    StopLogging();
    stopped.set_value();
  });
  // Far longer than either operation takes; a blocked one never returns.
  constexpr auto kHangTimeout = std::chrono::seconds(60);
  const bool written_in_time =
      written.get_future().wait_for(kHangTimeout) == std::future_status::ready;
  const bool stopped_in_time =
      stopped.get_future().wait_for(kHangTimeout) == std::future_status::ready;
  RestoreOutput();
  const auto lines = ReadLines();
  writer.join();
  EXPECT_TRUE(written_in_time);
  EXPECT_TRUE(stopped_in_time);
  EXPECT_THAT(lines, testing::Not(testing::IsEmpty()));
  EXPECT_GE(Dropped() - dropped_before, static_cast<int64_t>(kLogQueueLines));
}

// Guards against lines that are lost or truncated although the output is not
// blocked.
TEST_F(LogTest, Stop_OutputIsRead_WritesAllQueuedLines) {
  constexpr int kLines = 20;
  const std::string detail(10'000, 'x');
  std::vector<std::string> lines;
  std::thread reader([&] { lines = ReadLines(); });
  for (int i = 0; i < kLines; ++i) {
    Log(LogLevel::kInfo, "long line", {{"detail", detail}});
  }
  StopLogging();
  RestoreOutput();
  reader.join();
  ASSERT_EQ(lines.size(), static_cast<size_t>(kLines));
  for (const auto& it : lines) {
    EXPECT_EQ(nlohmann::json::parse(it)["detail"], detail);
  }
}

// Guards against a flapping runner or peer that floods the log.
TEST_F(LogTest, Log_MessageExceedsBudget_SuppressesLines) {
  std::vector<std::string> lines;
  std::thread reader([&] { lines = ReadLines(); });
  constexpr int kLines = 100 * kLogLinesPerSecond;
  for (int i = 0; i < kLines; ++i) {
    Log(LogLevel::kInfo, "runner unreachable");
  }
  Log(LogLevel::kInfo, "another message");
  StopLogging();
  RestoreOutput();
  reader.join();
  EXPECT_LT(lines.size(), static_cast<size_t>(kLines) / 2);
  EXPECT_GE(lines.size(), static_cast<size_t>(kLogLinesPerSecond));
  EXPECT_TRUE(absl::StrContains(lines.back(), "another message"));
}

// Guards against a history without limit, and against one limited to the oldest
// events, which do not show how the request ended.
TEST_F(LogTest, WriteHistory_TooManyEvents_WritesNewest) {
  SystemClock clock;
  Timeline timeline(clock, "test", 1000);
  for (int i = 0; i < 200; ++i) {
    Event event;
    event.type = EventType::kTaskHandedOver;
    event.job = "job";
    event.task = absl::StrCat("task", i);
    timeline.Record(std::move(event));
  }
  DecisionLog log(clock, metrics_);
  std::vector<std::string> lines;
  std::thread reader([&] { lines = ReadLines(); });
  log.WriteHistory("job", timeline);
  StopLogging();
  RestoreOutput();
  reader.join();
  ASSERT_EQ(lines.size(), DecisionLog::kHistoryEvents);
  EXPECT_TRUE(absl::StrContains(lines.back(), "task199"));
}

// Guards against suppressed lines that are not counted, or counted twice.
TEST(LineBudgetTest, TakeSuppressed_LinesExceedBudget_CountsEachOnce) {
  LineBudget budget(2);
  const absl::Time now = absl::FromUnixSeconds(100);
  EXPECT_TRUE(budget.TryConsume(now));
  EXPECT_TRUE(budget.TryConsume(now));
  EXPECT_FALSE(budget.TryConsume(now));
  EXPECT_FALSE(budget.TryConsume(now + absl::Milliseconds(999)));
  EXPECT_TRUE(budget.TryConsume(now + absl::Seconds(1)));
  EXPECT_EQ(budget.TakeSuppressed(), 2u);
  EXPECT_EQ(budget.TakeSuppressed(), 0u);
}

// Guards against suppressing all lines after the wall clock jumps back.
TEST(LineBudgetTest, TryConsume_ClockJumpsBack_AllowsLine) {
  LineBudget budget(1);
  const absl::Time now = absl::FromUnixSeconds(100);
  EXPECT_TRUE(budget.TryConsume(now));
  EXPECT_TRUE(budget.TryConsume(now - absl::Seconds(50)));
}

}  // namespace
}  // namespace radishrail
