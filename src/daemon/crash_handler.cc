#include "crash_handler.h"

#include <execinfo.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <string_view>

namespace radishrail {

namespace {

constexpr int kMaxFrames = 64;

void WriteStack(int signal_number) {
  constexpr std::string_view kHeading = "*** fatal signal; stack trace:\n";
  std::array<void*, kMaxFrames> frames;
  if (write(STDERR_FILENO, kHeading.data(), kHeading.size()) > 0) {
    backtrace_symbols_fd(frames.data(), backtrace(frames.data(), kMaxFrames),
                         STDERR_FILENO);
  }
  // SA_RESETHAND has restored the default action, which ends the process.
  raise(signal_number);
}

}  // namespace

void InstallCrashHandler() {
  // The first call of backtrace() loads a library, which a signal handler must
  // not do.
  std::array<void*, 1> frame;
  backtrace(frame.data(), static_cast<int>(frame.size()));
  struct sigaction action = {};
  action.sa_handler = &WriteStack;
  action.sa_flags = SA_RESETHAND | SA_NODEFER;
  for (const int it : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
    sigaction(it, &action, nullptr);
  }
}

}  // namespace radishrail
