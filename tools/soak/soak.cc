#include "soak.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "absl/time/clock.h"
#include "name_table.h"
#include "radishrail/peer_message.h"

namespace radishrail {

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(500);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(300);
// The bounds from here to `kRecoveryBound` are the users'. Clients: time limit
// of a request, and delay before they submit a job again.
constexpr absl::Duration kRequestTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kResubmissionDelay = absl::Milliseconds(1300);
constexpr int kMaxSubmissions = 4;
// Time after an unplanned fault for which there are no guarantees.
constexpr absl::Duration kUnguaranteedAfterFault = absl::Seconds(3);
// Time until a new configuration is in force, until draining runners get no
// more tasks, until a daemon has stopped gracefully, and until service has
// recovered.
constexpr absl::Duration kConfigBound = absl::Seconds(2);
constexpr absl::Duration kDrainBound = absl::Seconds(2);
constexpr absl::Duration kGracefulStopBound = absl::Seconds(6);
constexpr absl::Duration kRecoveryBound = absl::Seconds(12);
// After a job is answered, a start order may still be in flight, or a task may
// run under a lease; no task of the job starts later than this.
constexpr absl::Duration kMaxStartAfterAnswer = absl::Seconds(3);
// Service counts as recovered when this many consecutive jobs are complete.
constexpr int kConsecutiveJobsForRecovery = 15;
constexpr absl::Duration kDaemonStartBound = absl::Seconds(8);
// Allowance for late observation of events on a busy machine.
constexpr absl::Duration kObservationSlack = absl::Milliseconds(300);
constexpr int kMaxAttempts = 3;
// Long runs with `FaultSet::kTwoPools`, so that runs are still at work when
// their jobs are submitted again.
constexpr absl::Duration kLongRunTime = absl::Milliseconds(1400);
constexpr double kLostStopShare = 0.4;
// `Scenario::kOwnerPaused`: time from the cut to the pause, and its length.
constexpr absl::Duration kScenarioPauseDelay = absl::Milliseconds(600);
constexpr absl::Duration kScenarioPause = absl::Milliseconds(800);
// Partitions of single daemons have lower numbers, those of zones follow.
constexpr int kFirstZonePartition = 48;

HttpClientSettings ClientSettings(const char* thread) {
  HttpClientSettings settings;
  settings.connections_per_host = 64;
  // Keeps idle connections open, as clients do.
  settings.max_idle_time = absl::Seconds(60);
  settings.thread_name = thread;
  return settings;
}

std::string ZoneName(int i) {
  return absl::StrCat("d", i + 1);
}

absl::Duration RandomDuration(Random& random, int least_ms, int most_ms) {
  return absl::Milliseconds(
      least_ms + static_cast<int64_t>(
                     random.Below(static_cast<uint64_t>(most_ms - least_ms))));
}

}  // namespace

Soak::Soak(const SoakOptions& options, uint64_t seed)
    : options_(options),
      random_(seed),
      job_random_(seed + 1),
      loop_("soak"),
      callers_(ClientSettings("callers"), loop_),
      probes_(ClientSettings("probes"), loop_),
      table_(loop_) {}

Soak::~Soak() {
  RunOnLoop([this] { stopped_ = true; });
  for (const auto& it : daemons_) {
    it->process.reset();
  }
  callers_.Stop();
  probes_.Stop();
  for (const auto& it : runners_) {
    it->Stop();
  }
  table_.Stop();
  proxy_.Stop();
  loop_.Stop();
}

void Soak::RunOnLoop(const std::function<void()>& call) {
  std::promise<void> done;
  loop_.Post([&] {
    call();
    done.set_value();
  });
  done.get_future().wait();
}

