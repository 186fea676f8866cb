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
constexpr size_t kMaxBufferedBytes = 256 * 1024;
constexpr size_t kReadBufferBytes = 16 * 1024;
// Longest delays until a new fault is applied, and, while bytes are buffered,
// until a due chunk is sent.
constexpr int kIdlePollMs = 10;
constexpr int kBufferedPollMs = 2;

}  // namespace

std::string_view LinkModeName(LinkMode mode) {
  return internal::NameOf(kModeNames, mode);
}

std::optional<size_t> LoopbackProxy::AddLink(const std::string& target,
                                             Error* error,
                                             bool from_peers) {
  auto link = std::make_unique<Link>();
  uint16_t port = 0;
  auto listener = internal::ListenOn("127.0.0.1:0", &port, error);
  if (!listener.has_value()) {
    return std::nullopt;
  }
  link->listener = *std::move(listener);
  link->address = internal::WithPort("127.0.0.1:0", port);
  link->target = target;
  link->from_peers = from_peers;
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
  links_[link]->requested_fault = fault;
}

void LoopbackProxy::BlackholeOpenConnections(size_t link) {
  const std::lock_guard lock(mutex_);
  links_[link]->blackhole_open_connections = true;
}

void LoopbackProxy::SetPartition(size_t link, int partition, bool member) {
  const std::lock_guard lock(mutex_);
  const uint64_t bit = uint64_t{1} << partition;
  uint64_t& partitions = links_[link]->requested_partitions;
  partitions = member ? partitions | bit : partitions & ~bit;
}

void LoopbackProxy::ResetCallers(size_t link) {
  const std::lock_guard lock(mutex_);
  links_[link]->reset_callers = true;
}

void LoopbackProxy::Run() {
  std::vector<pollfd> sockets;
  while (!stopping_) {
    sockets.clear();
    bool has_buffered_bytes = false;
    for (const auto& it : links_) {
      ApplyRequestedFault(*it);
      sockets.push_back({it->listener.get(), POLLIN, 0});
      for (const auto& connection : it->connections) {
        const auto poll_source = [&](const Stream& stream, LinkMode cut,
                                     int fd) {
          if (IsDirectionOpen(*it, *connection, cut) && !stream.end_received) {
            sockets.push_back({fd, POLLIN, 0});
          }
          has_buffered_bytes = has_buffered_bytes || !stream.chunks.empty();
        };
        poll_source(connection->to_target, LinkMode::kForwardCut,
                    connection->caller.get());
        poll_source(connection->to_caller, LinkMode::kReturnCut,
                    connection->target.get());
      }
    }
    poll(sockets.data(), sockets.size(),
         has_buffered_bytes ? kBufferedPollMs : kIdlePollMs);
    for (const auto& it : links_) {
      ServeLink(*it);
    }
  }
}

void LoopbackProxy::ApplyRequestedFault(Link& link) {
  const std::lock_guard lock(mutex_);
  link.applied_fault = link.requested_fault;
  link.partitions = link.requested_partitions;
  if (std::exchange(link.reset_callers, false)) {
    for (const auto& it : link.connections) {
      ResetOnClose(it->caller.get());
      it->caller = internal::FileDescriptor();
      it->caller_reset = true;
    }
  }
  if (std::exchange(link.blackhole_open_connections, false)) {
    for (const auto& it : link.connections) {
      it->blackholed = true;
    }
  }
}

bool LoopbackProxy::IsDirectionOpen(const Link& link,
                                    const Connection& connection,
                                    LinkMode cut) {
  const LinkMode mode = link.applied_fault.mode;
  const uint64_t caller_partitions = connection.caller_link == nullptr
                                         ? 0
                                         : connection.caller_link->partitions;
  return !connection.blackholed && !connection.reset &&
         !connection.caller_reset && caller_partitions == link.partitions &&
         mode != LinkMode::kBlackhole && mode != cut;
}

void LoopbackProxy::ServeLink(Link& link) {
  Accept(link);
  const absl::Duration delay = link.applied_fault.mode == LinkMode::kDelayed
                                   ? link.applied_fault.delay
                                   : absl::ZeroDuration();
  for (const auto& it : link.connections) {
    if (link.applied_fault.mode == LinkMode::kRefused ||
        (it->caller_reset && link.partitions == 0)) {
      Reset(*it);
    }
    if (link.from_peers && it->caller_link == nullptr) {
      IdentifyCaller(*it);
    }
    if (IsDirectionOpen(link, *it, LinkMode::kForwardCut)) {
      ForwardBytes(*it, it->to_target, it->caller.get(), it->target.get(),
                   delay);
    }
    if (IsDirectionOpen(link, *it, LinkMode::kReturnCut)) {
      ForwardBytes(*it, it->to_caller, it->target.get(), it->caller.get(),
                   delay);
    }
  }
  std::erase_if(link.connections, [](const auto& it) {
    return it->reset ||
           (it->to_target.end_forwarded && it->to_caller.end_forwarded);
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
        link.applied_fault.mode != LinkMode::kRefused &&
        (connect(connection->target.get(), target->get(), target->size) == 0 ||
         errno == EINPROGRESS);
    if (connected) {
      link.connections.push_back(std::move(connection));
    } else {
      Reset(*connection);
    }
  }
}

void LoopbackProxy::IdentifyCaller(Connection& connection) const {
  std::array<char, kReadBufferBytes> buf;
  const ssize_t n = recv(connection.caller.get(), buf.data(), buf.size(),
                         MSG_DONTWAIT | MSG_PEEK);
  const std::string_view hello(buf.data(),
                               static_cast<size_t>(std::max<ssize_t>(n, 0)));
  // Messages after the first may name other daemons.
  size_t first = std::string_view::npos;
  for (const auto& it : links_) {
    const size_t at =
        it->from_peers ? hello.find(it->address) : std::string_view::npos;
    if (at < first) {
      first = at;
      connection.caller_link = it.get();
    }
  }
}

void LoopbackProxy::ForwardBytes(Connection& connection,
                                 Stream& stream,
                                 int source,
                                 int target,
                                 absl::Duration delay) {
  const absl::Time now = absl::Now();
  std::array<char, kReadBufferBytes> buf;
  while (!stream.end_received && stream.bytes < kMaxBufferedBytes) {
    const ssize_t n = recv(source, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
      stream.chunks.push_back(
          {std::string(buf.data(), static_cast<size_t>(n)), 0, now + delay});
      stream.bytes += static_cast<size_t>(n);
    } else if (n == 0) {
      stream.end_received = true;
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
  if (stream.end_received && stream.chunks.empty() && !stream.end_forwarded) {
    stream.end_forwarded = true;
    shutdown(target, SHUT_WR);
  }
}

// With a linger time of 0, closing the socket sends the other end a reset
// instead of an orderly end of the stream.
void LoopbackProxy::ResetOnClose(int fd) {
  const linger reset_on_close = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
}

void LoopbackProxy::Reset(Connection& connection) {
  ResetOnClose(connection.caller.get());
  ResetOnClose(connection.target.get());
  connection.reset = true;
}

}  // namespace radishrail
