#ifndef RADISHRAIL_TOOLS_SOAK_SOAK_H_
#define RADISHRAIL_TOOLS_SOAK_SOAK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "child_process.h"
#include "loopback_proxy.h"
#include "pool_world.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_client.h"
#include "radishrail/peer_message.h"
#include "radishrail/random.h"
#include "runner_standin.h"
#include "table_standin.h"

namespace radishrail {

// Which faults are injected at random.
enum class FaultSet {
  kGeneral,
  // Mostly faults that may leave a run of a job in one pool when the job is
  // submitted again and goes to another pool.
  kTwoPools,
  kMaxValue = kTwoPools,
};
inline constexpr std::array<std::string_view, 2> kFaultSetNames = {"general",
                                                                   "two_pools"};

// One job whose run is at work in the pool of d2 or d3 when its client's
// connection is reset; it is submitted again to a daemon of the other zone.
enum class Scenario {
  kNone,         // random faults
  kEntryCut,     // the entry daemon, of d1, is cut off silently
  kStopsLost,    // kEntryCut, and the runner loses two stops
  kOwnerPaused,  // kEntryCut, and the owner pauses from 0.6 s on for 0.8 s
  kZoneCut,  // d2 is cut off with the entry daemon, the owner and the runner
  kMaxValue = kZoneCut,
};
inline constexpr std::array<std::string_view, 5> kScenarioNames = {
    "none", "entry_cut", "stops_lost", "owner_paused", "zone_cut"};

struct SoakOptions {
  std::string daemon_path;  // program radishraild
  std::string directory;    // for settings and logs
  FaultSet faults = FaultSet::kGeneral;
  Scenario scenario = Scenario::kNone;
  int zones = 2;  // failure domains, d1 and so on; taken by daemons in turn
  int daemons = 4;
  int runners = 8;
  int first_port = 12000;  // four ports per daemon
  absl::Duration fault_period = absl::Seconds(15);
  absl::Duration mean_job_interval = absl::Milliseconds(70);
};

struct SoakResult {
  std::vector<std::string> violations;
  std::string trace;  // events that concern the first violation
  std::map<std::string, int> answers;
  int fault_count = 0;
  int start_count = 0;
};

// Runs daemons as processes for some time, injects faults from outside, and
// checks what callers and runners observe. The seed determines the faults and
// the jobs; how they interleave depends on the timing of the machine.
class Soak {
 public:
  Soak(const SoakOptions& options, uint64_t seed);
  ~Soak();

  std::optional<SoakResult> Run(Error* error);

 private:
  struct Daemon {
    std::string name;
    std::string zone;
    std::unique_ptr<ChildProcess> process;
    size_t caller_link = 0;
    size_t peer_link = 0;
    size_t store_link = 0;
    std::string caller_address;
    std::string operator_address;
    std::string ready_address;
    bool exit_expected = false;  // a signal to kill or stop was sent
    absl::Time stop_deadline = absl::InfiniteFuture();
    absl::Time start_time;
    bool paused = false;
    int cuts = 0;  // active faults that cut it off from callers
    bool in_rotation = false;
    int64_t config_version = 0;  // last reported
  };

  struct Job {
    int tasks = 0;
    int submissions = 0;
    bool all_refused = true;
    std::string answer;  // empty: none yet
    absl::Time answer_time = absl::InfiniteFuture();
  };

  struct Fault {
    std::string name;
    absl::Duration duration;
    // A graceful stop, reload, drain or new configuration: guarantees hold.
    bool planned = false;
    std::function<void()> begin;
    std::function<void()> end;
  };

  bool Prepare(Error* error);
  bool AddRunner(int i, Error* error);
  bool WriteSettings(const Daemon& daemon, Error* error) const;
  void StartDaemon(Daemon& daemon);
  void RunScenario();
  // Returns the runner of the job's run, or nullptr if all jobs were refused.
  RunnerStandin* StartScenarioJob(Daemon& entry);