bool Soak::Prepare(Error* error) {
  if (!table_.Start(error)) {
    return false;
  }
  for (int i = 0; i < options_.runners; ++i) {
    if (!AddRunner(i, error)) {
      return false;
    }
  }
  for (int i = 0; i < options_.daemons; ++i) {
    auto daemon = std::make_unique<Daemon>();
    daemon->zone = ZoneName(i % options_.zones);
    daemon->name = absl::StrCat(daemon->zone, "n", i);
    const auto port = [&](int n) {
      return absl::StrCat("127.0.0.1:", options_.first_port + 4 * i + n);
    };
    daemon->caller_address = port(0);
    daemon->ready_address = port(2);
    daemon->operator_address = port(3);
    const auto caller = proxy_.AddLink(port(0), error);
    const auto peer = proxy_.AddLink(port(1), error, true);
    const auto store = proxy_.AddLink(table_.address(), error);
    if (!caller || !peer || !store) {
      return false;
    }
    daemon->caller_link = *caller;
    daemon->peer_link = *peer;
    daemon->store_link = *store;
    const std::string stem =
        absl::StrCat(options_.directory, "/", daemon->name);
    daemon->process = std::make_unique<ChildProcess>(
        std::vector<std::string>{options_.daemon_path, "--platform", "--config",
                                 stem + ".ini"},
        stem + ".log");
    if (!WriteSettings(*daemon, error)) {
      return false;
    }
    daemons_.push_back(std::move(daemon));
  }
  table_.value_for_reader = [this](const std::string& host,
                                   const std::string& value) {
    std::vector<std::pair<std::string, std::string>> addresses;
    for (const auto& it : daemons_) {
      if (proxy_.address(it->store_link) == host) {
        for (const auto& link : remote_runner_links_) {
          if (link.zone == it->zone) {
            addresses.emplace_back(link.own_address, proxy_.address(link.link));
          }
        }
      }
    }
    return absl::StrReplaceAll(value, addresses);
  };
  proxy_.Start();
  return true;
}

bool Soak::AddRunner(int i, Error* error) {
  const std::string zone = ZoneName(i % options_.zones);
  auto runner = std::make_unique<RunnerStandin>(
      loop_, clock_, log_, table_, absl::StrCat(zone, "r", i), zone,
      [this, i](const StartOrder& order) {
        return CheckStart(runners_[static_cast<size_t>(i)].get(), order);
      });
  if (!runner->Start(error)) {
    return false;
  }
  const auto link = proxy_.AddLink(runner->address(), error);
  if (!link.has_value()) {
    return false;
  }
  runner->SetEntryAddress(proxy_.address(*link));
  runner_links_.push_back(*link);
  // General faults of a link to a runner concern the daemons of all zones.
  for (int n = 0; n < options_.zones && options_.faults != FaultSet::kGeneral;
       ++n) {
    if (ZoneName(n) == zone) {
      continue;
    }
    const auto remote = proxy_.AddLink(runner->address(), error);
    if (!remote.has_value()) {
      return false;
    }
    remote_runner_links_.push_back(
        {ZoneName(n), zone, proxy_.address(*link), *remote});
  }
  if (options_.faults == FaultSet::kTwoPools && i < options_.zones) {
    runner->max_run_time = kLongRunTime;
  }
  runners_.push_back(std::move(runner));
  return true;
}

bool Soak::WriteSettings(const Daemon& daemon, Error* error) const {
  const std::string path =
      absl::StrCat(options_.directory, "/", daemon.name, ".ini");
  const size_t index = static_cast<size_t>(
      std::find_if(daemons_.begin(), daemons_.end(),
                   [&](const auto& it) { return it.get() == &daemon; }) -
      daemons_.begin());
  std::vector<std::string> zones;
  zones.reserve(static_cast<size_t>(options_.zones));
  for (int i = 0; i < options_.zones; ++i) {
    zones.push_back(ZoneName(i));
  }
  std::ofstream file(path);
  file << "[daemon]\nvm = " << daemon.name
       << "\nfailure_domain = " << daemon.zone
       << "\nfailure_domains = " << absl::StrJoin(zones, ",")
       << "\ncaller_address = " << daemon.caller_address
       << "\nready_address = " << daemon.ready_address
       << "\noperator_address = " << daemon.operator_address
       << "\npeer_address = 127.0.0.1:"
       << options_.first_port + 4 * static_cast<int>(index) + 1
       << "\nadvertised_peer_address = " << proxy_.address(daemon.peer_link)
       << "\n[platform]\naddress = " << proxy_.address(daemon.store_link)
       << "\ntimeout = 1s\n[peers]\ncluster_key = soak-cluster-key\n"
          "[operators]\ntoken = soak-operator-token\n"
          "[lease]\nlength = 1s\nrenew_interval = 300ms\n"
          "[drain]\nbalancer_delay = 2200ms\ntimeout = 2900ms\n"
          "[requests]\nidle_timeout = 60s\n";
  file.close();
  if (!file) {
    Fail(error, ErrorCode::kInternal, Step::kSettings,
         "the settings could not be written", path);
    return false;
  }
  return true;
}

void Soak::StartDaemon(Daemon& daemon) {
  daemon.exit_expected = false;
  daemon.stop_deadline = absl::InfiniteFuture();
  daemon.start_time = absl::Now();
  daemon.config_version = 0;
  if (!daemon.process->Start()) {
    ReportViolation(absl::StrCat(daemon.name, " could not be started"));
  }
}

