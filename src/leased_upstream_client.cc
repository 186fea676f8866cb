#include "radishrail/leased_upstream_client.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "answer_timeout.h"
#include "radishrail/log.h"
#include "runner_contact.h"

namespace radishrail {

namespace {

// The lease in a start order is this many times the expected run time: long
// enough that most runs need no extension, short enough that a run on an
// unreachable runner ends early.
constexpr double kLeaseFactor = 3;
constexpr absl::Duration kMinLease = absl::Milliseconds(400);
// Share of the longest lease that is granted. A task starts only where the
// runner's lease ends before that of its job, whose age is thus limited to the
// difference.
constexpr double kGrantedLeaseShare = 0.85;
// A lease is extended after this share of its length.
constexpr double kLeaseExtensionShare = 0.5;
// The same while many orders are lost: a lost extension is noticed early enough
// to be repeated before the lease expires.
constexpr double kLossyLeaseExtensionShare = 0.2;
// Runners' clocks may be slower than this daemon's clock by this share.
constexpr double kMaxClockDrift = 0.02;
// Interval between holds after a failed one; doubles up to the maximum.
constexpr absl::Duration kHoldRetryInterval = absl::Milliseconds(300);
constexpr absl::Duration kMaxHoldRetryInterval = absl::Seconds(2);
// Ended runs of an idle runner are acknowledged this long after the last hold.
constexpr absl::Duration kIdleAcknowledgeDelay = absl::Milliseconds(1500);
// Interval of stop orders for one run.
constexpr absl::Duration kStopRetryInterval = absl::Milliseconds(100);

// Shortest time after which a start order without an answer is doubted. A look
// at the runner's list then decides, so a false doubt costs one look.
constexpr absl::Duration kMinDoubtTime = absl::Milliseconds(15);
// An unconfirmed run is stopped after this many looks without an answer: it may
// be executing, and a single look is often lost with its order.
constexpr int kMaxLostLooks = 3;
constexpr double kLookTimeoutFactor = 2;
// A hold that is answered this long after the expected end of a run usually
// lists it.
constexpr absl::Duration kEndSlack = absl::Milliseconds(10);
// After a longer time between two ticks, answers may wait to be processed.
constexpr absl::Duration kMaxTickGap = absl::Milliseconds(30);

enum class Phase {
  kStarting,     // the start order was sent and is not yet answered
  kRunning,      // the runner has accepted the start order
  kUnconfirmed,  // the start order got no answer, or not yet
};

struct RunKey {
  std::string job_key;
  std::string task_id;
  uint32_t run = 0;
  friend bool operator<(const RunKey& a, const RunKey& b) {
    return std::tie(a.job_key, a.task_id, a.run) <
           std::tie(b.job_key, b.task_id, b.run);
  }
};

struct Run {
  Phase phase = Phase::kStarting;
  int64_t incarnation = 0;  // of the runner, as known at the start
  UpstreamClient::Callback callback;
  absl::Time started;
  absl::Time expected_end;
  int lost_looks = 0;            // in phase `kUnconfirmed`
  absl::Time unconfirmed_since;  // in phase `kUnconfirmed`
  bool stop_requested = false;
  bool stop_pending = false;
  bool stop_acknowledged = false;
  std::shared_ptr<const JobLease> lease;
  // Limits `lease`, which the entry daemon may renew for other jobs after this
  // one is over.
  absl::Time lease_at_end = absl::InfiniteFuture();

  absl::Time LeaseExpiry() const {
    return lease == nullptr ? absl::InfiniteFuture()
                            : std::min(lease_at_end, lease->expiry());
  }
  // The runner has said that it executes the run.
  bool IsConfirmed() const { return phase == Phase::kRunning; }
  // No stop is sent before the start order is answered or has timed out.
  bool NeedsStop() const {
    return stop_requested && !stop_pending && !stop_acknowledged &&
           phase != Phase::kStarting;
  }
  absl::Time next_stop = absl::InfinitePast();
  // Only a list requested at or after this time shows whether the run exists.
  absl::Time listed_after = absl::InfiniteFuture();
  bool listed = false;  // such a list has shown that it exists
  RunStops stops;       // for the observer

