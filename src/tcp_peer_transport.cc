#include "radishrail/tcp_peer_transport.h"

#include <netinet/tcp.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <deque>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "radishrail/document.h"
#include "radishrail/log.h"
#include "radishrail/random.h"
#include "socket_address.h"

namespace radishrail {

namespace {

constexpr size_t kPrefixBytes = 4;
// Limits the memory that an unauthenticated peer can use.
constexpr size_t kMaxHelloBytes = 4096;
constexpr size_t kReadBytes = 64 * 1024;
// Limits the reads per event, so that a fast peer does not delay the others.
constexpr int kReadsPerEvent = 16;
// Frames are moved from a peer's queue to the write buffer of its connection
// until the buffer has this size.
constexpr size_t kSendBatchBytes = 256 * 1024;
// Reading from a connection is paused while more than this waits on the
// executor, and resumed at half of it.
constexpr size_t kMaxUndeliveredBytes = 16 * 1024 * 1024;
constexpr absl::Duration kResumeCheck = absl::Milliseconds(5);
constexpr absl::Duration kAcceptRetry = absl::Milliseconds(100);
constexpr absl::Duration kLogInterval = absl::Seconds(1);
// The kernel closes a connection whose sent data stays unacknowledged for this
// long; by default it would take many minutes to detect a partition.
constexpr int kUserTimeoutMs = 10000;
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 3;
// Beyond this number of links, those without a connection are removed.
constexpr size_t kMaxLinks = 16384;
constexpr int kMaxEvents = 64;
constexpr int kMaxDoublings = 16;

constexpr uint64_t kWakeId = 0;
constexpr uint64_t kListenerId = 1;

std::string Frame(const PeerMessage& message) {
  const std::string payload = EncodePeerMessage(message);
  const auto n = static_cast<uint32_t>(payload.size());
  std::string frame;
  frame.reserve(kPrefixBytes + payload.size());
  for (const int shift : {24, 16, 8, 0}) {
    frame.push_back(static_cast<char>((n >> shift) & 0xFF));
  }
  frame.append(payload);
  return frame;
}

size_t PayloadSize(const char* prefix) {
  size_t n = 0;
  for (size_t i = 0; i < kPrefixBytes; ++i) {
    n = (n << 8) | static_cast<unsigned char>(prefix[i]);
  }
  return n;
}

void SetSocketOptions(int fd) {
  const auto set = [fd](int level, int option, int value) {
    setsockopt(fd, level, option, &value, sizeof(value));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
}

Error ErrorWith(ErrorCode code, const std::string& peer, std::string detail) {
  return {code, Step::kPeerMessage, peer, std::move(detail)};
}

// One TCP connection; used by the I/O thread only.
struct Connection {
  uint64_t id = 0;
  internal::FileDescriptor fd;
  bool outbound = false;
  bool connecting = false;
  bool established = false;  // the peer's Hello was accepted
  bool paused = false;
  bool peer_confirms = false;  // from the peer's Hello
  // Outbound: data was sent and nothing has been received since.
  bool unconfirmed = false;
  // Inbound: number of messages received, and the time of the last
  // confirmation.
  uint64_t received = 0;
  absl::Time confirmed = absl::InfinitePast();
  uint32_t events = 0;
  // Outbound: address of the peer. Inbound: remote address of the socket until
  // the peer's Hello is accepted, then the peer address from that Hello.
  std::string address;
  MemberRecord sender;
  std::string in;
  std::string out;
  size_t out_offset = 0;
  absl::Time deadline = absl::InfiniteFuture();
  std::shared_ptr<std::atomic<size_t>> undelivered =
      std::make_shared<std::atomic<size_t>>(0);
};

// Queue and connection state of one peer address; guarded by the mutex.
struct Link {
  std::deque<std::string> queue;
  size_t queued_bytes = 0;
  uint64_t connection = 0;  // 0: none
  bool wanted = false;      // queued for the I/O thread to connect or send
  int failures = 0;
  absl::Time retry_at = absl::InfinitePast();
};

}  // namespace

class TcpPeerTransport::Impl {
 public:
  Impl(TcpPeerSettings settings,
       const Clock& clock,
       Executor& executor,
       Metrics& metrics);
  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start(MemberRecord self, PeerHandler& handler, Error* error);
  void SetSelf(MemberRecord self);
  bool Send(const std::string& address, const PeerMessage& message);
  uint16_t port() const { return port_; }
  void Stop();