std::optional<SoakResult> Soak::Run(Error* error) {
  if (!Prepare(error)) {
    return std::nullopt;
  }
  RunOnLoop([this] {
    PutConfig();
    WriteHeartbeats();
    for (const auto& it : daemons_) {
      StartDaemon(*it);
    }
    submitting_ = false;
    Tick();
  });
  const auto wait_until = [this](absl::Duration limit,
                                 const std::function<bool()>& condition) {
    const absl::Time deadline = absl::Now() + limit;
    bool met = false;
    while (!met && absl::Now() < deadline) {
      absl::SleepFor(kTickInterval);
      RunOnLoop([&] { met = condition() || !log_.violations.empty(); });
    }
    return met;
  };
  if (!wait_until(kDaemonStartBound, [this] {
        return std::all_of(daemons_.begin(), daemons_.end(),
                           [](const auto& it) { return it->in_rotation; });
      })) {
    RunOnLoop(
        [this] { ReportViolation("the daemons were not ready in time"); });
  }
  if (options_.scenario != Scenario::kNone) {
    RunScenario();
    return result_;
  }
  RunOnLoop([this] {
    submitting_ = true;
    injecting_faults_ = true;
  });
  wait_until(options_.fault_period, [] { return false; });
  RunOnLoop([this] {
    injecting_faults_ = false;
    for (const auto& it : runners_) {
      it->max_run_time = RunnerStandin::kMaxRunTime;
    }
  });
  // Every fault ends after its own duration; the time of recovery counts from
  // the end of the last one, with all daemons running.
  wait_until(absl::Seconds(30), [this] {
    return active_unplanned_faults_ == 0 &&
           std::all_of(daemons_.begin(), daemons_.end(), [](const auto& it) {
             return it->process->running() && !it->exit_expected;
           });
  });
  uint64_t first_job = 0;
  const auto recovered = [&] {
    int complete = 0;
    for (uint64_t i = first_job; i < next_job_number_; ++i) {
      const std::string& answer = jobs_[absl::StrCat("job", i)].answer;
      if (!answer.empty()) {
        complete = answer == "completed" ? complete + 1 : 0;
      }
    }
    return complete >= kConsecutiveJobsForRecovery;
  };
  RunOnLoop([&] { first_job = next_job_number_; });
  if (!wait_until(kRecoveryBound, recovered)) {
    RunOnLoop([this] { ReportViolation("service did not recover in time"); });
  }
  RunOnLoop([this] { submitting_ = false; });
  // Waits until resubmitted jobs are answered as well.
  wait_until(kMaxSubmissions * (kRequestTimeout + kResubmissionDelay), [this] {
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& it) {
      return !it.second.answer.empty();
    });
  });
  RunOnLoop([this] { Finish(); });
  return result_;
}

void Soak::Finish() {
  CheckAtEnd();
  stopped_ = true;
  result_.violations = log_.violations;
  result_.trace = options_.scenario == Scenario::kNone
                      ? log_.TraceOfViolation()
                      : log_.TraceOf(absl::StrCat("job", next_job_number_ - 1));
  for (const auto& [key, job] : jobs_) {
    ++result_.answers[job.answer.empty() ? "none" : job.answer];
    result_.start_count += log_.starts[key];
  }
}

void Soak::RunScenario() {
  // Longer than the delay before a job is submitted again.
  constexpr absl::Duration kRunTime = absl::Milliseconds(1800);
  constexpr absl::Duration kRowsNoticed = absl::Seconds(3);
  constexpr absl::Duration kCutDuration = absl::Seconds(3);
  // Without runners in d1, its daemons send jobs to d2 or d3.
  RunOnLoop([&] {
    for (const auto& it : runners_) {
      it->max_run_time = kRunTime;
      it->least_run_time_share = 1;
      it->SetDraining(it->zone() == "d1");
    }
  });
  absl::SleepFor(kRowsNoticed);
  const bool zone_cut = options_.scenario == Scenario::kZoneCut;
  Daemon& entry = *FirstDaemonOf(zone_cut ? "d2" : "d1");
  RunnerStandin* runner = StartScenarioJob(entry);
  absl::SleepFor(RandomDuration(random_, 50, 400));
  RunOnLoop([&] {
    if (runner == nullptr) {
      ReportViolation("no job was started");
      return;
    }
    const std::string zone = runner->zone();
    second_entry_ = FirstDaemonOf(zone == "d2" ? "d3" : "d2");
    InjectFault(zone_cut ? MakeZoneCut(zone, kCutDuration)
                         : MakeEntryCut(entry, kCutDuration));
    if (options_.scenario == Scenario::kStopsLost) {
      runner->stops_to_drop = 2;
    } else if (options_.scenario == Scenario::kOwnerPaused) {
      loop_.PostDelayed(kScenarioPauseDelay, [this, zone] {
        InjectFault(MakePause(OwnerOf(zone), kScenarioPause));
      });
    }
  });
  // Until the repetition has been answered and the faults have ended.
  absl::SleepFor(kResubmissionDelay + kRequestTimeout + absl::Seconds(1));
  RunOnLoop([this] { Finish(); });
}

