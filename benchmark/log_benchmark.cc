#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "benchmark/benchmark.h"
#include "radishrail/decision_log.h"
#include "radishrail/log.h"

namespace radishrail {
namespace {

// Sends log lines to /dev/null, which accepts every write; the report goes to
// standard error.
void DiscardOutput() {
  const int fd = open("/dev/null", O_WRONLY);
  dup2(fd, STDOUT_FILENO);
  close(fd);
}

const std::vector<LogField>& Fields() {
  static auto* fields =
      new std::vector<LogField>{{"request", "5c0e7a21d94b36f8"},
                                {"outcome", "tacoma-yard"},
                                {"owner", "edge-tacoma-yard-1"},
                                {"slots_wanted", "318"},
                                {"slots", "4736"},
                                {"busy_slots", "4043"},
                                {"backlog_ms", "5"},
                                {"load_age_ms", "5"}};
  return *fields;
}

// Total cost of a line in the caller and in the writing thread, as process CPU
// time.
void BM_LineWritten(benchmark::State& state) {
  InitLogging(LogLevel::kInfo, "edge-tacoma-yard-1");
  for (auto _ : state) {
    internal::WriteLogLine(LogLevel::kInfo, "job_offered", Fields());
  }
  StopLogging();
}
BENCHMARK(BM_LineWritten)->MeasureProcessCPUTime();

// A decision over the rate limit of its kind, as most are under load.
void BM_DecisionLeftOut(benchmark::State& state) {
  InitLogging(LogLevel::kInfo, "edge-tacoma-yard-1");
  const SystemClock clock;
  Metrics metrics;
  DecisionLog log(clock, metrics);
  for (int i = 0; i < DecisionLog::kLinesPerSecond; ++i) {
    log.Write(Decision::kJobOffered, "5c0e7a21d94b36f8", "tacoma-yard");
  }
  for (auto _ : state) {
    log.Write(Decision::kJobOffered, "5c0e7a21d94b36f8", "tacoma-yard",
              {{"owner", "edge-tacoma-yard-1"},
               {"slots_wanted", "318"},
               {"slots", "4736"},
               {"busy_slots", "4043"}});
  }
  StopLogging();
}
BENCHMARK(BM_DecisionLeftOut)->MeasureProcessCPUTime();

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  radishrail::DiscardOutput();
  benchmark::ConsoleReporter reporter;
  reporter.SetOutputStream(&std::cerr);
  reporter.SetErrorStream(&std::cerr);
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return 0;
}
