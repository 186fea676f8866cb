#include "radishrail/pool_view.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fake_store.h"
#include "fakes.h"
#include "free_room.h"
#include "gtest/gtest.h"
#include "pool_world.h"
#include "radishrail/job_answers.h"
#include "radishrail/log.h"
#include "radishrail/policy_scheduler.h"
#include "radishrail/pool_router.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

constexpr absl::Duration kLinkDelay = absl::Milliseconds(1);
constexpr absl::Duration kReportInterval = absl::Milliseconds(100);
constexpr std::array<const char*, 3> kPools = {"d0", "d1", "d2"};

// What the callers of all entry daemons got.
struct Outcome {
  int jobs = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  // Refused while an upstream of any pool had been free for the job's largest
  // task for longer than a report's age, early enough to keep the promise.
  int refused_with_room = 0;
  int offers_of_refused = 0;
};

// Upstreams and scheduler of one failure domain. Its owner admits, places and
// refuses as `PolicyScheduler` decides.
class OwnerModel {
 public:
  static constexpr int kUpstreams = 20;
  static constexpr int kSlots = 128;
  using Answer = std::function<void(JobStatus)>;

  OwnerModel(EventLoop& loop, FakeClock& clock, Random& random)
      : loop_(loop), clock_(clock), random_(random) {
    PolicySchedulerSettings settings;
    settings.largest_upstream_slots = kSlots;
    scheduler_ = std::make_unique<PolicyScheduler>(clock, settings);
    for (UpstreamId i = 0; i < kUpstreams; ++i) {
      scheduler_->SetUpstream({i, "service", "d", true, kSlots});
    }
    Observe();
  }

  void Submit(const PoolJobRequest& request, Answer answer) {
    JobDemand demand;
    demand.job = ++last_job_;
    demand.environment = request.environment;
    demand.upstream_classes = {"service"};
    demand.promise_by =
        clock_.Monotonic() + absl::Milliseconds(request.promised_ms);
    demand.start_by =
        clock_.Monotonic() + absl::Milliseconds(request.deadline_ms);
    for (const auto& it : request.steps) {
      for (uint32_t i = 0; i < it.count; ++i) {
        demand.tasks.push_back({"kind", absl::Milliseconds(it.declared_ms),
                                static_cast<int>(it.slots)});
      }
    }
    if (scheduler_->Admit(demand).has_value()) {
      answer(JobStatus::kNotRun);
      return;
    }
    jobs_[demand.job] = {demand, demand.tasks.size(), std::move(answer)};
    Place();
  }
  void Tick() {
    for (const uint64_t it : scheduler_->TakeHopeless()) {
      const Answer answer = jobs_[it].answer;
      scheduler_->Remove(it);
      jobs_.erase(it);
      answer(JobStatus::kNotRun);
    }
    Place();
  }
  SchedulerLoad load() const { return scheduler_->load(); }
  std::vector<RoomForSize> room() { return scheduler_->room(); }
  // Since when an upstream has been free for a task of this size.
  absl::Time FreeSince(int task_slots) const { return free_since_[task_slots]; }

 private:
  struct Job {
    JobDemand demand;
    size_t tasks_left = 0;
    Answer answer;
  };

  void Place() {
    while (const auto placement = scheduler_->Next()) {
      const TaskDemand& task =
          jobs_[placement->task.job].demand.tasks[placement->task.task];
      occupied_[placement->upstream] += task.slots;
      // Declared run times are off by up to 40%.
      const absl::Duration run =
          task.declared_run * (0.6 + 0.8 * random_.Unit());
      loop_.PostDelayed(run, [this, placement, run, slots = task.slots] {
        occupied_[placement->upstream] -= slots;
        scheduler_->Finish(placement->task, run);
        Job& job = jobs_[placement->task.job];
        if (--job.tasks_left == 0) {
          const Answer answer = job.answer;
          jobs_.erase(placement->task.job);
          answer(JobStatus::kComplete);
        }
        Place();
      });
    }
    Observe();
  }
  void Observe() {
    const int most_free =
        kSlots - *std::min_element(occupied_.begin(), occupied_.end());
    for (int i = 0; i <= kSlots; ++i) {
      free_since_[i] = i > most_free
                           ? absl::InfiniteFuture()
                           : std::min(free_since_[i], clock_.Monotonic());
    }
  }

