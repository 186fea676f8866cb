#include <malloc.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "benchmark/benchmark.h"
#include "radishrail/clock.h"
#include "radishrail/policy_scheduler.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

constexpr int kQueuedTasks = 1'000'000;
constexpr int kJobTasks = 370;
constexpr int kTeams = 78;
constexpr int kFailureDomains = 15;

// The clock that the daemon uses, since reading it is part of a placement.
const SystemClock kClock;

JobDemand MakeJob(uint64_t id, int tasks, Random* random) {
  JobDemand demand;
  demand.job = id;
  demand.environment = "booking";
  demand.team = absl::StrCat("team-", random->Below(kTeams));
  demand.upstream_classes = {"runner"};
  demand.promise_by = kClock.Monotonic() + absl::Hours(24);
  demand.start_by = demand.promise_by;
  const auto kind = absl::StrCat("kind-", random->Below(50));
  for (int i = 0; i < tasks; ++i) {
    demand.tasks.push_back(
        {kind, absl::Milliseconds(50 + random->Below(900)), 1});
  }
  return demand;
}

std::unique_ptr<PolicyScheduler> MakeScheduler(
    int runners,
    AdmissionPolicy admission = AdmissionPolicy::kQueuedWork) {
  PolicySchedulerSettings settings;
  settings.admission = admission;
  auto scheduler = std::make_unique<PolicyScheduler>(kClock, settings);
  SeededRandom random(2);
  for (int i = 0; i < runners; ++i) {
    UpstreamCapacity capacity;
    capacity.upstream = i;
    capacity.upstream_class = "runner";
    const int domain = i % kFailureDomains;
    capacity.failure_domain = absl::StrCat("fd-", domain);
    capacity.same_failure_domain = domain == 0;
    capacity.slots = 8;
    capacity.speed = 0.5 + 1.5 * random.Unit();
    scheduler->SetUpstream(capacity);
  }
  return scheduler;
}

// Admits jobs of `tasks` tasks until a million tasks are queued.
void Fill(PolicyScheduler* scheduler, int tasks, uint64_t* id, Random* random) {
  while (scheduler->queued_tasks() < kQueuedTasks) {
    scheduler->Admit(MakeJob(++*id, tasks, random));
  }
}

// Finishes a running task and places another. Arguments: runners, tasks per
// job.
void BM_PlaceAndFinish(benchmark::State& state) {
  SeededRandom random(1);
  auto scheduler = MakeScheduler(static_cast<int>(state.range(0)));
  uint64_t id = 0;
  const int tasks = static_cast<int>(state.range(1));
  Fill(scheduler.get(), tasks, &id, &random);
  std::vector<TaskRef> running;
  while (const auto it = scheduler->Next()) {
    running.push_back(it->task);
  }
  size_t oldest = 0;
  for (auto _ : state) {
    scheduler->Finish(running[oldest], absl::Milliseconds(300));
    running[oldest] = scheduler->Next()->task;
    oldest = (oldest + 1) % running.size();
    if (scheduler->queued_tasks() < kQueuedTasks - 100'000) {
      state.PauseTiming();
      Fill(scheduler.get(), tasks, &id, &random);
      state.ResumeTiming();
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_PlaceAndFinish)
    ->ArgNames({"runners", "job_tasks"})
    ->ArgsProduct({{48, 1400}, {1, kJobTasks}});

// Admission of a job of 370 tasks while a million tasks are queued.
void BM_AdmitJob(benchmark::State& state) {
  SeededRandom random(1);
  auto scheduler = MakeScheduler(1400);
  uint64_t id = 0;
  Fill(scheduler.get(), kJobTasks, &id, &random);
  JobDemand demand = MakeJob(0, kJobTasks, &random);
  for (auto _ : state) {
    demand.job = ++id;
    benchmark::DoNotOptimize(scheduler->Admit(demand));
    state.PauseTiming();
    scheduler->Remove(id);
    state.ResumeTiming();
  }
  state.SetItemsProcessed(state.iterations() * kJobTasks);
}
BENCHMARK(BM_AdmitJob);

// Admits, places and finishes a job of 8 tasks while others occupy half of the
// slots. Argument: `AdmissionPolicy`.
void BM_AdmitPlaceFinish(benchmark::State& state) {
  constexpr int kTasks = 8;
  SeededRandom random(1);
  auto scheduler =
      MakeScheduler(100, static_cast<AdmissionPolicy>(state.range(0)));
  scheduler->Admit(MakeJob(1, 400, &random));
  while (scheduler->Next()) {
  }
  JobDemand demand = MakeJob(0, kTasks, &random);
  uint64_t id = 1;
  for (auto _ : state) {
    demand.job = ++id;
    demand.promise_by = kClock.Monotonic() + absl::Seconds(1);
    demand.start_by = demand.promise_by + absl::Seconds(1);
    scheduler->Admit(demand);
    TaskRef placed[kTasks];
    for (auto& it : placed) {
      it = scheduler->Next()->task;
    }
    for (const auto& it : placed) {
      scheduler->Finish(it, absl::Milliseconds(300));
    }
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}
BENCHMARK(BM_AdmitPlaceFinish)->ArgName("admission")->Arg(0)->Arg(1);

// Removes jobs with a total of 100,000 tasks from a queue of a million.
// Argument: tasks per job.
void BM_Remove100000Tasks(benchmark::State& state) {
  SeededRandom random(1);
  auto scheduler = MakeScheduler(1400);
  uint64_t id = 0;
  const int tasks = static_cast<int>(state.range(0));
  uint64_t next = 1;
  for (auto _ : state) {
    state.PauseTiming();
    Fill(scheduler.get(), tasks, &id, &random);
    state.ResumeTiming();
    for (int n = 0; n < 100'000; n += tasks) {
      scheduler->Remove(next++);
    }
  }
  state.SetItemsProcessed(state.iterations() * 100'000);
}
BENCHMARK(BM_Remove100000Tasks)
    ->ArgName("job_tasks")
    ->Arg(1)
    ->Arg(kJobTasks)
    ->Unit(benchmark::kMillisecond);

// Heap bytes per queued task. Argument: tasks per job.
void BM_BytesPerQueuedTask(benchmark::State& state) {
  const int tasks = static_cast<int>(state.range(0));
  double bytes = 0;
  for (auto _ : state) {
    SeededRandom random(1);
    const auto before = mallinfo2();
    auto scheduler = MakeScheduler(1400);
    uint64_t id = 0;
    Fill(scheduler.get(), tasks, &id, &random);
    const auto after = mallinfo2();
    bytes = static_cast<double>(after.uordblks + after.hblkhd) -
            static_cast<double>(before.uordblks + before.hblkhd);
  }
  state.counters["bytes_per_task"] = bytes / kQueuedTasks;
}
BENCHMARK(BM_BytesPerQueuedTask)
    ->ArgName("job_tasks")
    ->Arg(1)
    ->Arg(kJobTasks)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace radishrail

BENCHMARK_MAIN();