  // The functions below, up to `CheckAtEnd`, run on the loop's thread.
  void Tick();
  void CheckProcesses();
  void Probe(Daemon& daemon);
  void OnMetrics(Daemon& daemon, const std::string& text);
  void WriteHeartbeats();
  void PutConfig();
  void SubmitJob();
  void SendJob(const std::string& key);
  void SendJobTo(Daemon& daemon, const std::string& key);
  void OnAnswer(const std::string& key,
                const std::string& daemon,
                bool no_unplanned_fault,
                const HttpResult& result);
  void CheckComplete(const std::string& key);
  std::string CheckStart(const RunnerStandin* runner, const StartOrder& order);
  void InjectFault(Fault fault);
  Fault MakeRandomFault();
  Fault MakeTwoPoolsFault();
  // Links are cut off silently, but for connections among daemons and runners
  // on the same side; the callers' connections are reset.
  Fault MakeEntryCut(Daemon& daemon, absl::Duration duration);
  Fault MakeZoneCut(const std::string& zone, absl::Duration duration);
  Fault MakePause(Daemon& daemon, absl::Duration duration);
  Fault MakeLossOfStops(absl::Duration duration);
  Fault MakeDaemonFault(Daemon& daemon, uint64_t kind);
  Fault MakeStoreFault(uint64_t kind);
  Fault MakeRunnerFault(RunnerStandin& runner, uint64_t kind);
  Fault MakeLinkFault(size_t link, const std::string& name);
  void CutOff(Daemon& daemon, int partition, bool cut);
  void Kill(Daemon& daemon);
  void ReportViolation(const std::string& what);
  // Returns true if no unplanned fault is active or ended recently.
  bool NoRecentUnplannedFault() const;
  Daemon& RandomDaemon(Random& random) {
    return *daemons_[random.Below(daemons_.size())];
  }
  std::string RandomZone(Random& random) const {
    return absl::StrCat(
        "d", 1 + random.Below(static_cast<uint64_t>(options_.zones)));
  }
  // The daemon that owns the pool by its row; the zone's first one if none.
  Daemon& OwnerOf(const std::string& zone);
  Daemon* FirstDaemonOf(const std::string& zone);
  PoolClaim ClaimOf(const std::string& zone) const;
  void CheckAtEnd();
  void Finish();
  // Runs a function on the loop's thread and waits until it returns.
  void RunOnLoop(const std::function<void()>& call);

  const SoakOptions options_;
  // Faults have their own generator, so that a seed gives the same faults
  // however many jobs are submitted meanwhile.
  SeededRandom random_;
  SeededRandom job_random_;
  SystemClock clock_;
  RunLog log_;
  ControlLoop loop_;
  HttpClient callers_;
  HttpClient probes_;
  TableStandin table_;
  LoopbackProxy proxy_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::unique_ptr<RunnerStandin>> runners_;
  std::vector<size_t> runner_links_;  // used by the runner's own zone
  // Links to the runners from the daemons of other zones.
  struct RemoteRunnerLink {
    std::string zone;  // of the daemons
    std::string runner_zone;
    std::string own_address;  // of the link in `runner_links_`
    size_t link = 0;
  };
  std::vector<RemoteRunnerLink> remote_runner_links_;
  Daemon* second_entry_ = nullptr;  // scenarios: gets repeated submissions
  std::map<std::string, Job> jobs_;
  SoakResult result_;
  bool submitting_ = true;
  bool injecting_faults_ = false;
  bool stopped_ = false;
  int active_unplanned_faults_ = 0;
  absl::Time last_unplanned_fault_end_ = absl::InfinitePast();
  int64_t config_version_ = 0;
  absl::Time config_put_time_;
  uint64_t next_job_number_ = 0;
  absl::Time next_fault_time_;
  absl::Time next_probe_time_;
  absl::Time next_job_time_;
  absl::Time next_heartbeat_time_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_SOAK_H_
