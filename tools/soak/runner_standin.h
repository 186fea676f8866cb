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

// A runner of the users' platform: the tests' model of its rules behind the
// platform's HTTP calls, with an entry in the table. All state is used on the
// loop's thread only.
class RunnerStandin {
 public:
  // Checks an order that a runner is about to carry out; returns what is wrong
  // with it, empty if nothing is.
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
  // The address in the entry: that of the link to this runner.
  void SetEntryAddress(std::string address) { entry_ = std::move(address); }

  // Writes the entry, as a heartbeat.
  void WriteEntry();
  void Crash();
  void SetDraining(bool draining);
  // When the table took over that the runner drains.
  std::optional<absl::Time> draining_since() const { return draining_since_; }
  FakeRunner& model() { return model_; }

  // Orders to start are carried out this much later and are not answered.
  absl::Duration late_by;
  // Longest run time; the shortest is a tenth of it.
  absl::Duration max_run_time = absl::Milliseconds(400);

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void StartRun(const StartOrder& order, const HttpResponder& respond);

  ControlLoop& loop_;
  RunLog& log_;
  TableStandin& table_;
  const std::string zone_;
  const StartCheck check_;
  FakeRunner model_;
  std::string entry_;
  std::optional<absl::Time> draining_since_;
  int64_t heartbeats_ = 0;
  SeededRandom random_;
  HttpServer server_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_RUNNER_STANDIN_H_
