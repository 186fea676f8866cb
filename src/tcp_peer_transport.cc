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

constexpr size_t kLengthPrefixBytes = 4;
// Limits the memory that an unauthenticated peer can use.
constexpr size_t kMaxHelloBytes = 4096;
constexpr size_t kReadBytes = 64 * 1024;
// Limits the reads per event, so that a fast peer does not delay the others.
constexpr int kReadsPerEvent = 16;
// Frames are moved from a peer's queue to the write buffer of its connection
// until the buffer has this size.
constexpr size_t kSendBatchBytes = 256 * 1024;
// While more than this waits on the executor, each connection that delivers
// messages is paused; its reading is resumed at half of it.
constexpr size_t kMaxUndeliveredBytes = 16 * 1024 * 1024;
constexpr absl::Duration kResumeCheckInterval = absl::Milliseconds(5);
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kLogInterval = absl::Seconds(1);
// The kernel closes a connection whose sent data stays unacknowledged for this
// long; by default it would take many minutes to detect a partition.
constexpr int kUserTimeoutMs = 10000;
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 3;
// Beyond this number of links, those without a connection are removed.
constexpr size_t kMaxLinks = 16384;
constexpr int kMaxEvents = 64;
constexpr int kMaxBackoffDoublings = 16;

constexpr uint64_t kWakeId = 0;
constexpr uint64_t kListenerId = 1;

std::string EncodeFrame(const PeerMessage& message) {
  const std::string payload = EncodePeerMessage(message);
  const auto n = static_cast<uint32_t>(payload.size());
  std::string frame;
  frame.reserve(kLengthPrefixBytes + payload.size());
  for (const int shift : {24, 16, 8, 0}) {
    frame.push_back(static_cast<char>((n >> shift) & 0xFF));
  }
  frame.append(payload);
  return frame;
}

size_t PayloadSize(const char* prefix) {
  size_t n = 0;
  for (size_t i = 0; i < kLengthPrefixBytes; ++i) {
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

Error PeerError(ErrorCode code, const std::string& peer, std::string detail) {
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
  bool awaiting_confirmation = false;
  // Inbound: number of messages received, and when they were last confirmed.
  uint64_t messages_received = 0;
  absl::Time last_confirmation = absl::InfinitePast();
  uint32_t events = 0;
  // Outbound: address of the peer. Inbound: remote address of the socket until
  // the peer's Hello is accepted, then the peer address from that Hello.
  std::string address;
  MemberRecord sender;
  std::string read_buffer;
  std::string write_buffer;
  size_t write_offset = 0;
  absl::Time deadline = absl::InfiniteFuture();
};

// Queue and connection state of one peer address; guarded by the mutex.
struct Link {
  std::deque<std::string> queue;
  size_t queued_bytes = 0;
  uint64_t connection = 0;  // 0: none
  bool pending_io = false;  // queued for the I/O thread to connect or send
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
  void ProcessPendingLinks();
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
  bool FillWriteBuffer(Connection& connection);
  void Flush(Connection& connection);
  void SendConfirmation(Connection& connection);
  void Close(Connection& connection, const Error& error);
  void ResetLink(const std::string& address, bool was_established);
  // Closes the unauthenticated inbound connection that has waited longest;
  // false if there is none.
  bool MakeRoom();
  Connection& AddConnection(internal::FileDescriptor fd, std::string address);
  void UpdateEvents(Connection& connection);
  void SetDeadline(Connection& connection, absl::Time deadline);
  void SetListenerEnabled(bool on);
  void LogRateLimited(const Error& error);
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
  std::vector<std::string> pending_addresses_;
  bool wake_pending_ = false;
  bool running_ = false;

  // Used by the I/O thread only.
  internal::FileDescriptor epoll_;
  internal::FileDescriptor wake_event_;
  internal::FileDescriptor listener_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::set<std::pair<absl::Time, uint64_t>> deadlines_;
  uint64_t next_id_ = kListenerId + 1;
  int inbound_count_ = 0;
  // Inbound connections without a valid hello, in the order of their ids: the
  // oldest first.
  std::set<uint64_t> unauthenticated_;
  // Bytes of messages that wait on the executor, of all connections.
  const std::shared_ptr<std::atomic<size_t>> undelivered_ =
      std::make_shared<std::atomic<size_t>>(0);
  absl::Time next_log_at_ = absl::InfinitePast();
  SeededRandom random_;
  std::vector<char> receive_buffer_;

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
      receive_buffer_(kReadBytes) {}

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
  wake_event_ =
      internal::FileDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_event_.get(), &event);
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
  std::string frame = EncodeFrame(message);
  if (frame.size() - kLengthPrefixBytes > kMaxPeerFrameBytes) {
    messages_dropped_.Add();
    LogFailure("peer message not sent",
               PeerError(ErrorCode::kTooLarge, address,
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
        return it.second.connection == 0 && !it.second.pending_io;
      });
    }
    Link& link = links_[address];
    const bool waits_for_retry = link.connection == 0 && !link.pending_io &&
                                 clock_.Monotonic() < link.retry_at;
    if (waits_for_retry ||
        link.queued_bytes + frame.size() > settings_.max_queue_bytes) {
      messages_dropped_.Add();
      return false;
    }
    link.queued_bytes += frame.size();
    link.queue.push_back(std::move(frame));
    if (!std::exchange(link.pending_io, true)) {
      pending_addresses_.push_back(address);
    }
    wake = !std::exchange(wake_pending_, true);
  }
  if (wake) {
    eventfd_write(wake_event_.get(), 1);
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
  eventfd_write(wake_event_.get(), 1);
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
    ProcessPendingLinks();
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
    eventfd_read(wake_event_.get(), &value);
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
      SetListenerEnabled(true);
      continue;
    }
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
      continue;
    }
    Connection& connection = *it->second;
    connection.deadline = absl::InfiniteFuture();
    if (connection.paused) {
      connection.paused = undelivered_->load() > kMaxUndeliveredBytes / 2;
      if (connection.paused) {
        SetDeadline(connection, now + kResumeCheckInterval);
      }
      UpdateEvents(connection);
    } else if (!connection.established) {
      Close(connection,
            PeerError(ErrorCode::kUnreachable, connection.address,
                      connection.connecting
                          ? "connection attempt timed out"
                          : "no valid hello received before the timeout"));
    } else if (connection.outbound) {
      Close(connection,
            PeerError(ErrorCode::kUnreachable, connection.address,
                      "nothing received before the confirmation timeout"));
    } else {
      SendConfirmation(connection);
    }
  }
}

