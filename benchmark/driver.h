#ifndef RADISHRAIL_BENCHMARK_DRIVER_H_
#define RADISHRAIL_BENCHMARK_DRIVER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "radishrail/clock.h"
#include "radishrail/scheduler.h"
#include "workload.h"

namespace radishrail::benchmark {

// Discrete-event loop in virtual time. Events of the same time run in the order
// in which they were posted.
class EventLoop : public Clock {
 public:
  absl::Time Monotonic() const override {
    return absl::FromUnixNanos(now_ + kSecond);
  }
  absl::Time Wall() const override { return Monotonic(); }
  Nanos now() const { return now_; }

  void At(Nanos time, std::function<void()> action) {
    events_.push({std::max(time, now_), next_++, std::move(action)});
  }
  void After(Nanos delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }
  // Runs until no event is left or `until` is reached.
  void Run(Nanos until) {
    while (!events_.empty() && events_.top().time <= until) {
      now_ = events_.top().time;
      // The action is moved out before the event is removed.
      auto action = std::move(const_cast<Event&>(events_.top()).action);
      events_.pop();
      action();
    }
  }

 private:
  struct Event {
    Nanos time = 0;
    uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };
  std::priority_queue<Event> events_;
  Nanos now_ = 0;
  uint64_t next_ = 0;
};

struct DriverResult {
  // Response times at the client in seconds, in the order of the workload's
  // jobs; negative if the job was not run.
  std::vector<double> responses;
  uint64_t task_messages = 0;     // task requests and responses
  uint64_t control_messages = 0;  // slot lending messages
  // Refused requests with their responses, control messages without effect.
  uint64_t wasted_messages = 0;
  uint64_t started_tasks = 0;
  uint64_t cross_domain_tasks = 0;
  uint64_t domains_used = 0;  // sum over jobs that completed
  uint64_t completed = 0;
};

// Interface of the simulated daemons for an `Allowance`.
class Fleet {
 public:
  virtual ~Fleet() = default;
  virtual EventLoop& loop() = 0;
  // True once all jobs have ended; periodic work stops then.
  virtual bool done() const = 0;
  virtual int daemons() const = 0;
  virtual int weight(int daemon) const = 0;
  virtual int daemon_domain(int daemon) const = 0;
  virtual int runner_domain(int runner) const = 0;
  virtual int queued(int daemon) const = 0;
  virtual int running(int daemon, int runner) const = 0;
  virtual Nanos DaemonLatency(int a, int b) const = 0;
  virtual void CountControl(uint64_t messages, uint64_t wasted) = 0;
  // Sets the slots of a runner that a daemon may use from now on.
  virtual void SetSlots(int daemon, int runner, int slots) = 0;
};

// How the daemons share the slots of the runners.
class Allowance {
 public:
  virtual ~Allowance() = default;
  virtual void Start(Fleet& fleet) = 0;
  // The demand or the use of a daemon changed.
  virtual void OnChange(Fleet& /*fleet*/, int /*daemon*/) {}
};

// Each daemon owns a fixed part of each runner in proportion to its weight.
// Rounding remainders carry over to the next runner, so that each daemon gets
// its part of the fast runners.
class StaticAllowance : public Allowance {
 public:
  void Start(Fleet& fleet) override {
    int sum = 0;
    for (int d = 0; d < fleet.daemons(); ++d) {
      sum += fleet.weight(d);
    }
    std::vector<double> credit(fleet.daemons(), 0);
    for (int r = 0; r < kRunners; ++r) {
      std::vector<int> slots(fleet.daemons(), 0);
      for (int d = 0; d < fleet.daemons(); ++d) {
        credit[d] +=
            static_cast<double>(kSlotsPerRunner) * fleet.weight(d) / sum;
      }
      for (int i = 0; i < kSlotsPerRunner; ++i) {
        const auto it = std::max_element(credit.begin(), credit.end());
        *it -= 1;
        ++slots[it - credit.begin()];
      }
      for (int d = 0; d < fleet.daemons(); ++d) {
        fleet.SetSlots(d, r, slots[d]);
      }
    }
  }
};

// Every daemon may use every slot; a full runner refuses.
class UnlimitedAllowance : public Allowance {
 public:
  void Start(Fleet& fleet) override {
    for (int d = 0; d < fleet.daemons(); ++d) {
      for (int r = 0; r < kRunners; ++r) {
        fleet.SetSlots(d, r, kSlotsPerRunner);
      }
    }
  }
};

// Model of the slot broker. One daemon per failure domain is the home of the
// domain's runners. The home lends a slot to one daemon at a time and lends it
// again only after it was returned, so no runner refuses a task. Every
// `interval` a daemon reports its queue length and returns idle slots; the home
// lends free slots immediately and recalls slots from daemons that hold more
// than their part of the demand.
class LendingAllowance : public Allowance {
 public:
  explicit LendingAllowance(Nanos interval) : interval_(interval) {}