// A refused job is followed by another one.
RunnerStandin* Soak::StartScenarioJob(Daemon& entry) {
  constexpr int kMaxJobs = 10;
  RunnerStandin* runner = nullptr;
  for (int i = 0; i < kMaxJobs && runner == nullptr; ++i) {
    std::string key;
    RunOnLoop([&] {
      key = absl::StrCat("job", next_job_number_++);
      jobs_[key].tasks = 1;
      SendJobTo(entry, key);
    });
    bool answered = false;
    while (runner == nullptr && !answered) {
      absl::SleepFor(kTickInterval);
      RunOnLoop([&] {
        answered = !jobs_[key].answer.empty();
        for (const auto& it : runners_) {
          runner = it->model().runs() > 0 ? it.get() : runner;
        }
      });
    }
  }
  return runner;
}

void Soak::Tick() {
  if (stopped_) {
    return;
  }
  const absl::Time now = absl::Now();
  table_.Tick();
  CheckProcesses();
  if (next_heartbeat_time_ <= now) {
    next_heartbeat_time_ = now + kHeartbeatInterval;
    WriteHeartbeats();
  }
  if (next_probe_time_ <= now) {
    next_probe_time_ = now + kProbeInterval;
    for (const auto& it : daemons_) {
      Probe(*it);
    }
  }
  if (submitting_ && next_job_time_ <= now) {
    next_job_time_ =
        now + options_.mean_job_interval * (0.5 + job_random_.Unit());
    SubmitJob();
  }
  if (injecting_faults_ && next_fault_time_ <= now) {
    next_fault_time_ = now + RandomDuration(random_, 200, 1500);
    InjectFault(options_.faults == FaultSet::kTwoPools ? MakeTwoPoolsFault()
                                                       : MakeRandomFault());
  }
  loop_.PostDelayed(kTickInterval, [this] { Tick(); });
}

void Soak::CheckProcesses() {
  for (const auto& it : daemons_) {
    Daemon& daemon = *it;
    if (const auto status = daemon.process->PollExitStatus()) {
      daemon.in_rotation = false;
      if (!daemon.exit_expected) {
        ReportViolation(absl::StrCat(
            daemon.name, " exited unexpectedly: ",
            WIFSIGNALED(*status) ? "signal " : "status ",
            WIFSIGNALED(*status) ? WTERMSIG(*status) : WEXITSTATUS(*status)));
      }
      loop_.PostDelayed(RandomDuration(job_random_, 200, 1500),
                        [this, &daemon] {
                          if (!stopped_) {
                            StartDaemon(daemon);
                          }
                        });
    } else if (daemon.stop_deadline < absl::Now() && !daemon.paused) {
      ReportViolation(
          absl::StrCat(daemon.name, " did not stop gracefully in time"));
      Kill(daemon);
    }
  }
}

// Reads readiness, as a load balancer does, and the metrics. Connects directly,
// not through the proxy, so that link faults do not affect it.
void Soak::Probe(Daemon& daemon) {
  HttpClientRequest ready;
  ready.address = daemon.ready_address;
  ready.target = "/ready";
  ready.timeout = kProbeInterval;
  probes_.Send(std::move(ready), [&daemon](const HttpResult& result) {
    daemon.in_rotation = result.status == 200 && daemon.cuts == 0;
  });
  HttpClientRequest metrics;
  metrics.address = daemon.operator_address;
  metrics.target = "/metrics";
  metrics.timeout = kProbeInterval;
  probes_.Send(std::move(metrics), [this, &daemon,
                                    start_time = daemon.start_time](
                                       const HttpResult& result) {
    if (result.status == 200 && start_time == daemon.start_time && !stopped_) {
      OnMetrics(daemon, result.body);
    }
  });
}

