#ifndef RADISHRAIL_SRC_DAEMON_CRASH_HANDLER_H_
#define RADISHRAIL_SRC_DAEMON_CRASH_HANDLER_H_

namespace radishrail {

// Installs a handler for signals that report a fault of the process, such as
// SIGSEGV and SIGABRT. It writes the stack of the thread to standard error
// before the signal ends the process.
void InstallCrashHandler();

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_DAEMON_CRASH_HANDLER_H_