  void Start(Fleet& fleet) override {
    const int n = fleet.daemons();
    lent_.assign(n, std::vector<int>(kRunners, 0));
    held_ = lent_;
    recalled_ = lent_;
    need_.assign(n, std::vector<double>(n, 0));
    reported_ = need_;
    homes_.assign(kRunners, 0);
    for (int r = 0; r < kRunners; ++r) {
      for (int d = n - 1; d >= 0; --d) {
        if (fleet.daemon_domain(d) == fleet.runner_domain(r)) {
          homes_[r] = d;
        }
      }
    }
    for (int d = 0; d < n; ++d) {
      for (int home = 0; home < n; ++home) {
        need_[home][d] = fleet.weight(d);
      }
    }
    for (int d = 0; d < n; ++d) {
      Lend(fleet, d);
      fleet.loop().After(interval_ * (d + 1) / n,
                         [this, &fleet, d] { Tick(fleet, d); });
    }
  }

 private:
  using Slots = std::vector<std::pair<int, int>>;  // runner, slots

  double HomeShare(int home) const {
    return static_cast<double>(std::count(homes_.begin(), homes_.end(), home)) /
           kRunners;
  }

  void Tick(Fleet& fleet, int d) {
    if (fleet.done()) {
      return;
    }
    for (int home = 0; home < fleet.daemons(); ++home) {
      const double share = HomeShare(home);
      if (share == 0) {
        continue;
      }
      const double need = fleet.queued(d) * share;
      const Slots returned = TakeReturnableSlots(fleet, d, home, need > 0);
      const double before = reported_[home][d];
      // Skips reports that would not change how the home lends slots.
      if (returned.empty() && need <= 1.5 * before && need >= before / 2 &&
          (need == 0 || before > 0)) {
        continue;
      }
      reported_[home][d] = need;
      if (home != d) {
        fleet.CountControl(1, 0);
      }
      fleet.loop().After(fleet.DaemonLatency(d, home),
                         [this, &fleet, d, home, need, returned] {
                           for (const auto& [r, slots] : returned) {
                             lent_[d][r] -= slots;
                           }
                           need_[home][d] = need;
                           Lend(fleet, home);
                         });
    }
    RecallSlots(fleet, d);
    fleet.loop().After(interval_, [this, &fleet, d] { Tick(fleet, d); });
  }

  // Removes the slots of `home` that the daemon returns: recalled slots that
  // have become idle and, if it has no queue, all idle slots beyond a small
  // reserve.
  Slots TakeReturnableSlots(Fleet& fleet, int d, int home, bool has_queue) {
    Slots list;
    double reserve = kReservePerWeight * fleet.weight(d) * HomeShare(home);
    for (int r = 0; r < kRunners; ++r) {
      if (homes_[r] != home) {
        continue;
      }
      const int running = fleet.running(d, r);
      int slots =
          std::min(recalled_[d][r], held_[d][r] + recalled_[d][r] - running);
      slots = std::max(slots, 0);
      recalled_[d][r] -= slots;
      int idle = std::max(held_[d][r] - running, 0);
      if (!has_queue && idle > 0) {
        const int kept = std::min(idle, static_cast<int>(reserve));
        reserve -= kept;
        idle -= kept;
        held_[d][r] -= idle;
        slots += idle;
        fleet.SetSlots(d, r, held_[d][r]);
      }
      if (slots > 0) {
        list.emplace_back(r, slots);
      }
    }
    return list;
  }