void TcpPeerTransport::Impl::SendConfirmation(Connection& connection) {
  connection.last_confirmation = clock_.Monotonic();
  connection.write_buffer.append(
      EncodeFrame(Received{connection.messages_received}));
  Flush(connection);
}

void TcpPeerTransport::Impl::ProcessPendingLinks() {
  std::vector<std::string> to_connect;
  std::vector<uint64_t> to_flush;
  {
    const std::lock_guard lock(mutex_);
    wake_pending_ = false;
    for (auto& it : pending_addresses_) {
      const auto link = links_.find(it);
      if (link == links_.end()) {
        continue;
      }
      link->second.pending_io = false;
      if (link->second.connection != 0) {
        to_flush.push_back(link->second.connection);
      } else if (!link->second.queue.empty()) {
        to_connect.push_back(std::move(it));
      }
    }
    pending_addresses_.clear();
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

void TcpPeerTransport::Impl::SetListenerEnabled(bool on) {
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
        SetListenerEnabled(false);
        deadlines_.emplace(clock_.Monotonic() + kAcceptRetryDelay, kListenerId);
      }
      return;
    }
    if (inbound_count_ >= settings_.max_inbound_connections && !MakeRoom()) {
      connection_errors_.Add();
      continue;
    }
    ++inbound_count_;
    Connection& connection = AddConnection(
        std::move(fd), internal::FormatSocketAddress(remote.get()));
    unauthenticated_.insert(connection.id);
    SetDeadline(connection, clock_.Monotonic() + settings_.hello_timeout);
    UpdateEvents(connection);
  }
}

// A peer sends its hello at once, so that the newest connections may be those
// of peers.
bool TcpPeerTransport::Impl::MakeRoom() {
  if (unauthenticated_.empty()) {
    return false;
  }
  Connection& oldest = *connections_.at(*unauthenticated_.begin());
  Close(oldest, PeerError(ErrorCode::kOverloaded, oldest.address,
                          "closed for a newer connection before its hello"));
  return true;
}

Connection& TcpPeerTransport::Impl::AddConnection(internal::FileDescriptor fd,
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
    LogRateLimited(PeerError(ErrorCode::kUnreachable, address,
                             target ? std::strerror(errno) : error.detail));
    ResetLink(address, false);
    return;
  }
  const int result = connect(fd.get(), target->get(), target->size);
  const int reason = errno;
  Connection& connection = AddConnection(std::move(fd), address);
  connection.outbound = true;
  connection.connecting = true;
  {
    const std::lock_guard lock(mutex_);
    links_[address].connection = connection.id;
  }
  if (result != 0 && reason != EINPROGRESS) {
    Close(connection,
          PeerError(ErrorCode::kUnreachable, address, std::strerror(reason)));
    return;
  }
  SetDeadline(connection, clock_.Monotonic() + settings_.connect_timeout);
  UpdateEvents(connection);
}

