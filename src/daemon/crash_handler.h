#ifndef RADISHRAIL_SRC_DAEMON_CRASH_HANDLER_H_
#define RADISHRAIL_SRC_DAEMON_CRASH_HANDLER_H_

namespace radishrail {

// From now on, a signal that ends the process for a fault of its own writes the
// stack of the thread to standard error first.
void InstallCrashHandler();

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_DAEMON_CRASH_HANDLER_H_