 private:
  void Run();
  int WaitMilliseconds() const;
  void HandleEvent(const epoll_event& event);
  void HandleDeadlines();
  void HandleLinks();
  void Accept();
  void Connect(const std::string& address);
  void OnConnected(Connection& connection);
  void OnReadable(Connection& connection);
  // Returns false if the connection was closed.
  bool ReadFrames(Connection& connection);
  bool AcceptHello(Connection& connection, const PeerMessage& message);
  void Deliver(Connection& connection,
               std::vector<PeerMessage> messages,
               size_t bytes);
  void QueueHello(Connection& connection);
  bool Refill(Connection& connection);
  void Flush(Connection& connection);
  void Confirm(Connection& connection);
  void Close(Connection& connection, const Error& error);
  void CloseLink(const std::string& address, bool was_established);
  Connection& Add(internal::FileDescriptor fd, std::string address);
  void Watch(Connection& connection);
  void SetDeadline(Connection& connection, absl::Time deadline);
  void WatchListener(bool on);
  void LogLimited(const Error& error);
  absl::Duration Backoff(int failures);

  const TcpPeerSettings settings_;
  const Clock& clock_;
  Executor& executor_;
  Counter& messages_sent_;
  Counter& messages_received_;
  Counter& messages_dropped_;
  Counter& bytes_sent_;
  Counter& bytes_received_;
  Counter& connection_errors_;
  PeerHandler* handler_ = nullptr;
  uint16_t port_ = 0;

  std::mutex mutex_;
  MemberRecord self_;
  absl::flat_hash_map<std::string, Link> links_;
  std::vector<std::string> wanted_;
  bool woken_ = false;
  bool running_ = false;

  // Used by the I/O thread only.
  internal::FileDescriptor epoll_;
  internal::FileDescriptor wake_;
  internal::FileDescriptor listener_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::set<std::pair<absl::Time, uint64_t>> deadlines_;
  uint64_t next_id_ = kListenerId + 1;
  int inbound_ = 0;
  absl::Time next_log_ = absl::InfinitePast();
  SeededRandom random_;
  std::vector<char> buffer_;

  std::thread thread_;
};

TcpPeerTransport::Impl::Impl(TcpPeerSettings settings,
                             const Clock& clock,
                             Executor& executor,
                             Metrics& metrics)
    : settings_(std::move(settings)),
      clock_(clock),
      executor_(executor),
      messages_sent_(metrics.counter("radishrail_peer_messages_sent_total",
                                     "Messages written to peers")),
      messages_received_(
          metrics.counter("radishrail_peer_messages_received_total",
                          "Messages received from peers")),
      messages_dropped_(
          metrics.counter("radishrail_peer_messages_dropped_total",
                          "Messages refused or lost before they were written")),
      bytes_sent_(metrics.counter("radishrail_peer_sent_bytes_total",
                                  "Bytes written to peers")),
      bytes_received_(metrics.counter("radishrail_peer_received_bytes_total",
                                      "Bytes received from peers")),
      connection_errors_(
          metrics.counter("radishrail_peer_connection_errors_total",
                          "Peer connections that failed or broke")),
      random_(SystemRandom().Next()),
      buffer_(kReadBytes) {}

bool TcpPeerTransport::Impl::Start(MemberRecord self,
                                   PeerHandler& handler,
                                   Error* error) {
  auto listener = internal::ListenOn(settings_.listen_address, &port_, error);
  if (!listener) {
    return false;
  }
  const auto address = internal::ParseSocketAddress(self.peer_address, nullptr);
  if (!address || self.peer_address.ends_with(":0")) {
    self.peer_address = internal::WithPort(settings_.listen_address, port_);
  }
  listener_ = *std::move(listener);
  epoll_ = internal::FileDescriptor(epoll_create1(EPOLL_CLOEXEC));
  wake_ = internal::FileDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_.get(), &event);
  event.data.u64 = kListenerId;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, listener_.get(), &event);
  handler_ = &handler;
  {
    const std::lock_guard lock(mutex_);
    self_ = std::move(self);
    running_ = true;
  }
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), "peers");
  return true;
}

