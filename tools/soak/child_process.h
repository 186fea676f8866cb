#ifndef RADISHRAIL_TOOLS_SOAK_CHILD_PROCESS_H_
#define RADISHRAIL_TOOLS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace radishrail {

// A child process with its output in a file. It is signalled and ended by its
// id only.
class ChildProcess {
 public:
  ChildProcess(std::vector<std::string> command, std::string output_path)
      : command_(std::move(command)), output_path_(std::move(output_path)) {}
  // Kills the process if it runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Kills the processes of all instances; for signal handlers.
  static void KillAll();
  // False if the process could not be started.
  bool Start();
  void Signal(int number) const;
  // The status of `waitpid` once, after the process has ended.
  std::optional<int> TakeEnd();
  bool running() const { return pid_ > 0; }

 private:
  void SetPid(pid_t pid);

  const std::vector<std::string> command_;
  const std::string output_path_;
  pid_t pid_ = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_CHILD_PROCESS_H_