void Soak::OnMetrics(Daemon& daemon, const std::string& text) {
  constexpr std::string_view kVersionGauge = "\nradishrail_document_version ";
  const size_t at = text.find(kVersionGauge);
  int64_t version = 0;
  if (at == std::string::npos ||
      !absl::SimpleAtoi(
          text.substr(at + kVersionGauge.size(),
                      text.find('\n', at + 1) - at - kVersionGauge.size()),
          &version)) {
    return;
  }
  if (version < daemon.config_version) {
    ReportViolation(absl::StrCat(daemon.name, " reverted from configuration ",
                                 daemon.config_version, " to ", version));
  }
  daemon.config_version = version;
  const absl::Time now = absl::Now();
  if (NoRecentUnplannedFault() &&
      now - daemon.start_time > kUnguaranteedAfterFault + kConfigBound &&
      now - config_put_time_ > kConfigBound + kObservationSlack &&
      version < config_version_) {
    ReportViolation(absl::StrCat(daemon.name, " has configuration ", version,
                                 " but ", config_version_,
                                 " should be in force"));
  }
}

void Soak::WriteHeartbeats() {
  for (const auto& it : runners_) {
    it->WriteEntry();
  }
}

void Soak::PutConfig() {
  config_version_ += 1 + static_cast<int64_t>(job_random_.Below(5));
  config_put_time_ = absl::Now();
  const nlohmann::json route = {{"name", "queue"},          {"host", "host"},
                                {"pathPrefix", "/queue/"},  {"service", "svc"},
                                {"attempts", kMaxAttempts}, {"stretch", 4},
                                {"targetLatencyMs", 400}};
  table_.Put("op/config", nlohmann::json{{"version", config_version_},
                                         {"routes", {route}},
                                         {"services", {{{"name", "svc"}}}},
                                         {"limits", nlohmann::json::object()}}
                              .dump());
}

void Soak::SubmitJob() {
  const std::string key = absl::StrCat("job", next_job_number_++);
  jobs_[key].tasks = 1 + static_cast<int>(job_random_.Below(4));
  SendJob(key);
}

void Soak::SendJob(const std::string& key) {
  if (second_entry_ != nullptr) {
    SendJobTo(*second_entry_, key);
    return;
  }
  std::vector<Daemon*> ready;
  for (const auto& it : daemons_) {
    if (it->in_rotation) {
      ready.push_back(it.get());
    }
  }
  SendJobTo(ready.empty() ? RandomDaemon(job_random_)
                          : *ready[job_random_.Below(ready.size())],
            key);
}

void Soak::SendJobTo(Daemon& daemon, const std::string& key) {
  Job& job = jobs_[key];
  ++job.submissions;
  const nlohmann::json step = {
      {"count", job.tasks}, {"cpu", 8000}, {"memMb", 64}, {"estimateMs", 200}};
  HttpClientRequest request;
  request.method = "POST";
  request.address = proxy_.address(daemon.caller_link);
  request.target = absl::StrCat("/queue/", key);
  request.headers = {"Host: host", "Content-Type: application/json",
                     absl::StrCat("X-Deadline-Ms: ",
                                  absl::ToInt64Milliseconds(kRequestTimeout))};
  request.body = nlohmann::json{
      {"spec", absl::StrCat("spec of ", key)},
      {"steps", {step}},
      {"bestEffort",
       true}}.dump();
  request.timeout = kRequestTimeout;
  log_.Note(clock_, absl::StrCat(key, " submitted to ", daemon.name));
  callers_.Send(std::move(request), [this, key, name = daemon.name,
                                     no_unplanned_fault =
                                         NoRecentUnplannedFault()](
                                        const HttpResult& result) {
    OnAnswer(key, name, no_unplanned_fault && NoRecentUnplannedFault(), result);
  });
}