void TcpPeerTransport::Impl::SetSelf(MemberRecord self) {
  const std::lock_guard lock(mutex_);
  self_ = std::move(self);
}

bool TcpPeerTransport::Impl::Send(const std::string& address,
                                  const PeerMessage& message) {
  std::string frame = Frame(message);
  if (frame.size() - kPrefixBytes > kMaxPeerFrameBytes) {
    messages_dropped_.Add();
    LogFailure("peer message not sent",
               ErrorWith(ErrorCode::kTooLarge, address,
                         std::string(PeerMessageName(message))));
    return false;
  }
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!running_) {
      return false;
    }
    if (links_.size() > kMaxLinks) {
      absl::erase_if(links_, [](const auto& it) {
        return it.second.connection == 0 && !it.second.wanted;
      });
    }
    Link& link = links_[address];
    const bool waits_for_retry = link.connection == 0 && !link.wanted &&
                                 clock_.Monotonic() < link.retry_at;
    if (waits_for_retry ||
        link.queued_bytes + frame.size() > settings_.max_queue_bytes) {
      messages_dropped_.Add();
      return false;
    }
    link.queued_bytes += frame.size();
    link.queue.push_back(std::move(frame));
    if (!std::exchange(link.wanted, true)) {
      wanted_.push_back(address);
    }
    wake = !std::exchange(woken_, true);
  }
  if (wake) {
    eventfd_write(wake_.get(), 1);
  }
  return true;
}

void TcpPeerTransport::Impl::Stop() {
  {
    const std::lock_guard lock(mutex_);
    if (!std::exchange(running_, false)) {
      return;
    }
  }
  eventfd_write(wake_.get(), 1);
  thread_.join();
  connections_.clear();
  listener_.Reset();
}

void TcpPeerTransport::Impl::Run() {
  std::array<epoll_event, kMaxEvents> events = {};
  while (true) {
    const int count =
        epoll_wait(epoll_.get(), events.data(), kMaxEvents, WaitMilliseconds());
    for (int i = 0; i < count; ++i) {
      HandleEvent(events[static_cast<size_t>(i)]);
    }
    HandleDeadlines();
    {
      const std::lock_guard lock(mutex_);
      if (!running_) {
        return;
      }
    }
    HandleLinks();
  }
}

int TcpPeerTransport::Impl::WaitMilliseconds() const {
  if (deadlines_.empty()) {
    return -1;
  }
  const absl::Duration left = absl::Ceil(
      deadlines_.begin()->first - clock_.Monotonic(), absl::Milliseconds(1));
  constexpr int64_t kMaxWait = std::numeric_limits<int>::max();
  return static_cast<int>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(left), 0, kMaxWait));
}

