// Randomized model check of the rules of section 3.3 of docs/design.md. Each
// seed runs a small failure domain under random faults in simulated time.
// RADISHRAIL_MODEL_SEEDS=<n> runs n seeds instead of the default number, and
// RADISHRAIL_MODEL_FIRST_SEED=<s> sets the first one.

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include "absl/strings/str_cat.h"
#include "environment_number.h"
#include "gtest/gtest.h"
#include "radishrail/membership.h"
#include "radishrail/ownership.h"

namespace radishrail {
namespace {

constexpr char kFailureDomain[] = "yard-a";
constexpr absl::Duration kWindow = absl::Seconds(60);
// Wall clocks differ by up to 1 s and acceptance times are handed over as wall
// time. Clock rates differ by up to 0.2%.
constexpr absl::Duration kClockTolerance = absl::Seconds(2);
constexpr absl::Duration kTickInterval = absl::Milliseconds(250);
constexpr absl::Duration kRunLength = absl::Seconds(240);
constexpr int kVms = 3;
constexpr size_t kMaxTraceLines = 400;

// Disables one safety mechanism, to show that the model check detects its
// absence.
struct Mutation {
  absl::Duration takeover_margin = absl::Seconds(2);
  bool grant_all_promises = false;  // grants refused and missing promises
  bool forge_acknowledgements = false;
  bool ignore_checks = false;  // the table applies writes unconditionally
  bool lose_handover_keys = false;
  bool clock_stops_in_pause = false;
  bool no_quarantine = false;
  bool table_forgets_early = false;
};

class World;

class ModelClock : public Clock {
 public:
  ModelClock(const World& world, double rate, absl::Duration skew)
      : world_(world), rate_(rate), skew_(skew) {}
  absl::Time Monotonic() const override;
  absl::Time Wall() const override;
  // Used only with `clock_stops_in_pause`.
  absl::Duration stopped;
  absl::Time stopped_at = absl::InfiniteFuture();

 private:
  const World& world_;
  const double rate_;
  const absl::Duration skew_;
};

// One incarnation of one vm.
class Process : public Store,
                public PeerTransport,
                public std::enable_shared_from_this<Process> {
 public:
  Process(World& world, int vm, uint64_t incarnation);

  void Read(const std::string& key, ReadCallback callback) override;
  void List(const std::string& prefix, ListCallback callback) override;
  void Transact(Transaction transaction, TransactCallback callback) override;
  void GetObject(const std::string&, ObjectCallback) override {}
  void PutObject(const std::string&, std::string, ObjectCallback) override {}
  void ListVms(VmCallback) override {}
  bool Send(const std::string& address, const PeerMessage& message) override;

  void Tick();
  void Submit(const std::string& key, int hops);
  bool HasKey(const std::string& key) const;
  std::vector<RememberedKey> RememberedKeys(
      const std::vector<uint32_t>* ranges);
  // Runs `event` now, or after the current pause, or never if the process stops
  // before.
  void Deliver(std::function<void()> event);
  void Receive(const MemberRecord& sender, const PeerMessage& message);
  std::string name() const { return absl::StrCat("vm-", vm, "/", incarnation); }

  World& world;
  const int vm;
  const uint64_t incarnation;
  bool alive = true;
  bool paused = false;
  bool draining = false;
  ModelClock clock;
  SeededRandom random;
  Membership membership;
  OwnershipController ownership;
  std::map<std::string, absl::Time> job_table;  // monotonic acceptance times
  std::deque<std::function<void()>> inbox;
};

class World {
 public:
  World(uint64_t seed, const Mutation& mutation)
      : random(seed), mutation(mutation) {}

  // Runs the simulation; returns the violation, or an empty string.
  std::string Run();

