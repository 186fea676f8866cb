#ifndef RADISHRAIL_SRC_SOCKET_ADDRESS_H_
#define RADISHRAIL_SRC_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "radishrail/error.h"

namespace radishrail::internal {

// IPv4 or IPv6 address and port in the form that socket calls use.
struct SocketAddress {
  sockaddr_storage storage = {};
  socklen_t size = 0;

  int family() const { return storage.ss_family; }
  const sockaddr* get() const {
    return static_cast<const sockaddr*>(static_cast<const void*>(&storage));
  }
  sockaddr* get() {
    return static_cast<sockaddr*>(static_cast<void*>(&storage));
  }
};

// Parses "ip:port" or "[ip6]:port". Names are not resolved.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text,
                                                Error* error);
// "ip:port" or "[ip6]:port"; empty if the family is neither.
std::string FormatSocketAddress(const sockaddr* address);
// "ip:port" with the port replaced.
std::string WithPort(std::string_view address, uint16_t port);

// Owns a file descriptor.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  ~FileDescriptor() { Reset(); }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  int release();
  void Reset();

 private:
  int fd_ = -1;
};

// Opens a non-blocking listening socket and stores the bound port in `port`.
// `buffer_bytes`: size of the receive and of the send buffer of each connection
// that it accepts; 0: the system's, which grow with the traffic.
std::optional<FileDescriptor> ListenOn(std::string_view address,
                                       uint16_t* port,
                                       Error* error,
                                       int buffer_bytes = 0);

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_SOCKET_ADDRESS_H_
