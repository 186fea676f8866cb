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

// Takes the place of standard output: a pipe that is read on demand.
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

  // Lines that were written until `RestoreOutput`.
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

// Guards against a thread that serves requests and waits for the log's output,
// and against a stop that hangs until the process is killed.
TEST_F(LogTest, FullPipe_BlocksNeitherWritersNorTheStop) {
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
  // Far beyond what either takes; a blocked one never ends.
  constexpr auto kHung = std::chrono::seconds(60);
  const bool wrote =
      written.get_future().wait_for(kHung) == std::future_status::ready;
  const bool stop =
      stopped.get_future().wait_for(kHung) == std::future_status::ready;
  RestoreOutput();
  const auto lines = ReadLines();
  writer.join();
  EXPECT_TRUE(wrote);
  EXPECT_TRUE(stop);
  EXPECT_THAT(lines, testing::Not(testing::IsEmpty()));
  EXPECT_GE(Dropped() - dropped_before, static_cast<int64_t>(kLogQueueLines));
}

// Guards against lines that are lost or cut though the output takes them.
TEST_F(LogTest, StopWithAReadOutput_WritesAllQueuedLinesWhole) {
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

// Guards against a flapping runner or peer that fills the log.
TEST_F(LogTest, MessageBeyondItsBudget_IsLeftOut) {
  std::vector<std::string> lines;
  std::thread reader([&] { lines = ReadLines(); });
  constexpr int kLines = 100 * kLogLinesPerSecond;
  for (int i = 0; i < kLines; ++i) {
    Log(LogLevel::kInfo, "runner out of touch");
  }
  Log(LogLevel::kInfo, "another message");
  StopLogging();
  RestoreOutput();
  reader.join();
  EXPECT_LT(lines.size(), static_cast<size_t>(kLines) / 2);
  EXPECT_GE(lines.size(), static_cast<size_t>(kLogLinesPerSecond));
  EXPECT_TRUE(absl::StrContains(lines.back(), "another message"));
}

// Guards against an answer that explains nothing since its history is endless.
TEST_F(LogTest, LongHistory_ShowsTheNewestEvents) {
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

// Guards against a count of lost lines that is itself lost or told twice.
TEST(LineBudgetTest, LinesBeyondTheBudget_AreCountedOnce) {
  LineBudget budget(2);
  const absl::Time now = absl::FromUnixSeconds(100);
  EXPECT_TRUE(budget.Spend(now));
  EXPECT_TRUE(budget.Spend(now));
  EXPECT_FALSE(budget.Spend(now));
  EXPECT_FALSE(budget.Spend(now + absl::Milliseconds(999)));
  EXPECT_TRUE(budget.Spend(now + absl::Seconds(1)));
  EXPECT_EQ(budget.TakeLeftOut(), 2u);
  EXPECT_EQ(budget.TakeLeftOut(), 0u);
}

// Guards against a log that falls silent when the time of day jumps back.
TEST(LineBudgetTest, ClockJumpsBack_LinesGoOn) {
  LineBudget budget(1);
  const absl::Time now = absl::FromUnixSeconds(100);
  EXPECT_TRUE(budget.Spend(now));
  EXPECT_TRUE(budget.Spend(now - absl::Seconds(50)));
}

}  // namespace
}  // namespace radishrail
