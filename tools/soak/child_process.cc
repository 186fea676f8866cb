#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace radishrail {

ChildProcess::~ChildProcess() {
  if (running()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
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
  pid_ = result == 0 ? pid : 0;
  return running();
}

void ChildProcess::Signal(int number) const {
  if (running()) {
    kill(pid_, number);
  }
}

std::optional<int> ChildProcess::TakeEnd() {
  int status = 0;
  if (!running() || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = 0;
  return status;
}

}  // namespace radishrail
