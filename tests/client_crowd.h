#ifndef RADISHRAIL_TESTS_CLIENT_CROWD_H_
#define RADISHRAIL_TESTS_CLIENT_CROWD_H_

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <fstream>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "socket_address.h"

namespace radishrail {

inline std::string Repeat(std::string_view text, size_t n) {
  std::string out;
  out.reserve(text.size() * n);
  for (size_t i = 0; i < n; ++i) {
    out.append(text);
  }
  return out;
}

// Bytes in the queues of sockets.
struct SocketQueues {
  int64_t unread = 0;  // received, not read by the process
  int64_t unsent = 0;  // written by the process, not acknowledged
};

// The queues of all open connections whose local port is that of `address`, as
// the kernel reports them.
inline SocketQueues ReadSocketQueues(const std::string& address) {
  const std::string kEstablished = "01";
  const std::string kCloseWait = "08";
  int port = 0;
  if (!absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port)) {
    return {};
  }
  const std::string suffix =
      absl::StrCat(":", absl::Hex(port, absl::kZeroPad4));
  std::ifstream table("/proc/net/tcp");
  std::string line;
  SocketQueues queues;
  while (std::getline(table, line)) {
    const std::vector<std::string> fields =
        absl::StrSplit(line, ' ', absl::SkipEmpty());
    constexpr size_t kLocalAddress = 1;
    constexpr size_t kState = 3;
    constexpr size_t kQueues = 4;
    if (fields.size() <= kQueues ||
        !absl::EndsWithIgnoreCase(fields[kLocalAddress], suffix) ||
        (fields[kState] != kEstablished && fields[kState] != kCloseWait)) {
      continue;
    }
    const std::vector<std::string> sizes = absl::StrSplit(fields[kQueues], ':');
    int64_t unsent = 0;
    int64_t unread = 0;
    if (sizes.size() == 2 && absl::SimpleHexAtoi(sizes[0], &unsent) &&
        absl::SimpleHexAtoi(sizes[1], &unread)) {
      queues.unsent += unsent;
      queues.unread += unread;
    }
  }
  return queues;
}

// Connections that send one text each, in turn, and then stay open.
class Crowd {
 public:
  // Called between pieces, for example to measure.
  using OnProgress = std::function<void()>;

  // `receive_buffer`: size of the buffers for answers, which the crowd does not
  // read; 0: that of the system.
  Crowd(const std::string& address,
        int size,
        std::string text,
        int receive_buffer = 0)
      : address_(*internal::ParseSocketAddress(address, nullptr)),
        receive_buffer_(receive_buffer),
        text_(std::move(text)),
        members_(static_cast<size_t>(size)) {
    Return();
  }

  // Connects those again whose connections were closed.
  void Return() {
    for (auto& it : members_) {
      if (!it.fd.valid()) {
        it = {Connect(), 0};
      }
    }
  }

  // Sends until all texts are sent or their connections closed, or until no
  // connection takes more.
  void Send(
      size_t piece_bytes,
      const OnProgress& on_progress = [] {}) {
    while (true) {
      std::vector<pollfd> sockets;
      std::vector<Member*> open;
      for (auto& it : members_) {
        if (it.fd.valid() && it.sent < text_.size()) {
          sockets.push_back({it.fd.get(), POLLOUT, 0});
          open.push_back(&it);
        }
      }
      if (sockets.empty() ||
          poll(sockets.data(), sockets.size(), kIdleMs) <= 0) {
        return;
      }
      for (size_t i = 0; i < sockets.size(); ++i) {
        if (sockets[i].revents != 0) {
          SendPiece(*open[i], piece_bytes);
        }
      }
      on_progress();
    }
  }

 private:
  // Pause without progress of any connection, after which a crowd is complete.
  static constexpr int kIdleMs = 1000;

  struct Member {
    internal::FileDescriptor fd;
    size_t sent = 0;
  };

  // Invalid if the connection fails at once.
  internal::FileDescriptor Connect() const {
    internal::FileDescriptor fd(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    if (receive_buffer_ > 0) {
      setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_,
                 sizeof(receive_buffer_));
    }
    if (connect(fd.get(), address_.get(), address_.size) != 0 &&
        errno != EINPROGRESS) {
      fd.Reset();
    }
    return fd;
  }

  void SendPiece(Member& member, size_t piece_bytes) {
    const size_t n = std::min(piece_bytes, text_.size() - member.sent);
    const ssize_t sent = send(member.fd.get(), text_.data() + member.sent, n,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      member.sent += static_cast<size_t>(sent);
    } else if (errno != EAGAIN) {
      member.fd.Reset();
    }
  }

  internal::SocketAddress address_;
  int receive_buffer_;
  std::string text_;
  std::vector<Member> members_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_CLIENT_CROWD_H_
