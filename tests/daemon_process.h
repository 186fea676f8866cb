#ifndef RADISHRAIL_TESTS_DAEMON_PROCESS_H_
#define RADISHRAIL_TESTS_DAEMON_PROCESS_H_

#include <sys/types.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "absl/strings/str_cat.h"
#include "socket_address.h"

// Helpers of tests that start the daemon as a process.
namespace radishrail {

// A port below those that the system gives to outgoing connections, which could
// take it before the daemon listens.
inline int FreePort() {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 10000;
  static int next = getpid() * 64;
  while (true) {
    const int port = kFirstPort + next++ % kPorts;
    uint16_t bound = 0;
    if (internal::ListenOn(absl::StrCat("127.0.0.1:", port), &bound, nullptr)) {
      return port;
    }
  }
}

// The daemon of this build; the variable names that of another one.
inline std::string DaemonPath() {
  const char* path = std::getenv("RADISHRAIL_TEST_DAEMON");
  return path != nullptr ? path : RADISHRAILD_PATH;
}

// A size from the process's status, such as "VmRSS:", in KiB; 0 if it has
// ended.
inline int64_t ReadStatusKb(pid_t pid, const std::string& field) {
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  std::string name;
  int64_t kb = 0;
  while (status >> name) {
    if (name == field && status >> kb) {
      return kb;
    }
  }
  return 0;
}

// Open file descriptors of the process.
inline int CountDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      absl::StrCat("/proc/", pid, "/fd"), error);
  return static_cast<int>(std::distance(begin(files), end(files)));
}

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_DAEMON_PROCESS_H_