void TcpPeerTransport::Impl::OnConnected(Connection& connection) {
  int reason = 0;
  socklen_t size = sizeof(reason);
  getsockopt(connection.fd.get(), SOL_SOCKET, SO_ERROR, &reason, &size);
  if (reason != 0) {
    Close(connection, PeerError(ErrorCode::kUnreachable, connection.address,
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
  connection.write_buffer.append(EncodeFrame(hello));
  messages_sent_.Add();
}

void TcpPeerTransport::Impl::OnReadable(Connection& connection) {
  for (int i = 0; i < kReadsPerEvent && !connection.paused; ++i) {
    const ssize_t n = recv(connection.fd.get(), receive_buffer_.data(),
                           receive_buffer_.size(), 0);
    if (n > 0) {
      if (std::exchange(connection.awaiting_confirmation, false)) {
        SetDeadline(connection, absl::InfiniteFuture());
      }
      bytes_received_.Add(static_cast<uint64_t>(n));
      connection.read_buffer.append(receive_buffer_.data(),
                                    static_cast<size_t>(n));
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
          PeerError(
              ErrorCode::kConnectionBroken, connection.address,
              n == 0 ? "connection closed by the peer" : std::strerror(errno)));
    return;
  }
}

bool TcpPeerTransport::Impl::ReadFrames(Connection& connection) {
  std::vector<PeerMessage> messages;
  size_t offset = 0;
  std::optional<Error> failure;
  while (connection.read_buffer.size() - offset >= kLengthPrefixBytes) {
    const size_t size = PayloadSize(connection.read_buffer.data() + offset);
    const size_t limit =
        connection.established ? kMaxPeerFrameBytes : kMaxHelloBytes;
    if (size == 0 || size > limit) {
      failure =
          PeerError(ErrorCode::kProtocol, connection.address,
                    "invalid frame size: " + std::to_string(size) + " bytes");
      break;
    }
    if (connection.read_buffer.size() - offset - kLengthPrefixBytes < size) {
      break;
    }
    Error error;
    const std::string_view payload{
        connection.read_buffer.data() + offset + kLengthPrefixBytes, size};
    auto message = DecodePeerMessage(payload, &error);
    offset += kLengthPrefixBytes + size;
    if (!message) {
      failure = PeerError(ErrorCode::kProtocol, connection.address,
                          std::move(error.detail));
      break;
    }
    messages_received_.Add();
    if (!connection.established) {
      if (!AcceptHello(connection, *message)) {
        return false;
      }
    } else if (std::holds_alternative<Hello>(*message)) {
      failure = PeerError(ErrorCode::kProtocol, connection.address,
                          "second hello on the same connection");
      break;
    } else if (!std::holds_alternative<Received>(*message)) {
      ++connection.messages_received;
      messages.push_back(*std::move(message));
    }
  }
  Deliver(connection, std::move(messages), offset);
  if (failure) {
    Close(connection, *failure);
    return false;
  }
  connection.read_buffer.erase(0, offset);
  if (connection.read_buffer.empty() &&
      connection.read_buffer.capacity() > kSendBatchBytes) {
    connection.read_buffer.shrink_to_fit();
  }
  if (!connection.write_buffer.empty()) {
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
    Close(connection, PeerError(ErrorCode::kProtocol, connection.address,
                                "the first message is not a hello"));
    return false;
  }
  if (!SecretsEqual(hello->cluster_key, settings_.cluster_key)) {
    Close(connection, PeerError(ErrorCode::kUnauthenticated, connection.address,
                                "cluster key mismatch"));
    return false;
  }
  if (hello->sender.vm.empty() ||
      !internal::ParseSocketAddress(hello->sender.peer_address, nullptr)) {
    Close(connection,
          PeerError(ErrorCode::kProtocol, connection.address,
                    "the hello has no vm or no valid peer address"));
    return false;
  }
  connection.established = true;
  unauthenticated_.erase(connection.id);
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
  FillWriteBuffer(connection);
  return true;
}

void TcpPeerTransport::Impl::Deliver(Connection& connection,
                                     std::vector<PeerMessage> messages,
                                     size_t bytes) {
  if (messages.empty()) {
    return;
  }
  if (undelivered_->fetch_add(bytes) + bytes > kMaxUndeliveredBytes) {
    connection.paused = true;
    SetDeadline(connection, clock_.Monotonic() + kResumeCheckInterval);
    UpdateEvents(connection);
  } else if (connection.peer_confirms && !connection.outbound &&
             connection.deadline == absl::InfiniteFuture()) {
    SetDeadline(connection,
                std::max(clock_.Monotonic(), connection.last_confirmation +
                                                 settings_.confirm_interval));
  }
  executor_.Post([handler = handler_, sender = connection.sender,
                  messages = std::move(messages), undelivered = undelivered_,
                  bytes] {
    for (const auto& it : messages) {
      handler->OnPeerMessage(sender, it);
    }
    undelivered->fetch_sub(bytes);
  });
}

// Moves queued frames to the connection's write buffer; false if none was
// moved.
bool TcpPeerTransport::Impl::FillWriteBuffer(Connection& connection) {
  if (!connection.outbound || !connection.established) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  Link& link = links_[connection.address];
  bool moved = false;
  while (!link.queue.empty() &&
         connection.write_buffer.size() < kSendBatchBytes) {
    link.queued_bytes -= link.queue.front().size();
    connection.write_buffer.append(link.queue.front());
    link.queue.pop_front();
    messages_sent_.Add();
    moved = true;
  }
  return moved;
}

void TcpPeerTransport::Impl::Flush(Connection& connection) {
  while (connection.write_offset < connection.write_buffer.size() ||
         FillWriteBuffer(connection)) {
    const ssize_t n = send(
        connection.fd.get(),
        connection.write_buffer.data() + connection.write_offset,
        connection.write_buffer.size() - connection.write_offset, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        break;
      }
      Close(connection, PeerError(ErrorCode::kConnectionBroken,
                                  connection.address, std::strerror(errno)));
      return;
    }
    bytes_sent_.Add(static_cast<uint64_t>(n));
    connection.write_offset += static_cast<size_t>(n);
    if (connection.write_offset == connection.write_buffer.size()) {
      connection.write_buffer.clear();
      connection.write_offset = 0;
    }
    if (connection.outbound && connection.peer_confirms &&
        !std::exchange(connection.awaiting_confirmation, true)) {
      SetDeadline(connection, clock_.Monotonic() + settings_.confirm_timeout);
    }
  }
  UpdateEvents(connection);
}

void TcpPeerTransport::Impl::UpdateEvents(Connection& connection) {
  uint32_t events = 0;
  if (!connection.paused) {
    events |= EPOLLIN;
  }
  if (connection.connecting ||
      connection.write_offset < connection.write_buffer.size()) {
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

void TcpPeerTransport::Impl::LogRateLimited(const Error& error) {
  const absl::Time now = clock_.Monotonic();
  if (now >= next_log_at_) {
    next_log_at_ = now + kLogInterval;
    LogFailure("peer connection closed", error);
  }
}

absl::Duration TcpPeerTransport::Impl::Backoff(int failures) {
  const absl::Duration delay =
      std::min(settings_.max_backoff,
               settings_.min_backoff *
                   (int64_t{1} << std::min(failures, kMaxBackoffDoublings)));
  return delay * (0.5 + 0.5 * random_.Unit());
}

void TcpPeerTransport::Impl::ResetLink(const std::string& address,
                                       bool was_established) {
  {
    const std::lock_guard lock(mutex_);
    Link& link = links_[address];
    messages_dropped_.Add(link.queue.size());
    link.queue.clear();
    link.queued_bytes = 0;
    link.connection = 0;
    link.pending_io = false;
    link.retry_at = clock_.Monotonic() + Backoff(link.failures);
    link.failures = was_established ? 0 : link.failures + 1;
  }
  executor_.Post(
      [handler = handler_, address] { handler->OnPeerDisconnected(address); });
}

void TcpPeerTransport::Impl::Close(Connection& connection, const Error& error) {
  connection_errors_.Add();
  LogRateLimited(error);
  SetDeadline(connection, absl::InfiniteFuture());
  const std::string address = connection.address;
  const bool outbound = connection.outbound;
  const bool established = connection.established;
  const MemberRecord sender = connection.sender;
  unauthenticated_.erase(connection.id);
  connections_.erase(connection.id);
  if (outbound) {
    ResetLink(address, established);
    return;
  }
  --inbound_count_;
  if (established) {
    executor_.Post([handler = handler_, sender] {
      handler->OnSenderDisconnected(sender);
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