  // The next list decides whether the run has to be stopped or has ended.
  bool AwaitsList(absl::Time now) const {
    return phase == Phase::kUnconfirmed
               ? !stop_requested || (listed_after <= now && !listed)
               : stop_acknowledged && listed_after <= now && !listed;
  }
};

// True if the runner answered, even if it rejected the order.
bool IsAnswer(OrderStatus status) {
  return status != OrderStatus::kNotSent && status != OrderStatus::kNoAnswer;
}

// True if the order timed out. A connection that is refused or broken is not a
// timeout.
bool IsTimeout(const OrderReply& reply) {
  return reply.status == OrderStatus::kNoAnswer ||
         (reply.status == OrderStatus::kNotSent &&
          reply.error.code == ErrorCode::kDeadlineExceeded);
}

// A run whose runner crashed, or did not answer until the lease had expired.
struct LostRun {
  RunKey key;
  int64_t incarnation = 0;
  bool confirmed = false;
};

struct Runner {
  VmInfo info;
  uint64_t fence = 0;
  int64_t incarnation = 0;    // as reported by the runner itself
  uint64_t last_seen = 0;     // highest number of an ended run received
  uint64_t acknowledged = 0;  // highest number sent in an answered hold
  bool usable = false;  // reachable, and all its active runs are tracked here
  internal::RunnerContact contact;
  bool replaced = false;  // another instance answers at the address
  // Leases of jobs with runs here end so soon that no task is started.
  bool ending_lease = false;
  // When the list of runners named another incarnation. Runs from before may
  // already execute in it.
  absl::Time incarnation_changed = absl::InfinitePast();
  // The runner's clock showed `clock_ms` at `clock_received` or a little
  // earlier.
  int64_t clock_ms = 0;
  absl::Time clock_received;
  // End of the longest lease that the runner may have, on its clock.
  int64_t lease_until_ms = 0;
  bool hold_pending = false;
  bool hold_is_long_poll = false;  // the pending hold has a `wait`
  uint64_t hold_number = 0;
  absl::Time hold_sent;
  // When the newest list that arrived was requested.
  absl::Time list_requested = absl::InfinitePast();
  // Since then an order may have been executed in a new incarnation.
  absl::Time maybe_restarted = absl::InfinitePast();
  absl::Time next_hold = absl::InfinitePast();
  absl::Duration hold_retry_interval = kHoldRetryInterval;
  std::map<RunKey, Run> runs;
  std::vector<LostRun> lost_runs;
  // Runs that the runner lists as active but this daemon does not track:
  // started by a former owner or already reported as ended. The value is the
  // time of the next stop order.
  std::map<RunKey, absl::Time> untracked_runs;
};

bool HasRunInPhase(const Runner& runner, Phase phase) {
  return std::any_of(
      runner.runs.begin(), runner.runs.end(),
      [phase](const auto& it) { return it.second.phase == phase; });
}

bool HasRunFromBeforeChange(const Runner& runner) {
  return std::any_of(runner.runs.begin(), runner.runs.end(),
                     [&runner](const auto& it) {
                       return it.second.started <= runner.incarnation_changed;
                     });
}

// Highest number of an ended run that a hold may acknowledge. The numbers begin
// anew with each incarnation, so in a new one the runner would forget ends that
// were never read.
uint64_t AcknowledgeableEnd(const Runner& runner) {
  return runner.maybe_restarted > runner.list_requested ? 0 : runner.last_seen;
}

// When the first lease of a job with a run on the runner expires.
absl::Time FirstLeaseExpiry(const Runner& runner) {
  absl::Time first = absl::InfiniteFuture();
  for (const auto& [key, run] : runner.runs) {
    first = std::min(first, run.LeaseExpiry());
  }
  return first;
}

absl::Time FirstExpectedEnd(const Runner& runner) {
  absl::Time first = absl::InfiniteFuture();
  for (const auto& [key, run] : runner.runs) {
    first = std::min(first, run.expected_end);
  }
  return first;
}

// True if a list of the runner would say something about one of its runs.
bool HasAnsweredRun(const Runner& runner) {
  return std::any_of(
      runner.runs.begin(), runner.runs.end(),
      [](const auto& it) { return it.second.phase != Phase::kStarting; });
}

RunInfo MakeRunInfo(const Runner& runner, const RunKey& key) {
  return {key.job_key, key.task_id, key.run, runner.info.vm, runner.fence};
}

// True if `later` is a later life of the process at the address of `former`.
// The last report of a former life may reach the store after the first one of
// its successor.
bool IsSuccessor(const VmInfo& later, const VmInfo& former) {
  return later.address == former.address &&
         (later.incarnation == 0 || former.incarnation == 0 ||
          later.incarnation > former.incarnation);
}

LostRun MakeLostRun(const RunKey& key, const Run& run) {
  return {key, run.incarnation, run.IsConfirmed()};
}

// A run without a confirmation may not have begun: the order may have been sent
// after the crash.
UpstreamFate FateOfCrash(const LostRun& run) {
  return run.confirmed ? UpstreamFate::kCrashed : UpstreamFate::kUncertain;
}

TaskResult MakeResult(TaskOutcome outcome, ErrorCode code, std::string detail) {
  TaskResult result;
  result.outcome = outcome;
  if (code != ErrorCode::kOk) {
    result.error = {code, Step::kExecution, "", std::move(detail)};
  }
  return result;
}

}  // namespace

class LeasedUpstreamClient::Impl {
 public:
  Impl(const Clock& clock,
       RunnerTransport& transport,
       const LeaseSettings& settings,
       Metrics& metrics,
       std::function<void(const std::string& pool)> on_fenced,
       std::function<void()> on_usable_changed,
       std::function<void(const RunFate& fate)> on_fate,
       RunObserver& observer)
      : clock_(clock),
        transport_(transport),
        settings_(settings),
        on_fenced_(std::move(on_fenced)),
        on_usable_changed_(std::move(on_usable_changed)),
        on_fate_(std::move(on_fate)),
        observer_(observer),
        starts_(metrics.counter("radishrail_runner_starts_total",
                                "Orders to start a task")),
        rejected_(metrics.counter("radishrail_runner_starts_rejected_total",
                                  "Orders to start that runners refused")),
        lost_(metrics.counter("radishrail_runner_orders_lost_total",
                              "Orders without an answer")),
        holds_(metrics.counter("radishrail_runner_holds_total",
                               "Looks at the lists of runners")),
        stops_(metrics.counter("radishrail_runner_stops_total",
                               "Orders to stop a run")),
        doubted_(metrics.counter(
            "radishrail_runner_starts_doubted_total",
            "Start orders whose run was looked up before their answer")),
        response_times_(kMinDoubtTime, settings.order_timeout) {}

  void SetRunners(const std::vector<OwnedRunner>& runners);
  bool Usable(const std::string& vm) const {
    const RunnerPointer runner = Find(vm);
    return runner != nullptr && runner->usable && !runner->ending_lease &&
           !HasRunFromBeforeChange(*runner);
  }
  bool HasAnswered(const std::string& vm) const {
    const RunnerPointer runner = Find(vm);
    return runner != nullptr && runner->list_requested != absl::InfinitePast();
  }
  bool CanStart(const std::string& vm, const JobLease& lease) const;
  void Start(TaskStart start, Callback callback);
  void StopRun(const std::string& job_key, const std::string& task_id, int run);
  absl::Time Tick();
  size_t runs() const {
    size_t n = 0;
    for (const auto& [vm, runner] : runners_) {
      n += runner->runs.size();
    }
    return n;
  }
  size_t RunsIn(const std::string& failure_domain) const {
    size_t n = 0;
    for (const auto& [vm, runner] : runners_) {
      n += runner->info.failure_domain == failure_domain ? runner->runs.size()
                                                         : 0;
    }
    return n;
  }