void TcpPeerTransport::Impl::HandleEvent(const epoll_event& event) {
  if (event.data.u64 == kWakeId) {
    eventfd_t value = 0;
    eventfd_read(wake_.get(), &value);
    return;
  }
  if (event.data.u64 == kListenerId) {
    Accept();
    return;
  }
  const uint64_t id = event.data.u64;
  const auto find = [&]() -> Connection* {
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second.get();
  };
  Connection* connection = find();
  if (connection != nullptr && connection->connecting) {
    OnConnected(*connection);
    connection = find();
  }
  if (connection != nullptr && !connection->connecting &&
      (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    OnReadable(*connection);
    connection = find();
  }
  if (connection != nullptr && !connection->connecting &&
      (event.events & EPOLLOUT) != 0) {
    Flush(*connection);
  }
}

void TcpPeerTransport::Impl::HandleDeadlines() {
  const absl::Time now = clock_.Monotonic();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    if (id == kListenerId) {
      WatchListener(true);
      continue;
    }
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
      continue;
    }
    Connection& connection = *it->second;
    connection.deadline = absl::InfiniteFuture();
    if (connection.paused) {
      connection.paused =
          connection.undelivered->load() > kMaxUndeliveredBytes / 2;
      if (connection.paused) {
        SetDeadline(connection, now + kResumeCheck);
      }
      Watch(connection);
    } else if (!connection.established) {
      Close(connection,
            ErrorWith(ErrorCode::kUnreachable, connection.address,
                      connection.connecting
                          ? "connection attempt timed out"
                          : "no valid hello received before the timeout"));
    } else if (connection.outbound) {
      Close(connection,
            ErrorWith(ErrorCode::kUnreachable, connection.address,
                      "nothing received before the confirmation timeout"));
    } else {
      Confirm(connection);
    }
  }
}

void TcpPeerTransport::Impl::Confirm(Connection& connection) {
  connection.confirmed = clock_.Monotonic();
  connection.out.append(Frame(Received{connection.received}));
  Flush(connection);
}

void TcpPeerTransport::Impl::HandleLinks() {
  std::vector<std::string> to_connect;
  std::vector<uint64_t> to_flush;
  {
    const std::lock_guard lock(mutex_);
    woken_ = false;
    for (auto& it : wanted_) {
      const auto link = links_.find(it);
      if (link == links_.end()) {
        continue;
      }
      link->second.wanted = false;
      if (link->second.connection != 0) {
        to_flush.push_back(link->second.connection);
      } else if (!link->second.queue.empty()) {
        to_connect.push_back(std::move(it));
      }
    }
    wanted_.clear();
  }
  for (const auto& it : to_connect) {
    Connect(it);
  }
  for (const uint64_t id : to_flush) {
    const auto it = connections_.find(id);
    if (it != connections_.end() && it->second->established) {
      Flush(*it->second);
    }
  }
}

void TcpPeerTransport::Impl::WatchListener(bool on) {
  epoll_event event = {};
  if (on) {
    event.events = EPOLLIN;
  }
  event.data.u64 = kListenerId;
  epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, listener_.get(), &event);
}

void TcpPeerTransport::Impl::Accept() {
  while (true) {
    internal::SocketAddress remote;
    remote.size = sizeof(remote.storage);
    internal::FileDescriptor fd(accept4(listener_.get(), remote.get(),
                                        &remote.size,
                                        SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.valid()) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
        // The listener stays readable, so it is not polled until file
        // descriptors or memory may be available again.
        WatchListener(false);
        deadlines_.emplace(clock_.Monotonic() + kAcceptRetry, kListenerId);
      }
      return;
    }
    if (inbound_ >= settings_.max_inbound_connections) {
      connection_errors_.Add();
      continue;
    }
    ++inbound_;
    Connection& connection =
        Add(std::move(fd), internal::FormatSocketAddress(remote.get()));
    SetDeadline(connection, clock_.Monotonic() + settings_.hello_timeout);
    Watch(connection);
  }
}

Connection& TcpPeerTransport::Impl::Add(internal::FileDescriptor fd,
                                        std::string address) {
  SetSocketOptions(fd.get());
  auto connection = std::make_unique<Connection>();
  connection->id = next_id_++;
  connection->fd = std::move(fd);
  connection->address = std::move(address);
  Connection& result = *connection;
  connections_.emplace(result.id, std::move(connection));
  return result;
}

