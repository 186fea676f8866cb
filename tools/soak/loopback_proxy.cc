#include "loopback_proxy.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "absl/time/clock.h"
#include "name_table.h"

namespace radishrail {

namespace {

constexpr std::array<std::string_view, 6> kModeNames = {
    "open", "delayed", "silent", "forward_cut", "return_cut", "refused"};
// Limit of the bytes buffered for one direction whose receiver does not read.
constexpr size_t kMaxHeldBytes = 256 * 1024;
constexpr size_t kReadBytes = 16 * 1024;
// Longest delays until a new fault is applied, and, while bytes are buffered,
// until a due chunk is sent.
constexpr int kPollMs = 10;
constexpr int kBusyPollMs = 2;

}  // namespace

std::string_view LinkModeName(LinkMode mode) {
  return internal::NameOf(kModeNames, mode);
}

std::optional<size_t> LoopbackProxy::AddLink(const std::string& target,
                                             Error* error) {
  auto link = std::make_unique<Link>();
  uint16_t port = 0;
  auto listener = internal::ListenOn("127.0.0.1:0", &port, error);
  if (!listener.has_value()) {
    return std::nullopt;
  }
  link->listener = *std::move(listener);
  link->address = internal::WithPort("127.0.0.1:0", port);
  link->target = target;
  links_.push_back(std::move(link));
  return links_.size() - 1;
}

void LoopbackProxy::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LoopbackProxy::Stop() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  links_.clear();
}

void LoopbackProxy::SetFault(size_t link, const LinkFault& fault) {
  const std::lock_guard lock(mutex_);
  links_[link]->fault = fault;
}

void LoopbackProxy::SilenceConnections(size_t link) {
  const std::lock_guard lock(mutex_);
  links_[link]->silence_present = true;
}

void LoopbackProxy::Run() {
  std::vector<pollfd> sockets;
  while (!stopping_) {
    sockets.clear();
    bool holds_bytes = false;
    for (const auto& it : links_) {
      TakeFault(*it);
      sockets.push_back({it->listener.get(), POLLIN, 0});
      for (const auto& connection : it->connections) {
        const auto wait_for = [&](const Stream& stream, LinkMode cut, int fd) {
          if (Passes(*it, *connection, cut) && !stream.ended) {
            sockets.push_back({fd, POLLIN, 0});
          }
          holds_bytes = holds_bytes || !stream.chunks.empty();
        };
        wait_for(connection->forward, LinkMode::kForwardCut,
                 connection->caller.get());
        wait_for(connection->back, LinkMode::kReturnCut,
                 connection->target.get());
      }
    }
    poll(sockets.data(), sockets.size(), holds_bytes ? kBusyPollMs : kPollMs);
    for (const auto& it : links_) {
      Serve(*it);
    }
  }
}

void LoopbackProxy::TakeFault(Link& link) {
  const std::lock_guard lock(mutex_);
  link.present = link.fault;
  if (std::exchange(link.silence_present, false)) {
    for (const auto& it : link.connections) {
      it->silent = true;
    }
  }
}

bool LoopbackProxy::Passes(const Link& link,
                           const Connection& connection,
                           LinkMode cut) {
  const LinkMode mode = link.present.mode;
  return !connection.silent && !connection.broken &&
         mode != LinkMode::kSilent && mode != cut;
}

void LoopbackProxy::Serve(Link& link) {
  Accept(link);
  const absl::Duration delay = link.present.mode == LinkMode::kDelayed
                                   ? link.present.delay
                                   : absl::ZeroDuration();
  for (const auto& it : link.connections) {
    if (link.present.mode == LinkMode::kRefused) {
      Reset(*it);
    }
    if (Passes(link, *it, LinkMode::kForwardCut)) {
      Pass(*it, it->forward, it->caller.get(), it->target.get(), delay);
    }
    if (Passes(link, *it, LinkMode::kReturnCut)) {
      Pass(*it, it->back, it->target.get(), it->caller.get(), delay);
    }
  }
  std::erase_if(link.connections, [](const auto& it) {
    return it->broken || (it->forward.end_passed && it->back.end_passed);
  });
}

void LoopbackProxy::Accept(Link& link) {
  while (true) {
    internal::FileDescriptor caller(accept4(
        link.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!caller.valid()) {
      return;
    }
    auto connection = std::make_unique<Connection>();
    connection->caller = std::move(caller);
    const auto target = internal::ParseSocketAddress(link.target, nullptr);
    connection->target = internal::FileDescriptor(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    // A non-blocking connect that fails later is reported by the first read.
    const bool connected =
        link.present.mode != LinkMode::kRefused &&
        (connect(connection->target.get(), target->get(), target->size) == 0 ||
         errno == EINPROGRESS);
    if (connected) {
      link.connections.push_back(std::move(connection));
    } else {
      Reset(*connection);
    }
  }
}

void LoopbackProxy::Pass(Connection& connection,
                         Stream& stream,
                         int source,
                         int target,
                         absl::Duration delay) {
  const absl::Time now = absl::Now();
  std::array<char, kReadBytes> buf;
  while (!stream.ended && stream.bytes < kMaxHeldBytes) {
    const ssize_t n = recv(source, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
      stream.chunks.push_back(
          {std::string(buf.data(), static_cast<size_t>(n)), 0, now + delay});
      stream.bytes += static_cast<size_t>(n);
    } else if (n == 0) {
      stream.ended = true;
    } else if (errno == EAGAIN || errno == EINTR) {
      break;
    } else {
      Reset(connection);
      return;
    }
  }
  while (!stream.chunks.empty() && stream.chunks.front().due <= now) {
    Chunk& chunk = stream.chunks.front();
    const ssize_t n =
        send(target, chunk.bytes.data() + chunk.offset,
             chunk.bytes.size() - chunk.offset, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        Reset(connection);
      }
      return;
    }
    chunk.offset += static_cast<size_t>(n);
    stream.bytes -= static_cast<size_t>(n);
    if (chunk.offset == chunk.bytes.size()) {
      stream.chunks.pop_front();
    }
  }
  if (stream.ended && stream.chunks.empty() && !stream.end_passed) {
    stream.end_passed = true;
    shutdown(target, SHUT_WR);
  }
}

// With a linger time of 0, closing the sockets sends both ends a reset instead
// of an orderly end of the stream.
void LoopbackProxy::Reset(Connection& connection) {
  const linger abort = {1, 0};
  for (const int fd : {connection.caller.get(), connection.target.get()}) {
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }
  connection.broken = true;
}

}  // namespace radishrail