void Soak::OnAnswer(const std::string& key,
                    const std::string& daemon,
                    bool no_unplanned_fault,
                    const HttpResult& result) {
  if (stopped_) {
    return;
  }
  Job& job = jobs_[key];
  log_.Note(clock_, absl::StrCat(key, " at ", daemon, ": status ",
                                 result.status, " ", result.body.substr(0, 160),
                                 " ", result.error.ToString()));
  const auto answer = [&](std::string text) {
    job.answer = std::move(text);
    job.answer_time = absl::Now();
  };
  job.all_refused =
      job.all_refused && (result.status == 429 || result.status == 503);
  switch (result.status) {
    case 200: {
      const auto body = nlohmann::json::parse(result.body, nullptr, false);
      const std::string state =
          body.is_object() ? body.value("state", "") : std::string();
      if (state == "completed") {
        CheckComplete(key);
      }
      answer(state);
      return;
    }
    case 429:
    case 503:
      answer("refused");
      return;
    case 0:
    case 502:
    case 504:
      break;
    default:
      ReportViolation(absl::StrCat(key, " got status ", result.status));
      answer("unexpected");
      return;
  }
  if (result.error.code == ErrorCode::kDeadlineExceeded ||
      result.status == 504) {
    answer("late");
    return;
  }
  // Planned operations must not break requests. If the connection was refused,
  // no request was lost.
  if (no_unplanned_fault &&
      (result.status == 502 || result.may_have_been_sent)) {
    ReportViolation(absl::StrCat(key,
                                 " lost its connection or got status 502 at ",
                                 daemon, " without an unplanned fault"));
  }
  if (job.submissions >= kMaxSubmissions) {
    answer("given up");
    return;
  }
  loop_.PostDelayed(kResubmissionDelay, [this, key] {
    if (!stopped_) {
      SendJob(key);
    }
  });
}

void Soak::CheckComplete(const std::string& key) {
  for (int i = 0; i < jobs_[key].tasks; ++i) {
    const std::string task = absl::StrCat(key, "/0.0.", i);
    if (!log_.done.contains(task)) {
      ReportViolation(absl::StrCat(
          key, " was reported complete without a finished task ", i));
    }
  }
}

std::string Soak::CheckStart(const RunnerStandin* runner,
                             const StartOrder& order) {
  const PoolClaim claim = ClaimOf(runner->zone());
  log_.Note(clock_, absl::StrCat(order.job_key, "/", order.task_id, " runs on ",
                                 runner->name(), " of zone ", runner->zone(),
                                 " by fence ", order.fence,
                                 "; owner by the row: ", claim.owner,
                                 ", fence ", claim.fence));
  const auto job = jobs_.find(order.job_key);
  if (job == jobs_.end()) {
    return "the job was never submitted";
  }
  if (order.payload != absl::StrCat("spec of ", order.job_key)) {
    return "the payload differs from the submitted one";
  }
  const absl::Time now = absl::Now();
  if (now - job->second.answer_time > kMaxStartAfterAnswer) {
    return "started too long after the job was answered";
  }
  const auto draining = runner->draining_since();
  if (draining.has_value() && NoRecentUnplannedFault() &&
      now - *draining > kDrainBound + kObservationSlack) {
    return "started on a draining runner";
  }
  return {};
}

bool Soak::NoRecentUnplannedFault() const {
  return active_unplanned_faults_ == 0 &&
         absl::Now() - last_unplanned_fault_end_ > kUnguaranteedAfterFault;
}

void Soak::ReportViolation(const std::string& what) {
  log_.Note(clock_, absl::StrCat("violation: ", what));
  log_.violations.push_back(what);
}

void Soak::CheckAtEnd() {
  for (const auto& [key, job] : jobs_) {
    if (job.all_refused && job.answer == "refused" && log_.starts[key] > 0) {
      ReportViolation(
          absl::StrCat(key, " was refused, but a task was started"));
    }
    if (job.answer.empty()) {
      ReportViolation(absl::StrCat(key, " got no answer"));
    }
  }
}

void Soak::Kill(Daemon& daemon) {
  daemon.exit_expected = true;
  daemon.process->Signal(SIGKILL);
}

void Soak::InjectFault(Fault fault) {
  ++result_.fault_count;
  log_.Note(clock_,
            absl::StrCat("fault ", fault.name, " for ",
                         absl::ToInt64Milliseconds(fault.duration), " ms"));
  fault.begin();
  if (!fault.planned) {
    ++active_unplanned_faults_;
  }
  const absl::Duration duration = fault.duration;
  loop_.PostDelayed(duration, [this, fault = std::move(fault)] {
    if (stopped_) {
      return;
    }
    fault.end();
    log_.Note(clock_, absl::StrCat("fault ", fault.name, " ends"));
    if (!fault.planned) {
      --active_unplanned_faults_;
      last_unplanned_fault_end_ = absl::Now();
    }
  });
}

