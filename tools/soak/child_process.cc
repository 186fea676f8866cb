#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <utility>

extern char** environ;

namespace radishrail {

namespace {

// More than the processes of a soak; `KillAll` does not reach further ones.
constexpr size_t kMaxTrackedProcesses = 256;
// Ids of the running processes; 0 marks a free entry. Atomic, so that a signal
// handler can read them.
std::array<std::atomic<pid_t>, kMaxTrackedProcesses> running_pids{};

}  // namespace

void ChildProcess::KillAll() {
  for (const auto& it : running_pids) {
    const pid_t pid = it.load();
    if (pid > 0) {
      kill(pid, SIGKILL);
    }
  }
}

void ChildProcess::SetPid(pid_t pid) {
  const pid_t previous = std::exchange(pid_, pid);
  for (auto& it : running_pids) {
    pid_t expected = previous;
    if (it.compare_exchange_strong(expected, pid)) {
      return;
    }
  }
}

ChildProcess::~ChildProcess() {
  if (running()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    SetPid(0);
  }
}

bool ChildProcess::Start() {
  constexpr mode_t kOutputMode = 0644;
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (const auto& it : command_) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   output_path_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int result = posix_spawn(&pid, arguments.front(), &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  SetPid(result == 0 ? pid : 0);
  return running();
}

void ChildProcess::Signal(int signal_number) const {
  if (running()) {
    kill(pid_, signal_number);
  }
}

std::optional<int> ChildProcess::PollExitStatus() {
  int status = 0;
  if (!running() || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  SetPid(0);
  return status;
}

}  // namespace radishrail