  EventLoop& loop_;
  FakeClock& clock_;
  Random& random_;
  std::unique_ptr<PolicyScheduler> scheduler_;
  std::map<uint64_t, Job> jobs_;
  uint64_t last_job_ = 0;
  std::array<int, kUpstreams> occupied_{};
  std::vector<absl::Time> free_since_ =
      std::vector<absl::Time>(kSlots + 1, absl::InfiniteFuture());
};

// Three pools and many entry daemons, whose real routers get reports of a given
// age. The peak moves from one failure domain to the next.
class ShiftingPeak {
 public:
  static constexpr int kEntriesPerDomain = 12;
  static constexpr absl::Duration kPeakTime = absl::Seconds(3);
  static constexpr absl::Duration kDuration = absl::Seconds(18);
  static constexpr absl::Duration kPromiseBase = absl::Seconds(1);
  static constexpr double kJobsPerSecond = 35;       // of a failure domain
  static constexpr double kPeakJobsPerSecond = 125;  // more than a pool can run

  ShiftingPeak(absl::Duration report_age, bool reports_room)
      : report_age_(report_age), reports_room_(reports_room) {
    SetLogLevel(LogLevel::kError);
    for (size_t i = 0; i < kPools.size(); ++i) {
      owners_.push_back(std::make_unique<OwnerModel>(loop_, clock_, random_));
    }
    for (size_t i = 0; i < kEntriesPerDomain * kPools.size(); ++i) {
      entries_.push_back(
          std::make_unique<Entry>(*this, kPools[i % kPools.size()]));
    }
    auto document = std::make_shared<VersionedDocument>();
    document->document.environment = "queue";
    route_.document = std::move(document);
    route_.base = kPromiseBase;
    route_.stretch = 1.6;
  }

  Outcome Run() {
    Report();
    TickOwners();
    loop_.RunFor(report_age_ + kReportInterval);
    start_ = clock_.Monotonic();
    for (size_t i = 0; i < kPools.size(); ++i) {
      Arrive(i);
    }
    loop_.RunFor(kDuration + absl::Seconds(8));
    return outcome_;
  }

 private:
  // Delivers requests to the model of an owner and its replies to the router.
  struct Entry : public PeerTransport {
    Entry(ShiftingPeak& owner, const std::string& domain)
        : world(owner),
          ownership({},
                    world.clock_,
                    world.random_,
                    world.store_,
                    [](const std::string&) {}),
          router(
              domain,
              1,
              world.clock_,
              *this,
              ownership,
              [](const JobSpec&,
                 const std::shared_ptr<const VersionedDocument>&,
                 const PoolRouter::AnswerCallback&) {},
              [](const std::string&) {},
              random,
              metrics,
              timeline,
              log) {
      ownership.SetPools({kPools.begin(), kPools.end()});
    }
    bool Send(const std::string& to, const PeerMessage& message) override {
      if (const auto* request = std::get_if<PoolJobRequest>(&message)) {
        world.Deliver(*this, to, *request);
      }
      return true;
    }

    ShiftingPeak& world;
    SeededRandom random{world.random_.Next()};
    Metrics metrics;
    Timeline timeline{world.clock_, "entry", 1};
    DecisionLog log{world.clock_, metrics};
    PoolOwnership ownership;
    PoolRouter router;
  };

