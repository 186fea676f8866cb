#ifndef RADISHRAIL_TOOLS_SOAK_RUNNER_STANDIN_H_
#define RADISHRAIL_TOOLS_SOAK_RUNNER_STANDIN_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "pool_world.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_server.h"
#include "table_standin.h"

namespace radishrail {

// Stand-in for a runner of the users' platform: serves the platform's HTTP
// calls from the tests' model of a runner and writes the runner's entry to the
// table. All state is used on the loop's thread only.
class RunnerStandin {
 public:
  static constexpr absl::Duration kMaxRunTime = absl::Milliseconds(400);
  // Checks an order for which the runner has just started a run; returns a
  // description of the fault, empty if the order is correct.
  using StartCheck = std::function<std::string(const StartOrder& order)>;

  RunnerStandin(ControlLoop& loop,
                const Clock& clock,
                RunLog& log,
                TableStandin& table,
                std::string name,
                std::string zone,
                StartCheck check);

  bool Start(Error* error) { return server_.Start(error); }
  void Stop() { server_.Stop(absl::ZeroDuration()); }
  std::string address() const { return server_.address(); }
  // Sets the address in the entry, that of the proxy's link to this runner.
  void SetEntryAddress(std::string address) {
    entry_address_ = std::move(address);
  }

  // Writes the entry with a new sequence number, as a heartbeat.
  void WriteEntry();
  void Crash();
  void SetDraining(bool draining);
  // The time at which the entry was set to draining, or nullopt.
  std::optional<absl::Time> draining_since() const { return draining_since_; }
  FakeRunner& model() { return model_; }
  const std::string& name() const { return model_.name(); }
  const std::string& zone() const { return zone_; }

  // If not zero, start orders are executed after this delay, without an answer.
  absl::Duration start_delay;
  // Longest run time; each is drawn between a share of it and all of it.
  absl::Duration max_run_time = kMaxRunTime;
  double least_run_time_share = 0.1;
  // This many of the next stop orders are dropped without an answer.
  int stops_to_drop = 0;
  // This share of stop orders is lost: half of them before they are executed,
  // half of them with the answer.
  double lost_stop_share = 0;

 private:
  void HandleRequest(const HttpRequest& request, const HttpResponder& respond);
  void StartRun(const StartOrder& order, const HttpResponder& respond);
  void StopRun(const StopOrder& order, const HttpResponder& respond);

  ControlLoop& loop_;
  const Clock& clock_;
  RunLog& log_;
  TableStandin& table_;
  const std::string zone_;
  const StartCheck start_check_;
  FakeRunner model_;
  std::string entry_address_;
  std::optional<absl::Time> draining_since_;
  int64_t heartbeats_ = 0;
  SeededRandom random_;
  HttpServer server_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_RUNNER_STANDIN_H_