void TcpPeerTransport::Impl::Connect(const std::string& address) {
  {
    const std::lock_guard lock(mutex_);
    if (links_[address].connection != 0) {
      return;
    }
  }
  Error error;
  const auto target = internal::ParseSocketAddress(address, &error);
  internal::FileDescriptor fd;
  if (target) {
    fd = internal::FileDescriptor(socket(
        target->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  }
  if (!fd.valid()) {
    connection_errors_.Add();
    LogLimited(ErrorWith(ErrorCode::kUnreachable, address,
                         target ? std::strerror(errno) : error.detail));
    CloseLink(address, false);
    return;
  }
  const int result = connect(fd.get(), target->get(), target->size);
  const int reason = errno;
  Connection& connection = Add(std::move(fd), address);
  connection.outbound = true;
  connection.connecting = true;
  {
    const std::lock_guard lock(mutex_);
    links_[address].connection = connection.id;
  }
  if (result != 0 && reason != EINPROGRESS) {
    Close(connection,
          ErrorWith(ErrorCode::kUnreachable, address, std::strerror(reason)));
    return;
  }
  SetDeadline(connection, clock_.Monotonic() + settings_.connect_timeout);
  Watch(connection);
}

void TcpPeerTransport::Impl::OnConnected(Connection& connection) {
  int reason = 0;
  socklen_t size = sizeof(reason);
  getsockopt(connection.fd.get(), SOL_SOCKET, SO_ERROR, &reason, &size);
  if (reason != 0) {
    Close(connection, ErrorWith(ErrorCode::kUnreachable, connection.address,
                                std::strerror(reason)));
    return;
  }
  connection.connecting = false;
  SetDeadline(connection, clock_.Monotonic() + settings_.hello_timeout);
  QueueHello(connection);
  Flush(connection);
}

void TcpPeerTransport::Impl::QueueHello(Connection& connection) {
  Hello hello;
  hello.cluster_key = settings_.cluster_key;
  hello.confirms = true;
  {
    const std::lock_guard lock(mutex_);
    hello.sender = self_;
  }
  connection.out.append(Frame(hello));
  messages_sent_.Add();
}

void TcpPeerTransport::Impl::OnReadable(Connection& connection) {
  for (int i = 0; i < kReadsPerEvent && !connection.paused; ++i) {
    const ssize_t n =
        recv(connection.fd.get(), buffer_.data(), buffer_.size(), 0);
    if (n > 0) {
      if (std::exchange(connection.unconfirmed, false)) {
        SetDeadline(connection, absl::InfiniteFuture());
      }
      bytes_received_.Add(static_cast<uint64_t>(n));
      connection.in.append(buffer_.data(), static_cast<size_t>(n));
      if (!ReadFrames(connection)) {
        return;
      }
      continue;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return;
    }
    Close(connection,
          ErrorWith(
              ErrorCode::kConnectionBroken, connection.address,
              n == 0 ? "connection closed by the peer" : std::strerror(errno)));
    return;
  }
}

bool TcpPeerTransport::Impl::ReadFrames(Connection& connection) {
  std::vector<PeerMessage> messages;
  size_t offset = 0;
  std::optional<Error> failure;
  while (connection.in.size() - offset >= kPrefixBytes) {
    const size_t size = PayloadSize(connection.in.data() + offset);
    const size_t limit =
        connection.established ? kMaxPeerFrameBytes : kMaxHelloBytes;
    if (size == 0 || size > limit) {
      failure =
          ErrorWith(ErrorCode::kProtocol, connection.address,
                    "invalid frame size: " + std::to_string(size) + " bytes");
      break;
    }
    if (connection.in.size() - offset - kPrefixBytes < size) {
      break;
    }
    Error error;
    const std::string_view payload{connection.in.data() + offset + kPrefixBytes,
                                   size};
    auto message = DecodePeerMessage(payload, &error);
    offset += kPrefixBytes + size;
    if (!message) {
      failure = ErrorWith(ErrorCode::kProtocol, connection.address,
                          std::move(error.detail));
      break;
    }
    messages_received_.Add();
    if (!connection.established) {
      if (!AcceptHello(connection, *message)) {
        return false;
      }
    } else if (std::holds_alternative<Hello>(*message)) {
      failure = ErrorWith(ErrorCode::kProtocol, connection.address,
                          "second hello on the same connection");
      break;
    } else if (!std::holds_alternative<Received>(*message)) {
      ++connection.received;
      messages.push_back(*std::move(message));
    }
  }
  Deliver(connection, std::move(messages), offset);
  if (failure) {
    Close(connection, *failure);
    return false;
  }
  connection.in.erase(0, offset);
  if (connection.in.empty() && connection.in.capacity() > kSendBatchBytes) {
    connection.in.shrink_to_fit();
  }
  if (!connection.out.empty()) {
    const uint64_t id = connection.id;
    Flush(connection);
    return connections_.contains(id);
  }
  return true;
}

bool TcpPeerTransport::Impl::AcceptHello(Connection& connection,
                                         const PeerMessage& message) {
  const auto* hello = std::get_if<Hello>(&message);
  if (hello == nullptr) {
    Close(connection, ErrorWith(ErrorCode::kProtocol, connection.address,
                                "the first message is not a hello"));
    return false;
  }
  if (!SecretsEqual(hello->cluster_key, settings_.cluster_key)) {
    Close(connection, ErrorWith(ErrorCode::kUnauthenticated, connection.address,
                                "cluster key mismatch"));
    return false;
  }
  if (hello->sender.vm.empty() ||
      !internal::ParseSocketAddress(hello->sender.peer_address, nullptr)) {
    Close(connection,
          ErrorWith(ErrorCode::kProtocol, connection.address,
                    "the hello has no vm or no valid peer address"));
    return false;
  }
  connection.established = true;
  connection.peer_confirms = hello->confirms;
  connection.sender = hello->sender;
  SetDeadline(connection, absl::InfiniteFuture());
  if (!connection.outbound) {
    connection.address = hello->sender.peer_address;
    QueueHello(connection);
    return true;
  }
  {
    const std::lock_guard lock(mutex_);
    links_[connection.address].failures = 0;
  }
  Refill(connection);
  return true;
}

void TcpPeerTransport::Impl::Deliver(Connection& connection,
                                     std::vector<PeerMessage> messages,
                                     size_t bytes) {
  if (messages.empty()) {
    return;
  }
  const auto undelivered = connection.undelivered;
  if (undelivered->fetch_add(bytes) + bytes > kMaxUndeliveredBytes) {
    connection.paused = true;
    SetDeadline(connection, clock_.Monotonic() + kResumeCheck);
    Watch(connection);
  } else if (connection.peer_confirms && !connection.outbound &&
             connection.deadline == absl::InfiniteFuture()) {
    SetDeadline(connection,
                std::max(clock_.Monotonic(),
                         connection.confirmed + settings_.confirm_interval));
  }
  executor_.Post([handler = handler_, sender = connection.sender,
                  messages = std::move(messages), undelivered, bytes] {
    for (const auto& it : messages) {
      handler->OnPeerMessage(sender, it);
    }
    undelivered->fetch_sub(bytes);
  });
}

// Moves queued frames to the connection's write buffer; false if none was
// moved.
bool TcpPeerTransport::Impl::Refill(Connection& connection) {
  if (!connection.outbound || !connection.established) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  Link& link = links_[connection.address];
  bool any = false;
  while (!link.queue.empty() && connection.out.size() < kSendBatchBytes) {
    link.queued_bytes -= link.queue.front().size();
    connection.out.append(link.queue.front());
    link.queue.pop_front();
    messages_sent_.Add();
    any = true;
  }
  return any;
}

void TcpPeerTransport::Impl::Flush(Connection& connection) {
  while (connection.out_offset < connection.out.size() || Refill(connection)) {
    const ssize_t n =
        send(connection.fd.get(), connection.out.data() + connection.out_offset,
             connection.out.size() - connection.out_offset, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        break;
      }
      Close(connection, ErrorWith(ErrorCode::kConnectionBroken,
                                  connection.address, std::strerror(errno)));
      return;
    }
    bytes_sent_.Add(static_cast<uint64_t>(n));
    connection.out_offset += static_cast<size_t>(n);
    if (connection.out_offset == connection.out.size()) {
      connection.out.clear();
      connection.out_offset = 0;
    }
    if (connection.outbound && connection.peer_confirms &&
        !std::exchange(connection.unconfirmed, true)) {
      SetDeadline(connection, clock_.Monotonic() + settings_.silence_timeout);
    }
  }
  Watch(connection);
}

void TcpPeerTransport::Impl::Watch(Connection& connection) {
  uint32_t events = 0;
  if (!connection.paused) {
    events |= EPOLLIN;
  }
  if (connection.connecting || connection.out_offset < connection.out.size()) {
    events |= EPOLLOUT;
  }
  if (events == connection.events) {
    return;
  }
  // A socket without events is removed from the epoll set, since epoll always
  // reports errors.
  int operation = EPOLL_CTL_MOD;
  if (connection.events == 0) {
    operation = EPOLL_CTL_ADD;
  } else if (events == 0) {
    operation = EPOLL_CTL_DEL;
  }
  connection.events = events;
  epoll_event event = {};
  event.events = events;
  event.data.u64 = connection.id;
  epoll_ctl(epoll_.get(), operation, connection.fd.get(), &event);
}

void TcpPeerTransport::Impl::SetDeadline(Connection& connection,
                                         absl::Time deadline) {
  deadlines_.erase({connection.deadline, connection.id});
  connection.deadline = deadline;
  if (deadline != absl::InfiniteFuture()) {
    deadlines_.emplace(deadline, connection.id);
  }
}

void TcpPeerTransport::Impl::LogLimited(const Error& error) {
  const absl::Time now = clock_.Monotonic();
  if (now >= next_log_) {
    next_log_ = now + kLogInterval;
    LogFailure("peer connection closed", error);
  }
}

absl::Duration TcpPeerTransport::Impl::Backoff(int failures) {
  const absl::Duration full =
      std::min(settings_.max_backoff,
               settings_.min_backoff *
                   (int64_t{1} << std::min(failures, kMaxDoublings)));
  return full * (0.5 + 0.5 * random_.Unit());
}

void TcpPeerTransport::Impl::CloseLink(const std::string& address,
                                       bool was_established) {
  {
    const std::lock_guard lock(mutex_);
    Link& link = links_[address];
    messages_dropped_.Add(link.queue.size());
    link.queue.clear();
    link.queued_bytes = 0;
    link.connection = 0;
    link.wanted = false;
    link.retry_at = clock_.Monotonic() + Backoff(link.failures);
    link.failures = was_established ? 0 : link.failures + 1;
  }
  executor_.Post(
      [handler = handler_, address] { handler->OnPeerDisconnected(address); });
}

void TcpPeerTransport::Impl::Close(Connection& connection, const Error& error) {
  connection_errors_.Add();
  LogLimited(error);
  SetDeadline(connection, absl::InfiniteFuture());
  const std::string address = connection.address;
  const bool outbound = connection.outbound;
  const bool established = connection.established;
  connections_.erase(connection.id);
  if (outbound) {
    CloseLink(address, established);
    return;
  }
  --inbound_;
  if (established) {
    executor_.Post([handler = handler_, address] {
      handler->OnPeerDisconnected(address);
    });
  }
}

TcpPeerTransport::TcpPeerTransport(TcpPeerSettings settings,
                                   const Clock& clock,
                                   Executor& executor,
                                   Metrics& metrics)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   clock,
                                   executor,
                                   metrics)) {}

TcpPeerTransport::~TcpPeerTransport() = default;

bool TcpPeerTransport::Start(MemberRecord self,
                             PeerHandler& handler,
                             Error* error) {
  return impl_->Start(std::move(self), handler, error);
}

void TcpPeerTransport::SetSelf(MemberRecord self) {
  impl_->SetSelf(std::move(self));
}

bool TcpPeerTransport::Send(const std::string& peer_address,
                            const PeerMessage& message) {
  return impl_->Send(peer_address, message);
}

uint16_t TcpPeerTransport::port() const {
  return impl_->port();
}

void TcpPeerTransport::Stop() {
  impl_->Stop();
}

}  // namespace radishrail