  PoolClaim ClaimOf(size_t pool) {
    const SchedulerLoad load = owners_[pool]->load();
    PoolClaim claim;
    claim.pool = kPools[pool];
    claim.fence = 1;
    claim.owner = claim.pool;
    claim.address = claim.pool;
    claim.accepting = true;
    claim.slots = load.slots;
    claim.busy_slots = load.busy_slots;
    claim.backlog_ms = absl::ToInt64Milliseconds(load.backlog);
    if (reports_room_) {
      claim.room = EncodeRoom(owners_[pool]->room());
    }
    return claim;
  }
  // Reports reach the entry daemons when they are nearly `report_age_` old.
  void Report() {
    const absl::Time sent = clock_.Monotonic();
    for (size_t i = 0; i < kPools.size(); ++i) {
      loop_.PostDelayed(kLinkDelay + report_age_ - kReportInterval,
                        [this, claim = ClaimOf(i), sent] {
                          for (auto& it : entries_) {
                            it->ownership.OnClaim(claim, clock_.Monotonic());
                            it->router.OnClaim(claim, sent);
                          }
                        });
    }
    loop_.PostDelayed(kReportInterval, [this] { Report(); });
  }
  void TickOwners() {
    for (auto& it : owners_) {
      it->Tick();
    }
    loop_.PostDelayed(absl::Milliseconds(10), [this] { TickOwners(); });
  }
  void Deliver(Entry& entry,
               const std::string& to,
               const PoolJobRequest& request) {
    ++offers_[request.key];
    loop_.PostDelayed(kLinkDelay, [this, &entry, to, request] {
      const auto pool = static_cast<size_t>(to.back() - '0');
      owners_[pool]->Submit(
          request, [this, &entry, pool, request](JobStatus status) {
            const PoolClaim claim = ClaimOf(pool);
            PoolJobReply reply;
            reply.request = request.request;
            reply.key = request.key;
            reply.status = static_cast<uint32_t>(status);
            reply.error = static_cast<uint32_t>(ErrorCode::kOverloaded);
            reply.busy_slots = claim.busy_slots;
            reply.backlog_ms = claim.backlog_ms;
            if (status == JobStatus::kNotRun) {
              reply.room = claim.room;
            }
            loop_.PostDelayed(kLinkDelay,
                              [&entry, reply] { entry.router.OnReply(reply); });
          });
    });
  }
  void Arrive(size_t domain) {
    const absl::Duration passed = clock_.Monotonic() - start_;
    if (passed > kDuration) {
      return;
    }
    const auto peak = static_cast<size_t>(passed / kPeakTime) % kPools.size();
    const double rate = peak == domain ? kPeakJobsPerSecond : kJobsPerSecond;
    loop_.PostDelayed(absl::Seconds(-std::log(1 - arrivals_.Unit()) / rate),
                      [this, domain] {
                        SubmitJob(domain);
                        Arrive(domain);
                      });
  }
  // Many short jobs of middle width and a few long ones.
  void SubmitJob(size_t domain) {
    const double kind = arrivals_.Unit();
    const int width = kind < 0.25 ? 8 : kind < 0.95 ? 2 : 4;
    const int run_ms = kind < 0.25 ? 60 : kind < 0.95 ? 200 : 900;
    JobSpec job;
    job.key = absl::StrCat("job", ++outcome_.jobs);
    TaskSpec task;
    task.declared_run = absl::Milliseconds(run_ms);
    task.declared_slots = static_cast<int>(40 + arrivals_.Below(50));
    job.tasks.assign(width, task);
    const absl::Duration promised =
        kPromiseBase + route_.stretch * task.declared_run;
    job.deadline = 2 * promised;
    const absl::Time submitted = clock_.Monotonic();
    const size_t entry =
        domain + kPools.size() * arrivals_.Below(kEntriesPerDomain);
    entries_[entry]->router.Submit(
        job, route_,
        [this, submitted, promised, task,
         key = job.key](const JobAnswer& answer) {
          const absl::Duration took = clock_.Monotonic() - submitted;
          if (answer.status != JobStatus::kNotRun) {
            ++(took <= promised ? outcome_.in_time : outcome_.late);
            return;
          }
          ++outcome_.refused;
          outcome_.offers_of_refused += offers_[key];
          const bool in_time = took + task.declared_run <= promised;
          outcome_.refused_with_room += in_time && HasRoom(task) ? 1 : 0;
        });
  }
  bool HasRoom(const TaskSpec& task) const {
    return std::any_of(owners_.begin(), owners_.end(), [&](const auto& it) {
      return clock_.Monotonic() - it->FreeSince(task.declared_slots) >
             report_age_;
    });
  }