 private:
  using RunnerPointer = std::shared_ptr<Runner>;

  struct SentHold {
    uint64_t number = 0;
    uint64_t acknowledged = 0;  // ended runs up to this number
    absl::Time sent;
    absl::Duration wait;
  };

  RunnerPointer Find(const std::string& vm) const {
    const auto it = runners_.find(vm);
    return it == runners_.end() ? nullptr : it->second;
  }
  // False if a late callback refers to a runner that was removed or replaced.
  bool IsCurrent(const RunnerPointer& runner) const {
    return Find(runner->info.vm) == runner;
  }

  absl::Time Now() const { return clock_.Monotonic(); }
  void UpdateClock(Runner& runner, int64_t clock_ms);
  // Lower bound of the runner's clock now.
  int64_t MinClockMs(const Runner& runner) const;
  // Time for which the runner may get a lease so that none of its runs outlasts
  // the lease of its job; not positive: it may get none.
  absl::Duration LongestLease(const Runner& runner) const;
  // Records a lease of up to `lease` from now and returns its end on the
  // runner's clock; zero: no lease is allowed.
  int64_t GrantLease(Runner& runner, absl::Duration lease);
  // Time by which all leases that the runner may have are certainly over and
  // its runs have ended.
  absl::Time LeaseExpiry(const Runner& runner) const;
  // Notes whether leases of jobs keep the runner's lease from being extended.
  void UpdateEndingLease(Runner& runner, absl::Time now);

  void OnStartReply(const RunnerPointer& runner,
                    const RunKey& key,
                    absl::Time sent,
                    const OrderReply& reply);
  void MarkUnconfirmed(Runner& runner, Run& run);
  // Timeout of a look at the list that decides about unconfirmed runs.
  absl::Duration LookTimeout() const {
    return std::min(response_times_.Get() * kLookTimeoutFactor,
                    settings_.order_timeout);
  }
  // When a start order without an answer is doubted.
  absl::Time DoubtAt(const Run& run) const {
    return std::max(run.started + response_times_.Get(), doubt_from_);
  }
  // Records whether an order was answered. A runner that stays silent becomes
  // unusable.
  void OnOrderAnswered(Runner& runner);
  void OnOrderLost(const RunnerPointer& runner, absl::Time due);
  // Stops the unconfirmed runs of a runner whose list did not arrive.
  void StopUnconfirmed(const RunnerPointer& runner);
  void ResolveUnconfirmed(const RunnerPointer& runner,
                          const RunKey& key,
                          Run& run,
                          bool active,
                          absl::Time sent);
  void SendStop(const RunnerPointer& runner, const RunKey& key, Run& run);
  StopOrder MakeStop(const Runner& runner, const RunKey& key) const {
    return {{runner.info.vm, runner.info.address},
            key.job_key,
            key.task_id,
            key.run,
            runner.fence,
            settings_.order_timeout};
  }
  void StopUntrackedRun(const RunnerPointer& runner, const RunKey& key);
  void SendHold(const RunnerPointer& runner);
  // Longest time that a hold may wait for the end of a run.
  absl::Duration HoldWait(const Runner& runner) const;
  void OnHoldReply(const RunnerPointer& runner,
                   const SentHold& hold,
                   const HoldReply& reply);
  void OnHoldFailed(const RunnerPointer& runner,
                    const SentHold& hold,
                    const OrderReply& reply);
  void ProcessRunLists(const RunnerPointer& runner,
                       absl::Time sent,
                       const HoldReply& reply);
  void OnRunEnded(const RunnerPointer& runner, const EndedRun& ended);
  void OnOtherInstance(const RunnerPointer& runner);
  void ReportFate(const Runner& runner, const LostRun& run, UpstreamFate fate);
  // Reports the runs that were lost while the runner was silent. It has
  // crashed meanwhile, or answers again.
  void ReportLostRuns(Runner& runner, bool crashed);
  // Reports all runs of an instance that has ended.
  void ReportCrash(Runner& runner);
  // Reports the former runners that a new one at their address succeeds.
  void ReportReplacedRunners(
      const absl::btree_map<std::string, RunnerPointer>& former,
      const std::vector<OwnedRunner>& runners);
  void FinishAll(const RunnerPointer& runner,
                 TaskOutcome outcome,
                 ErrorCode code,
                 const char* reason);
  void Finish(const RunnerPointer& runner,
              const RunKey& key,
              TaskResult result);
  void SetUsable(const RunnerPointer& runner, bool usable);
  void TickRunner(const RunnerPointer& runner, absl::Time now);
  absl::Time ExpiresAt(const Runner& runner, const Run& run) const;
  absl::Time NextDue(const Runner& runner) const;
  // A pending long poll does not block further holds, since it may not be
  // answered until a run ends.
  static bool CanSendHold(const Runner& runner) {
    return !runner.replaced &&
           (!runner.hold_pending || runner.hold_is_long_poll);
  }