  void Schedule(absl::Duration delay, std::function<void()> event) {
    events_.emplace(now + delay, std::move(event));
  }
  void Log(const std::string& text) {
    trace.push_back(absl::StrCat(absl::ToUnixMillis(now), " ", text));
    if (trace.size() > kMaxTraceLines) {
      trace.pop_front();
    }
  }
  void RecordViolation(const std::string& text) {
    if (violation.empty()) {
      violation = text;
      Log("VIOLATION " + text);
    }
  }
  bool Chance(double probability) { return random.Unit() < probability; }
  absl::Duration RandomDuration(double from_s, double to_s) {
    return absl::Seconds(from_s + (to_s - from_s) * random.Unit());
  }
  Process* FindRunning(int vm) {
    const auto it = running.find(vm);
    return it == running.end() ? nullptr : it->second.get();
  }
  bool IsPartitioned(int a, int b) const {
    return partitions.contains({std::min(a, b), std::max(a, b)});
  }
  bool PlatformReachable(int vm) const {
    return !platform_down && !platform_partitions.contains(vm);
  }
  void OnAccepted(Process& process, const std::string& key);
  void OnNotRun(Process& process, const std::string& key);
  std::vector<VmInfo> VmList();

  absl::Time now = absl::FromUnixSeconds(1000);
  SeededRandom random;
  const Mutation mutation;
  std::map<std::string, Row> table;
  std::map<int, std::shared_ptr<Process>> running;
  std::set<std::pair<int, int>> partitions;
  std::set<int> platform_partitions;
  bool platform_down = false;
  bool platform_slow = false;
  bool platform_loses_responses = false;
  std::map<std::pair<int, int>, absl::Time> last_delivery;
  std::deque<std::string> trace;
  std::string violation;
  int accepted = 0;
  int joined = 0;
  int takeovers = 0;

 private:
  struct Acceptance {
    std::shared_ptr<Process> process;
    absl::Time at;
  };

  void Start(int vm);
  void Stop(int vm);
  void TickProcess(const std::shared_ptr<Process>& process);
  void InjectFault();
  void Crash(int vm);
  void Pause(int vm);
  void SubmitKey();
  void CheckLeases();
  int RandomVm() {
    auto it = vms_.begin();
    std::advance(it, static_cast<ptrdiff_t>(random.Below(vms_.size())));
    return *it;
  }

