#include <string>

#include "benchmark/benchmark.h"
#include "radishrail/job_json.h"

namespace radishrail {
namespace {

constexpr int kTasksPerJob = 370;

std::string MakeBody(int tasks) {
  std::string body =
      R"({"environment":"booking","team":"counter","deadline_ms":5000,"tasks":[)";
  for (int i = 0; i < tasks; ++i) {
    body += (i > 0 ? "," : "");
    body += R"({"id":"t)" + std::to_string(i) +
            R"(","kind":"quote","payload":"vehicle=crane;from=2026-12-04",)"
            R"("declared_run_ms":120,"declared_slots":1,"idempotent":false})";
  }
  return body + "]}";
}

void BM_ParseJob(benchmark::State& state) {
  const std::string body = MakeBody(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseJob(body, "key", nullptr));
  }
  state.SetBytesProcessed(state.iterations() *
                          static_cast<int64_t>(body.size()));
}
BENCHMARK(BM_ParseJob)
    ->Arg(1)
    ->Arg(kTasksPerJob)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace radishrail

BENCHMARK_MAIN();