Soak::Fault Soak::MakeRandomFault() {
  const uint64_t kind = random_.Below(20);
  if (kind < 6) {
    return MakeDaemonFault(RandomDaemon(random_), kind);
  }
  if (kind < 10) {
    return MakeStoreFault(kind - 6);
  }
  const size_t n = random_.Below(runners_.size());
  if (kind < 14) {
    return MakeRunnerFault(*runners_[n], kind - 10);
  }
  Daemon& daemon = RandomDaemon(random_);
  switch (kind) {
    case 14:
      return MakeLinkFault(
          runner_links_[n],
          absl::StrCat("link to ", runners_[n]->model().name()));
    case 15:
      return MakeLinkFault(
          daemon.store_link,
          absl::StrCat("link from ", daemon.name, " to the store"));
    case 16:
    case 17:
      return MakeLinkFault(daemon.peer_link,
                           absl::StrCat("link from peers to ", daemon.name));
    case 18:
      return MakeLinkFault(daemon.caller_link,
                           absl::StrCat("link from callers to ", daemon.name));
    default:
      return {"new configuration", absl::Milliseconds(1), true,
              [this] { PutConfig(); }, [] {}};
  }
}

Soak::Fault Soak::MakeTwoPoolsFault() {
  const uint64_t kind = random_.Below(20);
  Daemon& daemon = RandomDaemon(random_);
  const std::string zone = RandomZone(random_);
  const absl::Duration duration = RandomDuration(random_, 1500, 4000);
  const absl::Duration pause = RandomDuration(random_, 300, 1500);
  if (kind < 5) {
    return MakeEntryCut(daemon, duration);
  }
  if (kind < 9) {
    return MakePause(OwnerOf(zone), pause);
  }
  if (kind < 13) {
    return MakeLossOfStops(duration);
  }
  if (kind < 16) {
    return MakeZoneCut(zone, duration);
  }
  return MakeRandomFault();
}

Soak::Fault Soak::MakeEntryCut(Daemon& daemon, absl::Duration duration) {
  const auto partition = static_cast<int>(
      std::find_if(daemons_.begin(), daemons_.end(),
                   [&](const auto& it) { return it.get() == &daemon; }) -
      daemons_.begin());
  const auto cut = [this, &daemon, partition](bool cut_off) {
    CutOff(daemon, partition, cut_off);
  };
  return {absl::StrCat("cut off ", daemon.name), duration, false,
          [cut] { cut(true); }, [cut] { cut(false); }};
}

Soak::Fault Soak::MakeZoneCut(const std::string& zone,
                              absl::Duration duration) {
  const auto cut = [this, zone](bool cut_off) {
    const int partition = kFirstZonePartition + zone.back() - '1';
    for (const auto& it : daemons_) {
      if (it->zone == zone) {
        CutOff(*it, partition, cut_off);
      }
    }
    for (const auto& it : remote_runner_links_) {
      if (it.zone == zone || it.runner_zone == zone) {
        proxy_.SetPartition(it.link, partition, cut_off);
      }
    }
  };
  return {absl::StrCat("cut off zone ", zone), duration, false,
          [cut] { cut(true); }, [cut] { cut(false); }};
}

void Soak::CutOff(Daemon& daemon, int partition, bool cut) {
  daemon.cuts += cut ? 1 : -1;
  for (const size_t link :
       {daemon.caller_link, daemon.peer_link, daemon.store_link}) {
    proxy_.SetPartition(link, partition, cut);
  }
  if (cut) {
    proxy_.ResetCallers(daemon.caller_link);
  }
}

Soak::Fault Soak::MakeLossOfStops(absl::Duration duration) {
  const auto set_share = [this](double share) {
    for (const auto& it : runners_) {
      it->lost_stop_share = share;
    }
  };
  return {absl::StrCat(kLostStopShare, " of the stops are lost"), duration,
          false, [set_share] { set_share(kLostStopShare); },
          [set_share] { set_share(0); }};
}

Soak::Fault Soak::MakePause(Daemon& daemon, absl::Duration duration) {
  return {absl::StrCat("pause ", daemon.name), duration, false,
          [&daemon] {
            daemon.paused = true;
            daemon.process->Signal(SIGSTOP);
          },
          [&daemon] {
            daemon.paused = false;
            daemon.stop_deadline = std::max(daemon.stop_deadline,
                                            absl::Now() + kGracefulStopBound);
            if (!daemon.exit_expected) {
              daemon.stop_deadline = absl::InfiniteFuture();
            }
            daemon.process->Signal(SIGCONT);
          }};
}

PoolClaim Soak::ClaimOf(const std::string& zone) const {
  const std::string value = table_.Get(absl::StrCat("pools/", zone));
  PoolClaim claim;
  if (!value.empty()) {
    msgpack::unpack(value.data(), value.size()).get().convert(claim);
  }
  return claim;
}

Soak::Daemon* Soak::FirstDaemonOf(const std::string& zone) {
  const auto it =
      std::find_if(daemons_.begin(), daemons_.end(),
                   [&](const auto& daemon) { return daemon->zone == zone; });
  return it->get();
}

