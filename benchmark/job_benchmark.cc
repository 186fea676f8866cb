#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "../tests/fakes.h"
#include "../tests/job_fakes.h"
#include "benchmark/benchmark.h"
#include "radishrail/job_controller.h"
#include "radishrail/job_json.h"
#include "radishrail/random.h"

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

constexpr int kUpstreams = 48;

// A job controller with a trivial scheduler and an upstream client that
// responds immediately.
struct JobFixture {
  explicit JobFixture(int slots = 8) : scheduler(clock, kUpstreams, slots) {
    upstreams.OnVmList(TestVms(kUpstreams));
  }
  void Accept(const std::string& key, int tasks) {
    jobs.Accept(TestJob(key, tasks), document,
                [this](const JobAnswer& it) { answered += it.tasks.size(); });
  }

  FakeClock clock;
  SeededRandom random{1};
  FakeScheduler scheduler;
  UpstreamRegistry upstreams{UpstreamSettings{"fd-a"}, clock};
  ImmediateUpstreamClient client;
  Metrics metrics;
  Timeline timeline{clock, "vm", 20000};
  std::shared_ptr<VersionedDocument> document = TestDocument();
  JobController jobs{clock,  random,  scheduler, upstreams,
                     client, metrics, timeline};
  size_t answered = 0;
};

// Accepts a job, dispatches its tasks, processes their results and answers the
// caller.
void BM_AcceptDispatchFinish(benchmark::State& state) {
  const auto tasks = static_cast<int>(state.range(0));
  JobFixture fixture;
  uint64_t n = 0;
  for (auto _ : state) {
    fixture.Accept("key" + std::to_string(n++), tasks);
    fixture.jobs.Tick();
    // Lets keys expire, so that the table keeps a constant size.
    fixture.clock.Advance(absl::Milliseconds(100));
  }
  if (fixture.answered != n * static_cast<uint64_t>(tasks)) {
    state.SkipWithError("not all tasks were answered");
  }
  state.SetItemsProcessed(state.iterations() * tasks);
}
BENCHMARK(BM_AcceptDispatchFinish)->Arg(1)->Arg(10)->Arg(kTasksPerJob);

// Heap bytes per retained key of 40 characters with its answer.
void BM_RememberedKeyBytes(benchmark::State& state) {
  constexpr size_t kKeys = 100000;
  const auto tasks = static_cast<int>(state.range(0));
  double bytes = 0;
  for (auto _ : state) {
    JobFixture fixture;
    // Fills the event ring buffer, which would otherwise be counted as keys.
    for (int i = 0; i < 20000; ++i) {
      fixture.timeline.Record({});
    }
    const size_t before = mallinfo2().uordblks;
    for (size_t i = 0; i < kKeys; ++i) {
      std::string key = std::to_string(i);
      key.insert(0, 40 - key.size(), 'k');
      fixture.Accept(key, tasks);
      fixture.jobs.Tick();
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before) / kKeys;
  }
  state.counters["bytes_per_key"] = bytes;
}
BENCHMARK(BM_RememberedKeyBytes)
    ->Arg(1)
    ->Arg(10)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Cancels 100,000 queued tasks in jobs of the given size. `longest_us` is the
// longest single call, during which nothing is dispatched.
void BM_Cancel100000Tasks(benchmark::State& state) {
  constexpr int kTasks = 100000;
  const auto tasks = static_cast<int>(state.range(0));
  const int jobs = kTasks / tasks;
  std::chrono::duration<double, std::micro> longest{0};
  for (auto _ : state) {
    state.PauseTiming();
    JobFixture fixture(0);
    for (int i = 0; i < jobs; ++i) {
      fixture.Accept("key" + std::to_string(i), tasks);
    }
    state.ResumeTiming();
    for (int i = 0; i < jobs; ++i) {
      const auto start = std::chrono::steady_clock::now();
      fixture.jobs.Cancel("key" + std::to_string(i));
      longest = std::max<std::chrono::duration<double, std::micro>>(
          longest, std::chrono::steady_clock::now() - start);
    }
    state.PauseTiming();
    if (fixture.jobs.jobs_in_progress() != 0) {
      state.SkipWithError("a job was not cancelled");
    }
    state.ResumeTiming();
  }
  state.SetItemsProcessed(state.iterations() * jobs * tasks);
  state.counters["longest_us"] = longest.count();
}
BENCHMARK(BM_Cancel100000Tasks)
    ->Arg(1)
    ->Arg(kTasksPerJob)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace radishrail

BENCHMARK_MAIN();