  // Lends each free slot to the daemon with the highest need per borrowed slot.
  void Lend(Fleet& fleet, int home) {
    const int n = fleet.daemons();
    std::vector<int> lent_slots(n, 0);
    for (int d = 0; d < n; ++d) {
      for (int r = 0; r < kRunners; ++r) {
        lent_slots[d] += homes_[r] == home ? lent_[d][r] : 0;
      }
    }
    std::vector<Slots> granted(n);
    for (int r = 0; r < kRunners; ++r) {
      if (homes_[r] != home) {
        continue;
      }
      int free = kSlotsPerRunner;
      for (int d = 0; d < n; ++d) {
        free -= lent_[d][r];
      }
      for (; free > 0; --free) {
        int best = -1;
        for (int d = 0; d < n; ++d) {
          if (need_[home][d] > 0 &&
              (best < 0 || need_[home][d] * (lent_slots[best] + 1) >
                               need_[home][best] * (lent_slots[d] + 1))) {
            best = d;
          }
        }
        if (best < 0) {
          break;
        }
        --need_[home][best];
        ++lent_slots[best];
        ++lent_[best][r];
        granted[best].emplace_back(r, 1);
      }
    }
    for (int d = 0; d < n; ++d) {
      if (granted[d].empty()) {
        continue;
      }
      if (d != home) {
        fleet.CountControl(1, 0);
      }
      reported_[home][d] = need_[home][d];
      fleet.loop().After(fleet.DaemonLatency(home, d),
                         [this, &fleet, d, list = std::move(granted[d])] {
                           for (const auto& [r, slots] : list) {
                             held_[d][r] += slots;
                             fleet.SetSlots(d, r, held_[d][r]);
                           }
                         });
    }
  }

  // Recalls slots from daemons that hold more than their part of the demand,
  // if the demand exceeds `kRecallDemand` per slot of the home. Another daemon
  // then has less than its part and a queue.
  void RecallSlots(Fleet& fleet, int home) {
    const int n = fleet.daemons();
    const double total_slots = kRunners * kSlotsPerRunner * HomeShare(home);
    std::vector<double> lent_slots(n, 0);
    double demand = 0;
    for (int d = 0; d < n; ++d) {
      for (int r = 0; r < kRunners; ++r) {
        lent_slots[d] += homes_[r] == home ? lent_[d][r] : 0;
      }
      demand += lent_slots[d] + std::max(need_[home][d], 0.0);
    }
    if (total_slots == 0 || demand <= total_slots * kRecallDemand) {
      return;
    }
    for (int d = 0; d < n; ++d) {
      const double fair_part = total_slots *
                               (lent_slots[d] + std::max(need_[home][d], 0.0)) /
                               demand;
      int excess =
          static_cast<int>((lent_slots[d] - fair_part) * kRecallFraction);
      Slots list;
      for (int r = 0; r < kRunners && excess > 0; ++r) {
        if (homes_[r] == home && held_[d][r] > 0) {
          list.emplace_back(r, 1);
          --excess;
        }
      }
      if (list.size() < 2) {
        continue;
      }
      if (d != home) {
        fleet.CountControl(1, 0);
      }
      fleet.loop().After(fleet.DaemonLatency(home, d), [this, &fleet, d, list] {
        for (const auto& [r, slots] : list) {
          const int recalled = std::min(slots, held_[d][r]);
          held_[d][r] -= recalled;
          recalled_[d][r] += recalled;
          fleet.SetSlots(d, r, held_[d][r]);
        }
      });
    }
  }

  // Idle slots that a daemon keeps, so that new jobs start without waiting for
  // the home to lend slots.
  static constexpr double kReservePerWeight = 10;
  // Slots are recalled above this demand per slot.
  static constexpr double kRecallDemand = 1.1;
  // Part of the excess that is recalled at a time.
  static constexpr double kRecallFraction = 0.3;