  const absl::Duration report_age_;
  const bool reports_room_;
  FakeClock clock_;
  EventLoop loop_{clock_};
  SeededRandom random_{7};
  SeededRandom arrivals_{11};  // the same jobs for each choice
  FakePlatform platform_;
  FakeStore store_{platform_};
  RoutedDocument route_;
  std::vector<std::unique_ptr<OwnerModel>> owners_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<std::string, int> offers_;
  Outcome outcome_;
  absl::Time start_;
};

class PoolViewTest : public testing::Test {
 protected:
  static constexpr int kSlots = 640;

  PoolLoad Report(const std::vector<RoomForSize>& room,
                  absl::Duration backlog = absl::ZeroDuration()) const {
    return {kSlots, kSlots / 2, backlog, room, now_, now_};
  }
  std::optional<std::string> Choose(PoolView& view, int tasks = 1) const {
    const RoomDemand demand{32 * tasks, 32, absl::Milliseconds(100),
                            now_ + absl::Seconds(1)};
    auto pool = view.Choose({{"d0"}, {"d1"}, {"d2"}}, demand, now_);
    if (pool.has_value()) {
      view.OnOffered(*pool, demand, now_);
    }
    return pool;
  }

  const absl::Time now_ = absl::FromUnixSeconds(1000);
  SeededRandom random_{5};
};

// Guards against a choice by free slots, of which half are free here, for a
// task that fits on no upstream of the pool.
TEST_F(PoolViewTest, Choose_FreeSlotsAreScattered_TakesThePoolWhereTaskFits) {
  PoolView view("d0", random_);
  view.OnReport("d0", Report({{32, 0, absl::Milliseconds(200)}}));
  view.OnReport("d1", Report({{32, 10, absl::ZeroDuration()}}));
  view.OnReport("d2", Report({{32, 0, absl::Milliseconds(200)}}));
  EXPECT_EQ(Choose(view), "d1");
}

// Guards against bytes between failure domains that gain a job nothing.
TEST_F(PoolViewTest, Choose_OwnDomainHasRoom_StaysThereUntilItIsFull) {
  PoolView view("d0", random_);
  view.OnReport(
      "d0", Report({{32, 3, absl::ZeroDuration()}}, absl::Milliseconds(100)));
  view.OnReport("d1", Report({{32, 20, absl::ZeroDuration()}}));
  view.OnReport("d2", Report({{32, 20, absl::ZeroDuration()}}));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Choose(view), "d0");
  }
  EXPECT_NE(Choose(view), "d0");
}

// Guards against a burst that all entry daemons send to the pool with the most
// room, as all have the same reports.
TEST_F(PoolViewTest, Choose_BurstWithinReportAge_IsSpreadInProportionToRoom) {
  constexpr int kEntries = 30;
  std::map<std::string, int> chosen;
  for (int i = 0; i < kEntries; ++i) {
    SeededRandom random(i);
    PoolView view("d0", random);
    view.OnReport("d0", Report({{32, 0, absl::Milliseconds(200)}}));
    view.OnReport("d1", Report({{32, 40, absl::ZeroDuration()}}));
    view.OnReport("d2", Report({{32, 20, absl::ZeroDuration()}}));
    ++chosen[*Choose(view)];
    ++chosen[*Choose(view)];
  }
  EXPECT_LE(chosen["d1"], 48);
  EXPECT_LE(chosen["d2"], 28);
}

// Guards against a daemon that takes silence about room for a lack of it, while
// owners of an older release are about.
TEST_F(PoolViewTest, MayFit_RoomIsUnknown_IsTrue) {
  PoolView view("d0", random_);
  view.OnReport("d0", Report({}, absl::Seconds(10)));
  EXPECT_TRUE(view.MayFit("d0", {32, 32, absl::Seconds(5), now_}, now_));
}

