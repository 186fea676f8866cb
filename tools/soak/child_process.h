#ifndef RADISHRAIL_TOOLS_SOAK_CHILD_PROCESS_H_
#define RADISHRAIL_TOOLS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace radishrail {

// A child process that appends its output to a file. It is signalled by its
// process id only.
class ChildProcess {
 public:
  ChildProcess(std::vector<std::string> command, std::string output_path)
      : command_(std::move(command)), output_path_(std::move(output_path)) {}
  // Kills the process if it is running, and reaps it.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Kills the processes of all instances. Safe to call in a signal handler.
  static void KillAll();
  // Returns false if the process could not be started.
  bool Start();
  void Signal(int signal_number) const;
  // Returns the status from `waitpid` once the process has exited, and only the
  // first time; does not block.
  std::optional<int> PollExitStatus();
  bool running() const { return pid_ > 0; }
  // The process id; 0 if the process is not running.
  pid_t pid() const { return pid_; }

 private:
  void SetPid(pid_t pid);

  const std::vector<std::string> command_;
  const std::string output_path_;
  pid_t pid_ = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_CHILD_PROCESS_H_