Soak::Daemon& Soak::OwnerOf(const std::string& zone) {
  const std::string owner = ClaimOf(zone).owner;
  const auto it =
      std::find_if(daemons_.begin(), daemons_.end(),
                   [&](const auto& daemon) { return daemon->name == owner; });
  return it == daemons_.end() ? *FirstDaemonOf(zone) : **it;
}

Soak::Fault Soak::MakeDaemonFault(Daemon& daemon, uint64_t kind) {
  const absl::Duration duration = RandomDuration(random_, 100, 3000);
  switch (kind) {
    case 0:
      // The daemon is restarted within 1.5 s and then needs time to start.
      return {absl::StrCat("kill ", daemon.name), absl::Milliseconds(2500),
              false, [this, &daemon] { Kill(daemon); }, [] {}};
    case 1:
      return {"kill all daemons", absl::Milliseconds(2500), false,
              [this] {
                for (const auto& it : daemons_) {
                  Kill(*it);
                }
              },
              [] {}};
    case 2:
    case 3:
      return MakePause(daemon, duration);
    case 4:
      return {absl::StrCat("stop ", daemon.name), duration, true,
              [&daemon] {
                if (!daemon.exit_expected && daemon.process->running()) {
                  daemon.exit_expected = true;
                  daemon.stop_deadline = absl::Now() + kGracefulStopBound;
                  daemon.process->Signal(SIGTERM);
                }
              },
              [] {}};
    default:
      return {absl::StrCat("reload ", daemon.name), duration, true,
              [&daemon] { daemon.process->Signal(SIGHUP); }, [] {}};
  }
}

Soak::Fault Soak::MakeStoreFault(uint64_t kind) {
  const absl::Duration duration = RandomDuration(random_, 300, 4000);
  switch (kind) {
    case 0:
      return {"store refuses calls", duration, false,
              [this] { table_.faults.unavailable = true; },
              [this] { table_.faults.unavailable = false; }};
    case 1:
      return {"store is slow", duration, false,
              [this] { table_.faults.delay = absl::Milliseconds(300); },
              [this] { table_.faults.delay = absl::ZeroDuration(); }};
    case 2:
      return {"store sends no answers to transactions", duration, false,
              [this] { table_.faults.drop_transaction_answers = true; },
              [this] { table_.faults.drop_transaction_answers = false; }};
    default:
      return {"store drops its history", absl::Milliseconds(1), false,
              [this] { table_.DropHistory(); }, [] {}};
  }
}

Soak::Fault Soak::MakeRunnerFault(RunnerStandin& runner, uint64_t kind) {
  const absl::Duration duration = RandomDuration(random_, 300, 5000);
  const std::string& name = runner.model().name();
  switch (kind) {
    case 0:
      return {absl::StrCat("crash ", name), absl::Milliseconds(1), false,
              [&runner] { runner.Crash(); }, [] {}};
    case 1:
      return {absl::StrCat(name, " fails all runs"), duration, false,
              [&runner] { runner.model().failing = true; },
              [&runner] { runner.model().failing = false; }};
    case 2:
      return {absl::StrCat(name, " executes start orders late"), duration,
              false,
              [&runner, order_delay = RandomDuration(random_, 500, 5000)] {
                runner.start_delay = order_delay;
              },
              [&runner] { runner.start_delay = absl::ZeroDuration(); }};
    default:
      // Draining a runner is a planned operation.
      return {absl::StrCat(name, " drains"), duration + absl::Seconds(3), true,
              [&runner] { runner.SetDraining(true); },
              [&runner] { runner.SetDraining(false); }};
  }
}

Soak::Fault Soak::MakeLinkFault(size_t link, const std::string& name) {
  const absl::Duration duration = RandomDuration(random_, 200, 4000);
  LinkFault fault;
  fault.mode = static_cast<LinkMode>(
      1 + random_.Below(static_cast<uint64_t>(LinkMode::kMaxValue)));
  fault.delay = RandomDuration(random_, 5, 300);
  if (random_.Below(6) == 0) {
    return {absl::StrCat(name, " silent on open connections"), duration, false,
            [this, link] { proxy_.BlackholeOpenConnections(link); }, [] {}};
  }
  return {absl::StrCat(name, " ", std::string(LinkModeName(fault.mode))),
          duration, false,
          [this, link, fault] { proxy_.SetFault(link, fault); },
          [this, link] { proxy_.SetFault(link, {}); }};
}

}  // namespace radishrail