// Guards against a report that is late and hides what a reply has told since.
TEST_F(PoolViewTest, OnReport_OlderThanReply_KeepsTheRoomOfTheReply) {
  PoolView view("d0", random_);
  PoolJobReply reply;
  reply.room = {{32, 0, 700}};
  view.OnReport("d0", Report({{32, 5, absl::ZeroDuration()}}));
  view.OnReply("d0", reply, now_ + absl::Milliseconds(50));
  PoolLoad late = Report({{32, 5, absl::ZeroDuration()}});
  late.measured += absl::Milliseconds(10);
  view.OnReport("d0", late);
  EXPECT_EQ(view.Find("d0")->room.front().fitting, 0);
}

// Guards against room that is computed from the sum of free slots, and against
// reports that grow with the number of sizes.
TEST(FreeRoomTest, Compute_TaskNeedsMoreThanAnUpstreamHasFree_DoesNotFit) {
  internal::FreeRoom room;
  room.OnTask(24);
  room.OnTask(32);
  const auto sizes = room.Compute({{64, 24}, {64, 30}, {64, -8}}, 0);
  ASSERT_EQ(sizes.size(), 2u);
  EXPECT_EQ(sizes[0].fitting, 2);
  EXPECT_EQ(sizes[0].next, absl::ZeroDuration());
  EXPECT_EQ(sizes[1].fitting, 0);
  EXPECT_GT(sizes[1].next, absl::ZeroDuration());
  for (int i = 1; i <= 100; ++i) {
    room.OnTask(i);
  }
  const auto many = room.Compute({{128, 128}}, 1);
  EXPECT_LE(many.size(), internal::RecentSizes::kMaxSizes);
  EXPECT_EQ(many.back().slots, 100);
}

// Guards against a time to the next room that is off by more than a small
// factor: upstreams are full of tasks that take a second each.
TEST(FreeRoomTest, Compute_AllIsBusy_NextFollowsTheTimeSlotsAreHeld) {
  internal::FreeRoom room;
  room.OnTask(32);
  const std::vector<internal::FreeRoom::Upstream> full(2, {64, 0});
  std::vector<RoomForSize> sizes;
  for (int i = 0; i < 40; ++i) {
    sizes = room.Compute(full, i * 0.25);
    room.OnReleased(32);  // one of the four tasks
  }
  EXPECT_GT(sizes.front().next, absl::Milliseconds(100));
  EXPECT_LT(sizes.front().next, absl::Milliseconds(500));
}

class PoolViewPeakTest : public testing::TestWithParam<absl::Duration> {
 protected:
  // Of all jobs. Refusals with servers free cost callers 0.03 to 0.05 of the
  // worth of a day; a tenth of that is accepted.
  static constexpr double kMaxRefusedWithRoom = 0.004;

  static void Print(const char* name, const Outcome& outcome) {
    std::cout << name << ": " << outcome.jobs << " jobs, " << outcome.in_time
              << " in time, " << outcome.late << " late, " << outcome.refused
              << " refused, " << outcome.refused_with_room
              << " of them with room, " << outcome.offers_of_refused
              << " offers of refused jobs\n";
  }
};

// Guards against jobs that all pools tried refuse while others have room, as
// the choice by reported slots and backlog causes at peaks.
TEST_P(PoolViewPeakTest, Refusal_PeakMovesBetweenDomains_HasNoRoomElsewhere) {
  const Outcome before = ShiftingPeak(GetParam(), false).Run();
  const Outcome after = ShiftingPeak(GetParam(), true).Run();
  Print("slots and backlog", before);
  Print("free room", after);
  ASSERT_GT(after.jobs, 1000);
  EXPECT_LE(after.refused_with_room, kMaxRefusedWithRoom * after.jobs);
  EXPECT_GT(after.in_time, before.in_time);
  EXPECT_LT(after.late, before.late);
  EXPECT_LT(after.offers_of_refused, before.offers_of_refused);
}

INSTANTIATE_TEST_SUITE_P(ReportAges,
                         PoolViewPeakTest,
                         testing::Values(absl::Milliseconds(100),
                                         absl::Milliseconds(500)));

}  // namespace
}  // namespace radishrail
