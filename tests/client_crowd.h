#ifndef RADISHRAIL_TESTS_CLIENT_CROWD_H_
#define RADISHRAIL_TESTS_CLIENT_CROWD_H_

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <utility>
#include <vector>

#include "socket_address.h"

namespace radishrail {

// Connections that send one text each, in turn, and then stay open.
class Crowd {
 public:
  Crowd(const std::string& address, int size, std::string text)
      : text_(std::move(text)) {
    const auto parsed = internal::ParseSocketAddress(address, nullptr);
    for (int i = 0; i < size; ++i) {
      Member it;
      it.fd = internal::FileDescriptor(
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      if (connect(it.fd.get(), parsed->get(), parsed->size) == 0 ||
          errno == EINPROGRESS) {
        members_.push_back(std::move(it));
      }
    }
  }

  // Sends until all texts are sent or their connections closed, or until no
  // connection takes more.
  void Send(size_t piece_bytes) {
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
    }
  }

 private:
  // Pause without progress of any connection, after which a crowd is complete.
  static constexpr int kIdleMs = 1000;

  struct Member {
    internal::FileDescriptor fd;
    size_t sent = 0;
  };

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

  const std::string text_;
  std::vector<Member> members_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_CLIENT_CROWD_H_