  std::multimap<absl::Time, std::function<void()>> events_;
  std::map<std::string, std::vector<Acceptance>> acceptances_;
  std::vector<std::string> keys_;
  std::set<int> vms_;
  std::map<int, absl::Time> unlisted_at_;
  int next_vm_ = 0;
  uint64_t next_incarnation_ = 1;
  int next_key_ = 0;
  double fault_interval_ = 5;
};

absl::Time ModelClock::Monotonic() const {
  const absl::Time at = std::min(world_.now, stopped_at) - stopped;
  return absl::FromUnixSeconds(5000) + (at - absl::FromUnixSeconds(0)) * rate_;
}

absl::Time ModelClock::Wall() const {
  return absl::FromUnixSeconds(1'800'000'000) +
         (world_.now - absl::FromUnixSeconds(1000)) + skew_;
}

OwnershipSettings ModelSettings(const World& world,
                                int vm,
                                uint64_t incarnation) {
  OwnershipSettings settings;
  settings.failure_domain = kFailureDomain;
  settings.vm = absl::StrCat("vm-", vm);
  settings.incarnation = incarnation;
  settings.takeover_margin = world.mutation.takeover_margin;
  settings.resubmission_window = kWindow;
  if (world.mutation.no_quarantine) {
    settings.max_clock_skew = -kWindow;
  }
  return settings;
}

Process::Process(World& world, int vm, uint64_t incarnation)
    : world(world),
      vm(vm),
      incarnation(incarnation),
      clock(world,
            1 + 0.002 * (world.random.Unit() - 0.5),
            world.RandomDuration(-0.5, 0.5)),
      random(world.random.Next()),
      membership(clock,
                 random,
                 *this,
                 {absl::StrCat("vm-", vm), incarnation, 1, kFailureDomain,
                  absl::StrCat(vm), MemberState::kReady,
                  1 + static_cast<uint32_t>(vm % 2)},
                 {"0", "1"}),
      ownership(ModelSettings(world, vm, incarnation),
                clock,
                *this,
                *this,
                membership) {
  ownership.SetKeySource([this](const std::vector<uint32_t>& ranges) {
    return RememberedKeys(&ranges);
  });
}

void Process::Deliver(std::function<void()> event) {
  if (!alive) {
    return;
  }
  if (paused) {
    inbox.push_back(std::move(event));
    return;
  }
  event();
}

void Process::Read(const std::string& key, ReadCallback callback) {
  List(key,
       [key, callback](std::optional<std::vector<Row>> rows, const Error& ec) {
         if (!rows.has_value()) {
           callback(std::nullopt, ec);
         } else {
           callback(rows->empty() ? Row{key, "", 0} : rows->front(), {});
         }
       });
}

void Process::List(const std::string& prefix, ListCallback callback) {
  const double slow = world.platform_slow ? 6.0 : 0.05;
  auto self = shared_from_this();
  world.Schedule(world.RandomDuration(0.001, slow), [=, this] {
    if (!world.PlatformReachable(vm) ||
        (world.platform_loses_responses && world.Chance(0.3))) {
      world.Schedule(world.RandomDuration(0.1, 2), [=] {
        self->Deliver([=] { callback(std::nullopt, {}); });
      });
      return;
    }
    std::vector<Row> rows;
    for (const auto& [key, row] : world.table) {
      if (key.starts_with(prefix)) {
        rows.push_back(row);
      }
    }
    world.Schedule(world.RandomDuration(0.001, slow),
                   [=] { self->Deliver([=] { callback(rows, {}); }); });
  });
}

void Process::Transact(Transaction transaction, TransactCallback callback) {
  auto self = shared_from_this();
  const double slow = world.platform_slow ? 6.0 : 0.05;
  const auto answer = [=, this](TransactionOutcome outcome) {
    world.Schedule(world.RandomDuration(0.001, slow),
                   [=] { self->Deliver([=] { callback(outcome, "", {}); }); });
  };
  const auto apply = [=, this] {
    if (!world.PlatformReachable(vm)) {
      return TransactionOutcome::kUnknown;
    }
    for (const auto& it : transaction.checks) {
      const auto row = world.table.find(it.key);
      const int64_t version =
          row == world.table.end() ? 0 : row->second.version;
      if (version != it.version && !world.mutation.ignore_checks) {
        return TransactionOutcome::kConflict;
      }
    }
    for (const auto& it : transaction.writes) {
      Row& row = world.table[it.key];
      row = {it.key, *it.value, row.version + 1};
      if (world.platform_loses_responses || it.key.starts_with("ranges") ||
          it.value->find("fenced") != std::string::npos) {
        world.Log(absl::StrCat(self->name(), " wrote ", it.key, " version ",
                               row.version, " ", it.value->substr(0, 90)));
      }
    }
    if (transaction.writes[0].value->find("fenced") != std::string::npos) {
      ++world.takeovers;
    }
    return TransactionOutcome::kCommitted;
  };
  if (world.platform_loses_responses && world.Chance(0.4)) {
    // No response; the write takes effect, possibly much later.
    world.Schedule(world.RandomDuration(0.001, world.Chance(0.3) ? 25 : 0.1),
                   [=] { apply(); });
    world.Schedule(absl::Seconds(2),
                   [=] { answer(TransactionOutcome::kUnknown); });
    return;
  }
  world.Schedule(world.RandomDuration(0.001, slow), [=] { answer(apply()); });
}

bool Process::Send(const std::string& address, const PeerMessage& message) {
  const int target = std::stoi(address);
  if (world.FindRunning(target) == nullptr ||
      (world.IsPartitioned(vm, target) && world.Chance(0.5))) {
    return false;
  }
  if (world.mutation.grant_all_promises) {
    if (const auto* request = std::get_if<PromiseRequest>(&message)) {
      Process* peer = world.FindRunning(target);
      const MemberRecord sender = peer->membership.self();
      const PromiseReply reply{incarnation, request->request, true};
      Deliver([=, this] { Receive(sender, reply); });
      return true;
    }
  }
  if (world.mutation.forge_acknowledgements) {
    if (std::holds_alternative<AcknowledgeRequest>(message)) {
      Process* peer = world.FindRunning(target);
      const MemberRecord sender = peer->membership.self();
      const AcknowledgeReply reply{incarnation, peer->incarnation};
      Deliver([=, this] { Receive(sender, reply); });
      return true;
    }
  }
  PeerMessage copy = message;
  if (auto* handover = std::get_if<RangeHandover>(&copy)) {
    if (world.mutation.lose_handover_keys) {
      handover->keys.clear();
    }
  }
  absl::Time& last = world.last_delivery[{vm, target}];
  last = std::max(last, world.now + (world.Chance(0.02)
                                         ? world.RandomDuration(0.1, 4)
                                         : world.RandomDuration(0.001, 0.05)));
  world.Schedule(last - world.now, [&world = world, from = vm, target, copy,
                                    sender = membership.self()] {
    Process* peer = world.FindRunning(target);
    if (peer == nullptr || world.IsPartitioned(from, target)) {
      return;
    }
    auto self = world.running[target];
    self->Deliver([=] { self->Receive(sender, copy); });
  });
  return true;
}

void Process::Receive(const MemberRecord& sender, const PeerMessage& message) {
  membership.OnContact(sender);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    membership.OnHeartbeat(*heartbeat);
  } else if (const auto* leave = std::get_if<Leave>(&message)) {
    membership.OnLeave(sender.vm, leave->incarnation);
  } else if (const auto* forward = std::get_if<ForwardRequest>(&message)) {
    Submit(forward->key, static_cast<int>(forward->hops));
  } else {
    ownership.OnPeerMessage(sender, message);
  }
}

void Process::Tick() {
  membership.Tick(0);
  if (world.PlatformReachable(vm) && world.Chance(0.05)) {
    membership.OnVmList(world.VmList());
  }
  ownership.Tick();
  for (const auto& it : ownership.TakeReceivedKeys()) {
    job_table.try_emplace(
        it.key, clock.Monotonic() -
                    (clock.Wall() - absl::FromUnixMillis(it.accepted_unix_ms)));
  }
  const absl::Duration retention =
      world.mutation.table_forgets_early ? kWindow / 2 : kWindow;
  std::erase_if(job_table, [&](const auto& it) {
    return clock.Monotonic() - it.second > retention;
  });
}

bool Process::HasKey(const std::string& key) const {
  return job_table.contains(key);
}

std::vector<RememberedKey> Process::RememberedKeys(
    const std::vector<uint32_t>* ranges) {
  std::vector<RememberedKey> keys;
  for (const auto& [key, at] : job_table) {
    if (ranges == nullptr || std::find(ranges->begin(), ranges->end(),
                                       KeyRange(key)) != ranges->end()) {
      keys.push_back(
          {key, "booking", 0, false,
           absl::ToUnixMillis(clock.Wall() - (clock.Monotonic() - at)), ""});
    }
  }
  return keys;
}

void Process::Submit(const std::string& key, int hops) {
  if (HasKey(key)) {
    ++world.joined;
    return;
  }
  const auto parsed = ParseJobKey(key, {kFailureDomain}, nullptr);
  const OwnershipDecision decision = ownership.Resolve(*parsed);
  switch (decision.verdict) {
    case OwnershipVerdict::kAccept:
      job_table[key] = decision.decided_at;
      world.OnAccepted(*this, key);
      break;
    case OwnershipVerdict::kForward:
      if (hops < 2) {
        ForwardRequest forward;
        forward.key = key;
        forward.hops = static_cast<uint32_t>(hops + 1);
        Send(decision.target.peer_address, forward);
      }
      break;
    case OwnershipVerdict::kNotRun:
      world.OnNotRun(*this, key);
      break;
    case OwnershipVerdict::kUnknown:
      break;
  }
}

void World::OnAccepted(Process& process, const std::string& key) {
  ++accepted;
  Log(absl::StrCat(process.name(), " accepted ", key, " range ",
                   KeyRange(key)));
  const bool window_only = key.starts_with("d1.");
  for (const auto& it : acceptances_[key]) {
    if (!window_only || now - it.at < kWindow - kClockTolerance) {
      RecordViolation(absl::StrCat(
          key, " accepted by ", process.name(), " and previously at ",
          absl::ToUnixMillis(it.at), " by ", it.process->name()));
    }
  }
  acceptances_[key].push_back({process.shared_from_this(), now});
}

void World::OnNotRun(Process& process, const std::string& key) {
  for (const auto& it : acceptances_[key]) {
    if (it.process->alive && now - it.at < kWindow - kClockTolerance) {
      RecordViolation(
          absl::StrCat(key, " range ", KeyRange(key), " answered not run by ",
                       process.name(), " but accepted at ",
                       absl::ToUnixMillis(it.at), " by ", it.process->name()));
    }
  }
}

std::vector<VmInfo> World::VmList() {
  std::vector<VmInfo> list;
  for (int vm = 0; vm < next_vm_; ++vm) {
    const auto unlisted = unlisted_at_.find(vm);
    // One read in ten is stale and lacks some VM.
    if ((unlisted == unlisted_at_.end() || now < unlisted->second) &&
        !Chance(0.1 / kVms)) {
      list.push_back({absl::StrCat("vm-", vm), VmRole::kEntry, absl::StrCat(vm),
                      kFailureDomain, VmState::kLive, "", 0});
    }
  }
  return list;
}

void World::Start(int vm) {
  if (FindRunning(vm) != nullptr) {
    return;
  }
  next_vm_ = std::max(next_vm_, vm + 1);
  vms_.insert(vm);
  auto process = std::make_shared<Process>(*this, vm, next_incarnation_++);
  running[vm] = process;
  Log(process->name() + " started");
  Schedule(RandomDuration(0, 0.25), [this, process] { TickProcess(process); });
}

void World::TickProcess(const std::shared_ptr<Process>& process) {
  if (!process->alive) {
    return;
  }
  if (!process->paused) {
    process->Tick();
    if (process->draining && process->ownership.handover_finished()) {
      Log(process->name() + " finished its handover");
      process->membership.SetState(MemberState::kGone);
      Crash(process->vm);
      return;
    }
  }
  Schedule(kTickInterval, [this, process] { TickProcess(process); });
}

void World::Stop(int vm) {
  const auto it = running.find(vm);
  if (it != running.end()) {
    Log(it->second->name() + " stopped");
    it->second->alive = false;
    running.erase(it);
  }
}

void World::Crash(int vm) {
  Stop(vm);
  if (Chance(0.2)) {
    // The VM does not restart; another one replaces it.
    vms_.erase(vm);
    unlisted_at_[vm] = now + RandomDuration(1, 20);
    const int replacement = next_vm_++;
    vms_.insert(replacement);
    Schedule(RandomDuration(1, 30),
             [this, replacement] { Start(replacement); });
  } else {
    Schedule(RandomDuration(0.1, 20), [this, vm] {
      if (FindRunning(vm) == nullptr) {
        Start(vm);
      }
    });
  }
}

void World::Pause(int vm) {
  const auto it = running.find(vm);
  if (it == running.end() || it->second->paused) {
    return;
  }
  auto process = it->second;
  const absl::Duration duration = RandomDuration(0.5, Chance(0.5) ? 5 : 40);
  Log(absl::StrCat(process->name(), " paused for ",
                   absl::FormatDuration(duration)));
  process->paused = true;
  if (mutation.clock_stops_in_pause) {
    process->clock.stopped_at = now;
  }
  Schedule(duration, [this, process, duration] {
    if (!process->alive) {
      return;
    }
    process->paused = false;
    if (mutation.clock_stops_in_pause) {
      process->clock.stopped_at = absl::InfiniteFuture();
      process->clock.stopped += duration;
    }
    Log(process->name() + " resumed");
    // Either the timer or a message runs first, as in a real event loop.
    if (Chance(0.5)) {
      process->Tick();
    }
    std::deque<std::function<void()>> inbox;
    inbox.swap(process->inbox);
    for (const auto& event : inbox) {
      process->Deliver(event);
    }
  });
}

void World::InjectFault() {
  const int vm = RandomVm();
  const int other = RandomVm();
  switch (random.Below(11)) {
    case 0:
    case 1:
      if (FindRunning(vm) != nullptr) {
        Crash(vm);
      }
      break;
    case 2:
    case 3:
      Pause(vm);
      break;
    case 4:
    case 5:
      if (vm != other) {
        const std::pair partition{std::min(vm, other), std::max(vm, other)};
        partitions.insert(partition);
        Log(absl::StrCat("partition vm-", vm, " vm-", other));
        Schedule(RandomDuration(2, 50), [this, partition] {
          partitions.erase(partition);
          Log(absl::StrCat("healed vm-", partition.first, " vm-",
                           partition.second));
        });
      }
      break;
    case 6:
    case 7:
      platform_partitions.insert(vm);
      Log(absl::StrCat("platform unreachable from vm-", vm));
      Schedule(RandomDuration(2, 60), [this, vm] {
        platform_partitions.erase(vm);
        Log(absl::StrCat("platform reachable from vm-", vm));
      });
      break;
    case 8:
      Log("platform down");
      platform_down = true;
      Schedule(RandomDuration(2, 40), [this] {
        platform_down = false;
        Log("platform up");
      });
      break;
    case 9: {
      bool& mode = Chance(0.3) ? platform_slow : platform_loses_responses;
      mode = true;
      Log("platform slow or losing responses");
      Schedule(RandomDuration(5, 40), [&mode] { mode = false; });
      break;
    }
    default:
      if (Process* process = FindRunning(vm); process != nullptr) {
        auto self = running[vm];
        process->Deliver([this, self] {
          if (!self->draining) {
            Log(self->name() + " starts draining");
            self->draining = true;
            self->membership.SetState(MemberState::kDraining);
            self->ownership.BeginHandover(self->RememberedKeys(nullptr));
          }
        });
      }
      break;
  }
  Schedule(RandomDuration(0.2, 2 * fault_interval_), [this] { InjectFault(); });
}

void World::SubmitKey() {
  const auto it = running.find(RandomVm());
  if (it != running.end()) {
    auto process = it->second;
    std::string key;
    if (!keys_.empty() && Chance(0.6)) {
      // Resubmits a key, usually a recent one.
      const size_t n = keys_.size();
      const size_t offset =
          random.Below(Chance(0.7) ? std::min<size_t>(n, 20) : n);
      key = keys_[n - 1 - offset];
    } else {
      const auto kind = random.Below(5);
      ++next_key_;
      if (kind == 0) {
        key = MintJobKey(kFailureDomain, absl::StrCat("vm-", process->vm),
                         process->incarnation, process->clock.Monotonic(),
                         absl::StrCat(next_key_));
      } else if (kind <= 2) {
        key = absl::StrCat("d1.", kFailureDomain, ".", next_key_);
      } else {
        const absl::Time stamp = process->clock.Wall() + RandomDuration(-2, 2);
        key = absl::StrCat("t1.", kFailureDomain, ".",
                           absl::ToUnixMillis(stamp), ".", next_key_);
      }
      keys_.push_back(key);
    }
    process->Deliver([process, key] { process->Submit(key, 0); });
  }
  Schedule(RandomDuration(0.01, 0.15), [this] { SubmitKey(); });
}

void World::CheckLeases() {
  std::map<uint32_t, std::string> owners;
  for (const auto& [vm, process] : running) {
    for (const uint32_t range : process->ownership.OwnedRanges()) {
      const auto [it, is_new] = owners.emplace(range, process->name());
      if (!is_new) {
        RecordViolation(absl::StrCat("range ", range, " owned by ", it->second,
                                     " and ", process->name()));
      }
    }
  }
  Schedule(absl::Milliseconds(100), [this] { CheckLeases(); });
}

std::string World::Run() {
  fault_interval_ = 1 + 7 * random.Unit();
  for (int vm = 0; vm < kVms; ++vm) {
    Schedule(RandomDuration(0, 3), [this, vm] { Start(vm); });
    vms_.insert(vm);
  }
  Schedule(RandomDuration(1, 15), [this] { InjectFault(); });
  Schedule(absl::Seconds(1), [this] { SubmitKey(); });
  Schedule(absl::Seconds(1), [this] { CheckLeases(); });
  const absl::Time end = now + kRunLength;
  while (violation.empty() && !events_.empty() &&
         events_.begin()->first <= end) {
    auto event = events_.extract(events_.begin());
    now = std::max(now, event.key());
    event.mapped()();
  }
  return violation;
}

void PrintTrace(uint64_t seed, const World& world) {
  std::cerr << "seed " << seed << ": " << world.violation << "\n";
  for (const auto& it : world.trace) {
    std::cerr << "  " << it << "\n";
  }
}

// Guards against interleavings of faults in which two incarnations accept the
// same key, or in which a key that may run is answered with "not run".
TEST(OwnershipModelTest, RandomFaults_FixedSeeds_HoldInvariants) {
  const uint64_t first = FromEnvironment("RADISHRAIL_MODEL_FIRST_SEED", 1);
  const uint64_t seeds = FromEnvironment("RADISHRAIL_MODEL_SEEDS", 40);
  int accepted = 0;
  int joined = 0;
  int takeovers = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    World world(seed, {});
    if (!world.Run().empty()) {
      PrintTrace(seed, world);
      FAIL() << "seed " << seed << ": " << world.violation;
    }
    accepted += world.accepted;
    joined += world.joined;
    takeovers += world.takeovers;
  }
  std::cerr << "accepted " << accepted << ", joined " << joined
            << ", takeovers " << takeovers << "\n";
  // Runs with too few acceptances or takeovers would prove nothing.
  EXPECT_GT(accepted, static_cast<int>(50 * seeds));
  EXPECT_GT(joined, static_cast<int>(20 * seeds));
  EXPECT_GT(takeovers, static_cast<int>(seeds / 2));
}

// Returns the first seed with a violation, or `limit` + 1 if there is none.
uint64_t FirstSeedWithViolation(const Mutation& mutation, uint64_t limit) {
  for (uint64_t seed = 1; seed <= limit; ++seed) {
    World world(seed, mutation);
    if (!world.Run().empty()) {
      std::cerr << "seed " << seed << ": " << world.violation << "\n";
      return seed;
    }
  }
  return limit + 1;
}

// The tests below guard against a model check that cannot detect the failure of
// a mechanism: with the mechanism disabled, it must find a violation.
constexpr uint64_t kMutationSeeds = 300;

TEST(OwnershipModelTest, TakeoverWithoutMargin_FindsViolation) {
  Mutation mutation;
  mutation.takeover_margin = absl::Seconds(-6);
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, PromisesAlwaysGranted_FindsViolation) {
  Mutation mutation;
  mutation.grant_all_promises = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, AcknowledgementsForged_FindsViolation) {
  Mutation mutation;
  mutation.forge_acknowledgements = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, TableIgnoresConditions_FindsViolation) {
  Mutation mutation;
  mutation.ignore_checks = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, HandoverWithoutKeys_FindsViolation) {
  Mutation mutation;
  mutation.lose_handover_keys = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, ClockStopsInPause_FindsViolation) {
  Mutation mutation;
  mutation.clock_stops_in_pause = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, NoQuarantine_FindsViolation) {
  Mutation mutation;
  mutation.no_quarantine = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

TEST(OwnershipModelTest, TableForgetsEarly_FindsViolation) {
  Mutation mutation;
  mutation.table_forgets_early = true;
  EXPECT_LE(FirstSeedWithViolation(mutation, kMutationSeeds), kMutationSeeds);
}

}  // namespace
}  // namespace radishrail