  const Clock& clock_;
  RunnerTransport& transport_;
  const LeaseSettings settings_;
  const std::function<void(const std::string& pool)> on_fenced_;
  const std::function<void()> on_usable_changed_;
  const std::function<void(const RunFate& fate)> on_fate_;
  RunObserver& observer_;
  Counter& starts_;
  Counter& rejected_;
  Counter& lost_;
  Counter& holds_;
  Counter& stops_;
  Counter& doubted_;
  // Ordered, so that tests with a fixed seed are deterministic.
  absl::btree_map<std::string, RunnerPointer> runners_;
  internal::OrderLossRate loss_rate_;
  // Of start orders, which runners answer at once.
  internal::AnswerTimeout response_times_;
  absl::Time last_tick_ = absl::InfinitePast();
  // Start orders are not doubted earlier.
  absl::Time doubt_from_ = absl::InfinitePast();
};

void LeasedUpstreamClient::Impl::SetRunners(
    const std::vector<OwnedRunner>& runners) {
  absl::btree_map<std::string, RunnerPointer> former;
  former.swap(runners_);
  ReportReplacedRunners(former, runners);
  for (const auto& it : runners) {
    RunnerPointer runner;
    const auto existing = former.find(it.info.vm);
    // State is kept only if address and fence are unchanged.
    if (existing != former.end() &&
        existing->second->info.address == it.info.address &&
        existing->second->fence == it.fence) {
      runner = std::move(existing->second);
      former.erase(existing);
      // Runs may already have been started in the new incarnation, so only the
      // runner's lists show which ones were lost. Its clock has started anew: a
      // lease by the former clock would not limit a late start.
      if (it.info.incarnation != runner->info.incarnation) {
        runner->incarnation_changed = Now();
        SetUsable(runner, false);
        runner->next_hold = absl::InfinitePast();
      }
    } else {
      runner = std::make_shared<Runner>();
      runner->fence = it.fence;
    }
    runner->info = it.info;
    runners_[it.info.vm] = std::move(runner);
  }
  for (auto& [vm, runner] : former) {
    FinishAll(runner, TaskOutcome::kUnknown, ErrorCode::kConnectionBroken,
              "the runner was removed or its address or fencing token changed");
  }
}

void LeasedUpstreamClient::Impl::UpdateClock(Runner& runner, int64_t clock_ms) {
  if (clock_ms > 0) {
    // The clock and the numbers of ended runs restart with each incarnation,
    // and no lease exceeds the longest one.
    if (clock_ms < runner.clock_ms) {
      runner.maybe_restarted = Now();
    }
    // A former owner may have granted the longest lease a moment ago.
    if (clock_ms < runner.clock_ms || runner.clock_ms == 0) {
      runner.lease_until_ms =
          clock_ms + absl::ToInt64Milliseconds(settings_.max_lease);
    }
    runner.clock_ms = clock_ms;
    runner.clock_received = Now();
  }
}

int64_t LeasedUpstreamClient::Impl::MinClockMs(const Runner& runner) const {
  const absl::Duration passed = Now() - runner.clock_received;
  return runner.clock_ms +
         static_cast<int64_t>(absl::ToDoubleMilliseconds(passed) *
                              (1 - kMaxClockDrift));
}

absl::Duration LeasedUpstreamClient::Impl::LongestLease(
    const Runner& runner) const {
  const absl::Duration left =
      FirstLeaseExpiry(runner) - Now() - settings_.max_stop_time;
  return std::min(settings_.max_lease * kGrantedLeaseShare,
                  left * (1 - kMaxClockDrift));
}

int64_t LeasedUpstreamClient::Impl::GrantLease(Runner& runner,
                                               absl::Duration lease) {
  lease = std::min(lease, LongestLease(runner));
  if (lease <= absl::ZeroDuration()) {
    return 0;
  }
  const int64_t until = MinClockMs(runner) + absl::ToInt64Milliseconds(lease);
  runner.lease_until_ms = std::max(runner.lease_until_ms, until);
  return until;
}

absl::Time LeasedUpstreamClient::Impl::LeaseExpiry(const Runner& runner) const {
  const int64_t left =
      std::max<int64_t>(0, runner.lease_until_ms - runner.clock_ms);
  return runner.clock_received +
         absl::Milliseconds(left) / (1 - kMaxClockDrift) +
         settings_.max_stop_time;
}

void LeasedUpstreamClient::Impl::UpdateEndingLease(Runner& runner,
                                                   absl::Time now) {
  const bool ending =
      FirstLeaseExpiry(runner) - now < kMinLease + settings_.max_stop_time;
  if (runner.ending_lease != ending) {
    runner.ending_lease = ending;
    on_usable_changed_();
  }
}

// The lease that the runner has already is not shortened by a start order.
bool LeasedUpstreamClient::Impl::CanStart(const std::string& vm,
                                          const JobLease& lease) const {
  const RunnerPointer runner = Find(vm);
  const absl::Time expiry = lease.expiry();
  return runner != nullptr && LeaseExpiry(*runner) <= expiry &&
         expiry - Now() >= kMinLease + settings_.max_stop_time;
}

void LeasedUpstreamClient::Impl::Start(TaskStart start, Callback callback) {
  const RunnerPointer runner = Find(start.vm);
  if (runner == nullptr || !runner->usable) {
    callback(MakeResult(TaskOutcome::kNotStarted, ErrorCode::kNotReady,
                        "the runner is unknown or not usable"));
    return;
  }
  const absl::Time now = Now();
  const absl::Duration expected = start.expected_run > absl::ZeroDuration()
                                      ? start.expected_run
                                      : settings_.max_lease;
  const RunKey key{start.job_key, start.task_id,
                   static_cast<uint32_t>(start.attempt)};
  Run run;
  run.incarnation = runner->incarnation;
  run.callback = std::move(callback);
  run.started = now;
  run.expected_end = now + expected;
  run.lease = std::move(start.lease);
  run.stops.started = now;
  observer_.OnRunOrdered(MakeRunInfo(*runner, key));
  runner->runs[key] = std::move(run);
  StartOrder order;
  order.runner = {runner->info.vm, runner->info.address};
  order.job_key = start.job_key;
  order.task_id = start.task_id;
  order.run = key.run;
  order.payload = std::move(start.payload);
  order.lease_until_ms =
      GrantLease(*runner, std::max(kMinLease, expected * kLeaseFactor));
  order.fence = runner->fence;
  order.timeout = settings_.order_timeout;
  order.send_by = std::min(start.start_by_monotonic, now + kMinLease / 2);
  starts_.Add();
  transport_.Start(std::move(order),
                   [this, runner, key, now](const OrderReply& reply) {
                     OnStartReply(runner, key, now, reply);
                   });
}

void LeasedUpstreamClient::Impl::OnStartReply(const RunnerPointer& runner,
                                              const RunKey& key,
                                              absl::Time sent,
                                              const OrderReply& reply) {
  UpdateClock(*runner, reply.clock_ms);
  if (IsAnswer(reply.status)) {
    OnOrderAnswered(*runner);
    response_times_.Record(Now() - sent);
  } else if (reply.status == OrderStatus::kNoAnswer) {
    OnOrderLost(runner, sent);
  }
  const auto it = runner->runs.find(key);
  if (it == runner->runs.end()) {
    return;
  }
  Run& run = it->second;
  const auto refuse = [&](ErrorCode code) {
    rejected_.Add();
    Finish(runner, key,
           MakeResult(TaskOutcome::kNotStarted, code, reply.error.detail));
  };
  switch (reply.status) {
    case OrderStatus::kDone:
      if (run.phase == Phase::kStarting) {
        run.phase = Phase::kRunning;
        run.listed_after = Now();
        if (!runner->hold_pending) {
          runner->next_hold = std::min(runner->next_hold, Now());
        }
      }
      if (run.NeedsStop()) {
        SendStop(runner, key, run);
      }
      break;
    case OrderStatus::kFenced:
      refuse(ErrorCode::kLeaseInvalid);
      if (IsCurrent(runner)) {
        on_fenced_(runner->info.failure_domain);
      }
      break;
    case OrderStatus::kOtherInstance:
      // Unusable first, since the result may cause the next start.
      SetUsable(runner, false);
      refuse(ErrorCode::kUnreachable);
      OnOtherInstance(runner);
      break;
    case OrderStatus::kStale:
    case OrderStatus::kLeaseExpired:
    case OrderStatus::kNoCapacity:
    case OrderStatus::kInvalid:
      refuse(ErrorCode::kUpstreamBusy);
      break;
    case OrderStatus::kUnhealthy:
      refuse(ErrorCode::kUnreachable);
      break;
    case OrderStatus::kNotSent:
      if (IsTimeout(reply)) {
        refuse(ErrorCode::kDeadlineExceeded);
      } else {
        SetUsable(runner, false);
        refuse(ErrorCode::kUnreachable);
      }
      break;
    case OrderStatus::kNoAnswer:
      if (run.phase == Phase::kStarting) {
        MarkUnconfirmed(*runner, run);
      }
      if (run.NeedsStop()) {
        SendStop(runner, key, run);
      }
      break;
  }
}

// The runner may have executed the start order or may still do so. Its next
// list shows which runs continue; the others are stopped.
void LeasedUpstreamClient::Impl::MarkUnconfirmed(Runner& runner, Run& run) {
  run.phase = Phase::kUnconfirmed;
  run.unconfirmed_since = Now();
  runner.maybe_restarted = Now();
  runner.next_hold = std::min(runner.next_hold, Now());
}

void LeasedUpstreamClient::Impl::OnOrderAnswered(Runner& runner) {
  runner.contact.OnAnswer(Now());
  loss_rate_.Record(false);
}

// A lost order alone does not make the runner unusable: the tasks of the other
// orders are not affected, and capacity would be lost for as long as it takes
// to look at the runner again.
void LeasedUpstreamClient::Impl::OnOrderLost(const RunnerPointer& runner,
                                             absl::Time due) {
  lost_.Add();
  loss_rate_.Record(true);
  runner->contact.OnNoAnswer(due);
  if (IsCurrent(runner) && runner->contact.IsSilent(Now())) {
    SetUsable(runner, false);
  }
}

// After a stop of a run that does not exist, the runner rejects a late start of
// it as stale. If the stop is not answered either, the lease in the start order
// limits how late the run can start.
void LeasedUpstreamClient::Impl::ResolveUnconfirmed(const RunnerPointer& runner,
                                                    const RunKey& key,
                                                    Run& run,
                                                    bool active,
                                                    absl::Time sent) {
  if (run.stop_requested || sent < run.unconfirmed_since) {
    return;
  }
  if (active) {
    run.phase = Phase::kRunning;
    run.listed_after = sent;
  } else {
    run.stop_requested = true;
    SendStop(runner, key, run);
  }
}

void LeasedUpstreamClient::Impl::StopUnconfirmed(const RunnerPointer& runner) {
  for (auto& [key, run] : runner->runs) {
    if (run.phase == Phase::kUnconfirmed && !run.stop_requested &&
        ++run.lost_looks >= kMaxLostLooks) {
      run.stop_requested = true;
      SendStop(runner, key, run);
    }
  }
}

void LeasedUpstreamClient::Impl::StopRun(const std::string& job_key,
                                         const std::string& task_id,
                                         int attempt) {
  const RunKey key{job_key, task_id, static_cast<uint32_t>(attempt)};
  for (const auto& [vm, runner] : runners_) {
    const auto it = runner->runs.find(key);
    if (it == runner->runs.end()) {
      continue;
    }
    Run& run = it->second;
    run.stop_requested = true;
    run.lease_at_end = run.LeaseExpiry();
    run.stops.requested = run.stops.requested.value_or(Now());
    if (run.NeedsStop()) {
      SendStop(runner, key, run);
    }
    return;
  }
}

void LeasedUpstreamClient::Impl::SendStop(const RunnerPointer& runner,
                                          const RunKey& key,
                                          Run& run) {
  run.stop_pending = true;
  ++run.stops.sent;
  run.stops.first_sent = run.stops.first_sent.value_or(Now());
  stops_.Add();
  transport_.Stop(MakeStop(*runner, key),
                  [this, runner, key, sent = Now()](const OrderReply& reply) {
                    const bool lost = reply.status == OrderStatus::kNoAnswer;
                    if (lost) {
                      OnOrderLost(runner, sent);
                    } else if (IsAnswer(reply.status)) {
                      OnOrderAnswered(*runner);
                    }
                    const auto it = runner->runs.find(key);
                    if (it == runner->runs.end()) {
                      return;
                    }
                    Run& stopped = it->second;
                    stopped.stop_pending = false;
                    if (reply.status == OrderStatus::kDone) {
                      // A run that is being stopped is listed until it has
                      // ended.
                      stopped.stop_acknowledged = true;
                      stopped.stops.answered = Now();
                      stopped.listed_after = Now();
                      runner->next_hold = std::min(runner->next_hold, Now());
                    } else {
                      stopped.next_stop = Now() + (lost ? absl::ZeroDuration()
                                                        : kStopRetryInterval);
                    }
                  });
}

void LeasedUpstreamClient::Impl::StopUntrackedRun(const RunnerPointer& runner,
                                                  const RunKey& key) {
  stops_.Add();
  transport_.Stop(MakeStop(*runner, key), [](const OrderReply&) {});
}

void LeasedUpstreamClient::Impl::SendHold(const RunnerPointer& runner) {
  const absl::Time now = Now();
  HoldOrder order;
  order.runner = {runner->info.vm, runner->info.address};
  order.fence = runner->fence;
  order.last_seen = AcknowledgeableEnd(*runner);
  if (runner->usable && HasRunInPhase(*runner, Phase::kRunning)) {
    order.lease_until_ms = GrantLease(*runner, settings_.max_lease);
  }
  order.wait = HoldWait(*runner);
  order.timeout =
      order.wait +
      (loss_rate_.IsHigh() || HasRunInPhase(*runner, Phase::kUnconfirmed)
           ? LookTimeout()
           : settings_.order_timeout);
  runner->hold_pending = true;
  runner->hold_is_long_poll = order.wait > absl::ZeroDuration();
  runner->hold_sent = now;
  runner->next_hold = absl::InfiniteFuture();
  const SentHold hold{++runner->hold_number, order.last_seen, now, order.wait};
  holds_.Add();
  transport_.Hold(std::move(order),
                  [this, runner, hold](const HoldReply& reply) {
                    OnHoldReply(runner, hold, reply);
                  });
}

absl::Duration LeasedUpstreamClient::Impl::HoldWait(
    const Runner& runner) const {
  const absl::Time now = Now();
  bool stopping = false;
  for (const auto& [key, run] : runner.runs) {
    if (run.AwaitsList(now)) {
      return absl::ZeroDuration();
    }
    stopping = stopping || run.stop_requested;
  }
  if (stopping) {
    return settings_.max_stop_time;
  }
  // A runner that may be gone is asked without a wait.
  if (!runner.usable || runner.contact.IsDoubtful() ||
      !HasRunInPhase(runner, Phase::kRunning)) {
    return absl::ZeroDuration();
  }
  if (!loss_rate_.IsHigh()) {
    return std::max(settings_.max_stop_time,
                    LongestLease(runner) * kLeaseExtensionShare);
  }
  // If the answer to this hold is lost, so is the news of an end.
  return std::max(settings_.max_stop_time,
                  std::min(LongestLease(runner) * kLossyLeaseExtensionShare,
                           FirstExpectedEnd(runner) + kEndSlack - now));
}

void LeasedUpstreamClient::Impl::OnHoldReply(const RunnerPointer& runner,
                                             const SentHold& hold,
                                             const HoldReply& reply) {
  // The runner may have read its clock at any time while the hold was pending.
  // Taking the time of the answer gives a lower bound of its clock.
  UpdateClock(*runner, reply.order.clock_ms);
  const bool newest = hold.number == runner->hold_number;
  if (newest) {
    runner->hold_pending = false;
  }
  if (reply.order.status == OrderStatus::kDone) {
    runner->acknowledged = std::max(runner->acknowledged, hold.acknowledged);
  }
  if (IsAnswer(reply.order.status)) {
    OnOrderAnswered(*runner);
  }
  if (!IsCurrent(runner)) {
    return;
  }
  if (reply.order.status != OrderStatus::kDone) {
    OnHoldFailed(runner, hold, reply.order);
    return;
  }
  runner->hold_retry_interval = kHoldRetryInterval;
  ProcessRunLists(runner, hold.sent, reply);
  if (newest && IsCurrent(runner) && HasAnsweredRun(*runner)) {
    runner->next_hold = std::min(runner->next_hold, Now());
  }
}

void LeasedUpstreamClient::Impl::OnHoldFailed(const RunnerPointer& runner,
                                              const SentHold& hold,
                                              const OrderReply& reply) {
  if (hold.number == runner->hold_number) {
    runner->next_hold = Now() + runner->hold_retry_interval;
  }
  switch (reply.status) {
    case OrderStatus::kFenced:
      on_fenced_(runner->info.failure_domain);
      return;
    case OrderStatus::kOtherInstance:
      OnOtherInstance(runner);
      return;
    case OrderStatus::kUnhealthy:
      break;
    default:
      OnOrderLost(runner, hold.sent + hold.wait);
      StopUnconfirmed(runner);
      if (!IsTimeout(reply)) {
        SetUsable(runner, false);
      }
      if (runner->usable) {
        runner->next_hold = std::min(runner->next_hold, Now());
        return;
      }
  }
  runner->hold_retry_interval =
      std::min(runner->hold_retry_interval * 2, kMaxHoldRetryInterval);
}

void LeasedUpstreamClient::Impl::ProcessRunLists(const RunnerPointer& runner,
                                                 absl::Time sent,
                                                 const HoldReply& reply) {
  // The numbers of ended runs restart with each incarnation. Runs of the former
  // incarnation are missing from the lists.
  const bool restarted = runner->incarnation != 0 && reply.incarnation != 0 &&
                         reply.incarnation != runner->incarnation;
  runner->list_requested = std::max(runner->list_requested, sent);
  if (reply.incarnation != runner->incarnation) {
    runner->last_seen = 0;
    runner->acknowledged = 0;
  }
  ReportLostRuns(*runner, restarted);
  if (reply.incarnation != 0) {
    runner->incarnation = reply.incarnation;
  }
  for (const auto& it : reply.ended) {
    if (it.number > runner->last_seen) {
      runner->last_seen = it.number;
      OnRunEnded(runner, it);
    }
  }
  std::map<RunKey, bool> active;
  for (const auto& it : reply.active) {
    const RunKey key{it.job_key, it.task_id, it.run};
    active[key] = true;
    if (!runner->runs.contains(key) &&
        runner->untracked_runs.try_emplace(key, absl::InfinitePast()).second) {
      observer_.OnUntrackedRun(MakeRunInfo(*runner, key));
    }
  }
  std::erase_if(runner->untracked_runs,
                [&](const auto& it) { return !active.contains(it.first); });
  std::vector<RunKey> missing;
  for (auto& [key, run] : runner->runs) {
    const bool is_active = active.contains(key);
    run.listed = is_active && run.listed_after <= sent;
    if (run.phase == Phase::kUnconfirmed) {
      ResolveUnconfirmed(runner, key, run, is_active, sent);
    }
    if (!is_active && run.listed_after <= sent) {
      missing.push_back(key);
    }
  }
  for (const auto& it : missing) {
    if (restarted) {
      const LostRun run = MakeLostRun(it, runner->runs.at(it));
      ReportFate(*runner, run, FateOfCrash(run));
    }
    Finish(runner, it,
           MakeResult(TaskOutcome::kEnded, ErrorCode::kUnreachable,
                      "the runner has no record of the run"));
  }
  for (auto& [key, next_stop] : runner->untracked_runs) {
    if (next_stop <= Now()) {
      next_stop = Now() + kStopRetryInterval;
      StopUntrackedRun(runner, key);
    }
  }
  SetUsable(runner, runner->untracked_runs.empty() && runner->clock_ms > 0);
  if (!runner->untracked_runs.empty()) {
    runner->next_hold = Now() + settings_.max_stop_time;
  }
}

void LeasedUpstreamClient::Impl::OnRunEnded(const RunnerPointer& runner,
                                            const EndedRun& ended) {
  const RunKey key{ended.job_key, ended.task_id, ended.run};
  switch (ended.end) {
    case RunEnd::kDone:
      Finish(runner, key, MakeResult(TaskOutcome::kDone, ErrorCode::kOk, ""));
      break;
    case RunEnd::kFailed:
      Finish(runner, key,
             MakeResult(TaskOutcome::kFailed, ErrorCode::kUpstreamFailed,
                        "the run failed"));
      break;
    case RunEnd::kLapsed:
      Finish(runner, key,
             MakeResult(TaskOutcome::kEnded, ErrorCode::kLeaseInvalid,
                        "the lease of the run expired"));
      break;
    default:
      Finish(runner, key,
             MakeResult(TaskOutcome::kEnded, ErrorCode::kCancelled,
                        "the run was stopped"));
  }
}

// The instance that this daemon addressed has ended, and with it all its runs.
void LeasedUpstreamClient::Impl::OnOtherInstance(const RunnerPointer& runner) {
  runner->replaced = true;
  SetUsable(runner, false);
  ReportCrash(*runner);
  FinishAll(runner, TaskOutcome::kEnded, ErrorCode::kUnreachable,
            "another instance answers at the address of the runner");
}

// A runner that leaves ends its runs without a crash.
void LeasedUpstreamClient::Impl::ReportFate(const Runner& runner,
                                            const LostRun& run,
                                            UpstreamFate fate) {
  if (runner.info.state != VmState::kLeaving) {
    on_fate_({run.key.job_key, run.key.task_id, runner.info.vm, run.incarnation,
              fate});
  }
}

void LeasedUpstreamClient::Impl::ReportLostRuns(Runner& runner, bool crashed) {
  for (const auto& it : std::exchange(runner.lost_runs, {})) {
    ReportFate(runner, it, crashed ? FateOfCrash(it) : UpstreamFate::kAlive);
  }
}

void LeasedUpstreamClient::Impl::ReportCrash(Runner& runner) {
  ReportLostRuns(runner, /*crashed=*/true);
  for (const auto& [key, run] : runner.runs) {
    const LostRun lost = MakeLostRun(key, run);
    ReportFate(runner, lost, FateOfCrash(lost));
  }
}

void LeasedUpstreamClient::Impl::ReportReplacedRunners(
    const absl::btree_map<std::string, RunnerPointer>& former,
    const std::vector<OwnedRunner>& runners) {
  absl::flat_hash_map<std::string, std::vector<const VmInfo*>> new_runners;
  for (const auto& it : runners) {
    if (!former.contains(it.info.vm)) {
      new_runners[it.info.address].push_back(&it.info);
    }
  }
  for (const auto& [vm, runner] : former) {
    const auto at_address = new_runners.find(runner->info.address);
    if (at_address != new_runners.end() &&
        std::any_of(at_address->second.begin(), at_address->second.end(),
                    [&info = runner->info](const VmInfo* it) {
                      return IsSuccessor(*it, info);
                    })) {
      ReportCrash(*runner);
    }
  }
}

void LeasedUpstreamClient::Impl::FinishAll(const RunnerPointer& runner,
                                           TaskOutcome outcome,
                                           ErrorCode code,
                                           const char* reason) {
  while (!runner->runs.empty()) {
    Finish(runner, RunKey(runner->runs.begin()->first),
           MakeResult(outcome, code, reason));
  }
}

void LeasedUpstreamClient::Impl::Finish(const RunnerPointer& runner,
                                        const RunKey& key,
                                        TaskResult result) {
  const auto it = runner->runs.find(key);
  if (it == runner->runs.end()) {
    return;
  }
  const Callback callback = std::move(it->second.callback);
  result.run_time = Now() - it->second.started;
  const RunStops& stops = it->second.stops;
  if (stops.requested.has_value() || result.outcome == TaskOutcome::kUnknown) {
    observer_.OnRunStopped(MakeRunInfo(*runner, key), stops, result);
  }
  const bool was_from_before = HasRunFromBeforeChange(*runner);
  runner->runs.erase(it);
  if (was_from_before && !HasRunFromBeforeChange(*runner)) {
    on_usable_changed_();
  }
  callback(std::move(result));
}

void LeasedUpstreamClient::Impl::SetUsable(const RunnerPointer& runner,
                                           bool usable) {
  if (runner->usable != usable) {
    runner->usable = usable;
    Log(LogLevel::kInfo,
        usable ? "runner became usable" : "runner became unusable",
        {{"upstream", runner->info.vm},
         {"strangers", absl::StrCat(runner->untracked_runs.size())},
         {"runs", absl::StrCat(runner->runs.size())}});
    if (!usable) {
      runner->next_hold =
          std::min(runner->next_hold, Now() + settings_.max_stop_time);
    }
    on_usable_changed_();
  }
}

// Time at which the run counts as ended because its lease expired. Infinite for
// a runner that answers, since its lists are more precise, and until a pending
// start order is answered or times out.
absl::Time LeasedUpstreamClient::Impl::ExpiresAt(const Runner& runner,
                                                 const Run& run) const {
  const bool answers = runner.usable && runner.hold_pending;
  return answers || run.phase == Phase::kStarting ? absl::InfiniteFuture()
                                                  : LeaseExpiry(runner);
}

absl::Time LeasedUpstreamClient::Impl::NextDue(const Runner& runner) const {
  absl::Time due = absl::InfiniteFuture();
  if (!runner.usable || !runner.runs.empty()) {
    due = CanSendHold(runner) ? runner.next_hold : due;
  } else if (runner.last_seen > runner.acknowledged && !runner.hold_pending) {
    due = runner.hold_sent + kIdleAcknowledgeDelay;
  }
  for (const auto& [key, run] : runner.runs) {
    if (run.NeedsStop()) {
      due = std::min(due, run.next_stop);
    }
    if (run.phase == Phase::kStarting) {
      due = std::min(due, DoubtAt(run));
    }
    due = std::min(due, ExpiresAt(runner, run));
  }
  return due;
}

void LeasedUpstreamClient::Impl::TickRunner(const RunnerPointer& runner,
                                            absl::Time now) {
  std::vector<RunKey> expired;
  for (auto& [key, run] : runner->runs) {
    if (run.phase == Phase::kStarting && DoubtAt(run) <= now) {
      doubted_.Add();
      MarkUnconfirmed(*runner, run);
    }
    if (run.NeedsStop() && run.next_stop <= now) {
      SendStop(runner, key, run);
    }
    if (ExpiresAt(*runner, run) <= now) {
      expired.push_back(key);
    }
  }
  for (const auto& it : expired) {
    runner->lost_runs.push_back(MakeLostRun(it, runner->runs.at(it)));
    ReportFate(*runner, runner->lost_runs.back(), UpstreamFate::kUncertain);
    Finish(runner, it,
           MakeResult(TaskOutcome::kEnded, ErrorCode::kUnreachable,
                      "the lease expired without an answer from the runner"));
  }
  const bool idle = runner->usable && runner->runs.empty();
  const bool due = idle ? runner->last_seen > runner->acknowledged &&
                              runner->hold_sent + kIdleAcknowledgeDelay <= now
                        : runner->next_hold <= now;
  if (due && CanSendHold(*runner)) {
    SendHold(runner);
  }
}

absl::Time LeasedUpstreamClient::Impl::Tick() {
  const absl::Time now = Now();
  if (now - last_tick_ > kMaxTickGap) {
    doubt_from_ = now + kMinDoubtTime;
  }
  last_tick_ = now;
  absl::Time due = absl::InfiniteFuture();
  std::vector<RunnerPointer> due_runners;
  due_runners.reserve(runners_.size());
  for (const auto& [vm, runner] : runners_) {
    UpdateEndingLease(*runner, now);
    if (NextDue(*runner) <= now) {
      due_runners.push_back(runner);
    }
  }
  for (const auto& it : due_runners) {
    TickRunner(it, now);
  }
  for (const auto& [vm, runner] : runners_) {
    due = std::min(due, NextDue(*runner));
  }
  return due;
}

LeasedUpstreamClient::LeasedUpstreamClient(
    const Clock& clock,
    RunnerTransport& transport,
    const LeaseSettings& settings,
    Metrics& metrics,
    std::function<void(const std::string& pool)> on_fenced,
    std::function<void()> on_usable_changed,
    std::function<void(const RunFate& fate)> on_fate,
    RunObserver& observer)
    : impl_(std::make_unique<Impl>(clock,
                                   transport,
                                   settings,
                                   metrics,
                                   std::move(on_fenced),
                                   std::move(on_usable_changed),
                                   std::move(on_fate),
                                   observer)) {}
LeasedUpstreamClient::~LeasedUpstreamClient() = default;

void LeasedUpstreamClient::SetRunners(const std::vector<OwnedRunner>& runners) {
  impl_->SetRunners(runners);
}
bool LeasedUpstreamClient::Usable(const std::string& vm) const {
  return impl_->Usable(vm);
}
bool LeasedUpstreamClient::HasAnswered(const std::string& vm) const {
  return impl_->HasAnswered(vm);
}
bool LeasedUpstreamClient::CanStart(const std::string& vm,
                                    const JobLease& lease) const {
  return impl_->CanStart(vm, lease);
}
void LeasedUpstreamClient::Start(TaskStart start, Callback callback) {
  impl_->Start(std::move(start), std::move(callback));
}
void LeasedUpstreamClient::StopRun(const std::string& job_key,
                                   const std::string& task_id,
                                   int attempt) {
  impl_->StopRun(job_key, task_id, attempt);
}
absl::Time LeasedUpstreamClient::Tick() {
  return impl_->Tick();
}
size_t LeasedUpstreamClient::runs() const {
  return impl_->runs();
}
size_t LeasedUpstreamClient::RunsIn(const std::string& failure_domain) const {
  return impl_->RunsIn(failure_domain);
}

}  // namespace radishrail
