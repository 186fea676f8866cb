#include "socket_address.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace radishrail::internal {

namespace {

// Large enough for a burst of clients that reconnect at the same time.
constexpr int kListenBacklog = 1024;

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return port;
}

std::string SystemError(const char* call) {
  return std::string(call) + ": " + std::strerror(errno);
}

}  // namespace

std::optional<SocketAddress> ParseSocketAddress(std::string_view text,
                                                Error* error) {
  const auto fail = [&] {
    return Fail(error, ErrorCode::kInvalidArgument, Step::kSettings,
                "expected \"ip:port\", got \"" + std::string(text) + "\"");
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  const auto port = ParsePort(text.substr(colon + 1));
  std::string host(text.substr(0, colon));
  if (!port) {
    return fail();
  }
  SocketAddress result;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    sockaddr_in6 address = {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(*port);
    if (inet_pton(AF_INET6, host.c_str(), &address.sin6_addr) != 1) {
      return fail();
    }
    std::memcpy(&result.storage, &address, sizeof(address));
    result.size = sizeof(address);
    return result;
  }
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(*port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return fail();
  }
  std::memcpy(&result.storage, &address, sizeof(address));
  result.size = sizeof(address);
  return result;
}

std::string FormatSocketAddress(const sockaddr* address) {
  if (address == nullptr) {
    return {};
  }
  std::array<char, INET6_ADDRSTRLEN> host = {};
  if (address->sa_family == AF_INET) {
    sockaddr_in v4 = {};
    std::memcpy(&v4, address, sizeof(v4));
    inet_ntop(AF_INET, &v4.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(v4.sin_port));
  }
  if (address->sa_family == AF_INET6) {
    sockaddr_in6 v6 = {};
    std::memcpy(&v6, address, sizeof(v6));
    inet_ntop(AF_INET6, &v6.sin6_addr, host.data(), host.size());
    return "[" + std::string(host.data()) +
           "]:" + std::to_string(ntohs(v6.sin6_port));
  }
  return {};
}

std::string WithPort(std::string_view address, uint16_t port) {
  return std::string(address.substr(0, address.rfind(':') + 1)) +
         std::to_string(port);
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    Reset();
    fd_ = other.release();
  }
  return *this;
}

int FileDescriptor::release() {
  return std::exchange(fd_, -1);
}

void FileDescriptor::Reset() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

std::optional<FileDescriptor> ListenOn(std::string_view address,
                                       uint16_t* port,
                                       Error* error,
                                       int buffer_bytes) {
  auto parsed = ParseSocketAddress(address, error);
  if (!parsed) {
    return std::nullopt;
  }
  const auto fail = [&](const char* call) {
    return Fail(error, ErrorCode::kUnreachable, Step::kSettings,
                SystemError(call), std::string(address));
  };
  FileDescriptor fd(
      socket(parsed->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) {
    return fail("socket");
  }
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (buffer_bytes > 0) {
    for (const int option : {SO_RCVBUF, SO_SNDBUF}) {
      setsockopt(fd.get(), SOL_SOCKET, option, &buffer_bytes,
                 sizeof(buffer_bytes));
    }
  }
  if (bind(fd.get(), parsed->get(), parsed->size) != 0) {
    return fail("bind");
  }
  if (listen(fd.get(), kListenBacklog) != 0) {
    return fail("listen");
  }
  if (getsockname(fd.get(), parsed->get(), &parsed->size) != 0) {
    return fail("getsockname");
  }
  // The port has the same offset in sockaddr_in and sockaddr_in6.
  sockaddr_in bound = {};
  std::memcpy(&bound, &parsed->storage, sizeof(bound));
  *port = ntohs(bound.sin_port);
  return fd;
}

}  // namespace radishrail::internal