  const Nanos interval_;
  std::vector<int> homes_;              // by runner
  std::vector<std::vector<int>> lent_;  // home's view [daemon][runner]
  std::vector<std::vector<int>> held_, recalled_;  // daemon's view
  std::vector<std::vector<double>> need_;          // home's view [home][daemon]
  std::vector<std::vector<double>> reported_;      // daemon's view
};

// Simulates a workload on daemons that have one scheduler each.
class Driver : public Fleet {
 public:
  using SchedulerFactory =
      std::function<std::unique_ptr<Scheduler>(const Clock&, int daemon)>;

  Driver(const Deployment& deployment,
         const Workload& workload,
         const SchedulerFactory& factory,
         Allowance& allowance)
      : deployment_(deployment), workload_(workload), allowance_(allowance) {
    for (size_t d = 0; d < deployment.daemon_weights.size(); ++d) {
      Daemon daemon;
      daemon.scheduler = factory(loop_, static_cast<int>(d));
      daemon.running.assign(kRunners, 0);
      daemons_.push_back(std::move(daemon));
    }
    busy_slots_.assign(kRunners, 0);
    jobs_.resize(workload.jobs.size());
    result_.responses.assign(workload.jobs.size(), -1);
  }

  DriverResult Run() {
    allowance_.Start(*this);
    Nanos last = 0;
    for (size_t i = 0; i < workload_.jobs.size(); ++i) {
      const SimJob& job = workload_.jobs[i];
      last = job.arrival;
      loop_.At(job.arrival + kClientLatency, [this, i] { Submit(i); });
    }
    Tick();
    // Every job ends or is past its start-by time by then.
    loop_.Run(last + 700 * kSecond);
    return std::move(result_);
  }

  EventLoop& loop() override { return loop_; }
  bool done() const override { return done_; }
  int daemons() const override { return static_cast<int>(daemons_.size()); }
  int weight(int d) const override { return deployment_.daemon_weights[d]; }
  int daemon_domain(int d) const override {
    return d % deployment_.failure_domains;
  }
  int runner_domain(int r) const override {
    return workload_.runners[r].failure_domain;
  }
  int queued(int d) const override {
    return static_cast<int>(daemons_[d].scheduler->queued_tasks());
  }
  int running(int d, int r) const override { return daemons_[d].running[r]; }
  Nanos DaemonLatency(int a, int b) const override {
    return a == b ? 0 : Latency(daemon_domain(a), daemon_domain(b));
  }
  void CountControl(uint64_t messages, uint64_t wasted) override {
    result_.control_messages += messages;
    result_.wasted_messages += wasted;
  }
  void SetSlots(int d, int r, int slots) override {
    UpstreamCapacity capacity;
    capacity.upstream = r;
    capacity.upstream_class = "runner";
    capacity.failure_domain = absl::StrCat("fd-", runner_domain(r));
    capacity.same_failure_domain = runner_domain(r) == daemon_domain(d);
    capacity.slots = slots;
    capacity.speed = workload_.runners[r].speed;
    daemons_[d].scheduler->SetUpstream(capacity);
    SchedulePlacement(d);
  }

 private:
  struct Daemon {
    std::unique_ptr<Scheduler> scheduler;
    std::vector<int> running;  // per runner
    bool placement_posted = false;
  };
  struct JobState {
    int unfinished = 0;
    uint64_t domains = 0;  // bit set of failure domains
  };

  Nanos Latency(int a, int b) const {
    return a == b ? kLocalLatency : deployment_.cross_domain_latency;
  }

  void Submit(size_t i) {
    const SimJob& job = workload_.jobs[i];
    JobDemand demand;
    demand.job = i;
    demand.environment = job.environment;
    demand.team = job.team;
    demand.team_share = job.share;
    demand.upstream_classes = {"runner"};
    const absl::Time arrival = loop_.Monotonic();
    demand.promise_by = arrival + absl::Nanoseconds(job.promised);
    demand.start_by = arrival + absl::Seconds(570);
    for (const auto& it : job.tasks) {
      demand.tasks.push_back(
          {absl::StrCat("kind-", it.kind), absl::Seconds(it.declared_s), 1});
    }
    jobs_[i].unfinished = static_cast<int>(job.tasks.size());
    if (!daemons_[job.daemon].scheduler->Admit(demand)) {
      ++unfinished_jobs_;
    }
    SchedulePlacement(job.daemon);
  }

  // Posted as an event, so that events already queued for the same time run
  // before tasks are placed.
  void SchedulePlacement(int d) {
    if (!daemons_[d].placement_posted) {
      daemons_[d].placement_posted = true;
      loop_.After(0, [this, d] { PlaceTasks(d); });
    }
  }

  void PlaceTasks(int d) {
    Daemon& daemon = daemons_[d];
    daemon.placement_posted = false;
    for (const uint64_t job : daemon.scheduler->TakeHopeless()) {
      daemon.scheduler->Remove(job);
      --unfinished_jobs_;
    }
    while (const auto placement = daemon.scheduler->Next()) {
      Send(d, *placement);
    }
    allowance_.OnChange(*this, d);
  }

  void Tick() {
    for (int d = 0; d < daemons(); ++d) {
      SchedulePlacement(d);
    }
    done_ = loop_.now() > workload_.jobs.back().arrival + 2 * kClientLatency &&
            unfinished_jobs_ == 0;
    if (!done_) {
      loop_.After(10 * kMillisecond, [this] { Tick(); });
    }
  }

  void Send(int d, const Placement& placement) {
    const int r = static_cast<int>(placement.upstream);
    ++daemons_[d].running[r];
    ++result_.task_messages;
    const Nanos latency = Latency(daemon_domain(d), runner_domain(r));
    loop_.After(latency, [this, d, placement, latency] {
      Receive(d, placement, latency);
    });
  }

  void Receive(int d, const Placement& placement, Nanos latency) {
    const int r = static_cast<int>(placement.upstream);
    ++result_.task_messages;
    if (busy_slots_[r] >= kSlotsPerRunner) {
      result_.wasted_messages += 2;
      loop_.After(latency, [this, d, placement] { Refused(d, placement); });
      return;
    }
    ++busy_slots_[r];
    ++result_.started_tasks;
    if (runner_domain(r) != daemon_domain(d)) {
      ++result_.cross_domain_tasks;
    }
    jobs_[placement.task.job].domains |= uint64_t{1} << runner_domain(r);
    const SimTask& task =
        workload_.jobs[placement.task.job].tasks[placement.task.task];
    const auto run =
        static_cast<Nanos>(task.run_s / workload_.runners[r].speed * kSecond);
    loop_.After(run, [this, r] { --busy_slots_[r]; });
    loop_.After(run + latency,
                [this, d, placement, run] { Finished(d, placement, run); });
  }

  void Refused(int d, const Placement& placement) {
    --daemons_[d].running[placement.upstream];
    daemons_[d].scheduler->Requeue(placement.task,
                                   loop_.Monotonic() + absl::Milliseconds(10),
                                   placement.upstream);
    SchedulePlacement(d);
  }

  void Finished(int d, const Placement& placement, Nanos run) {
    --daemons_[d].running[placement.upstream];
    daemons_[d].scheduler->Finish(placement.task, absl::Nanoseconds(run));
    SchedulePlacement(d);
    const uint64_t job = placement.task.job;
    if (--jobs_[job].unfinished == 0) {
      --unfinished_jobs_;
      ++result_.completed;
      result_.domains_used += __builtin_popcountll(jobs_[job].domains);
      result_.responses[job] =
          static_cast<double>(loop_.now() + kClientLatency -
                              workload_.jobs[job].arrival) /
          kSecond;
    }
  }

  const Deployment& deployment_;
  const Workload& workload_;
  Allowance& allowance_;
  EventLoop loop_;
  std::vector<Daemon> daemons_;
  std::vector<int> busy_slots_;
  std::vector<JobState> jobs_;
  DriverResult result_;
  int64_t unfinished_jobs_ = 0;
  bool done_ = false;
};

}  // namespace radishrail::benchmark

#endif  // RADISHRAIL_BENCHMARK_DRIVER_H_
