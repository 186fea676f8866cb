#include "radishrail/http_server.h"

#include <microhttpd.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <limits>
#include <mutex>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "http_request_state.h"
#include "radishrail/clock.h"
#include "radishrail/log.h"
#include "socket_address.h"

namespace radishrail {

namespace {

// A connection's memory holds its request header and the buffers of its body
// and response header; the header limit is checked separately.
constexpr size_t kConnectionMemoryBytes = 32 * 1024;
// A chunked body over the size limit is read and discarded up to this multiple
// of the limit, so that the client gets status 413 rather than a connection
// reset.
constexpr size_t kDiscardFactor = 2;
// A stopping server closes its idle connections after this time without a
// request in progress, so that requests already sent by clients are still
// served.
constexpr auto kIdlePeriod = std::chrono::milliseconds(50);
// Time for a stopping server to send error responses to unanswered requests.
constexpr auto kFinalSendTimeout = std::chrono::seconds(1);

// Connections that libmicrohttpd accepts beyond `max_connections`, so that one
// can be closed for each new one: it closes them only after it has accepted up
// to ten others. A share of the limit within these bounds.
constexpr int kSpareConnectionsDivisor = 16;
constexpr int kMinSpareConnections = 1;
constexpr int kMaxSpareConnections = 64;
// First capacity of the buffer of a body without a declared length.
constexpr size_t kMinBodyBuffer = 4096;
// Interval of the checks for clients that closed connections which have no
// complete request, and time without received bytes before the check.
constexpr auto kClosedClientInterval = std::chrono::seconds(1);
constexpr auto kLimitLogInterval = std::chrono::seconds(1);

// Longer log lines of libmicrohttpd are truncated.
constexpr size_t kMaxLogLine = 256;

void LogLibraryMessage(void* /*context*/, const char* format, va_list values) {
  std::array<char, kMaxLogLine> line = {};
  std::vsnprintf(line.data(), line.size(), format, values);
  Log(LogLevel::kDebug, "libmicrohttpd message", {{"detail", line.data()}});
}

// Connections are checked for the request timeout this many times per timeout,
// at an interval within these bounds. If `client_check_interval` is set, it is
// the interval instead.
constexpr int kSweepsPerTimeout = 4;
constexpr absl::Duration kMinSweepInterval = absl::Milliseconds(10);
constexpr absl::Duration kMaxSweepInterval = absl::Seconds(5);

HttpResponse ErrorResponse(int status, ErrorCode code, const char* detail) {
  HttpResponse response;
  response.status = status;
  response.body.append(R"({"error":{"code":")")
      .append(ErrorCodeName(code))
      .append(R"(","step":"receive","peer":"","detail":")")
      .append(detail)
      .append("\"}}");
  return response;
}

void FreeBody(void* body) {
  delete static_cast<std::string*>(body);
}

int UnreadBytes(int fd) {
  int n = 0;
  return ioctl(fd, FIONREAD, &n) == 0 ? n : 0;
}

bool HasClientDisconnected(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  pollfd socket = {info->connect_fd, POLLRDHUP, 0};
  return poll(&socket, 1, 0) > 0 &&
         (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

MHD_Result QueueResponse(MHD_Connection* connection,
                         HttpResponse response,
                         bool close) {
  auto* body = new std::string(std::move(response.body));
  MHD_Response* result = MHD_create_response_from_buffer_with_free_callback_cls(
      body->size(), body->data(), &FreeBody, body);
  if (result == nullptr) {
    delete body;
    return MHD_NO;
  }
  if (!response.content_type.empty()) {
    MHD_add_response_header(result, MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.content_type.c_str());
  }
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(result, name.c_str(), value.c_str());
  }
  if (close) {
    MHD_add_response_header(result, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result queued = MHD_queue_response(
      connection, static_cast<unsigned>(response.status), result);
  MHD_destroy_response(result);
  return queued;
}

MHD_Result AddHeaderSize(void* total,
                         MHD_ValueKind /*kind*/,
                         const char* name,
                         const char* value) {
  constexpr size_t kSeparators = 4;  // ": " and the end of the line
  *static_cast<size_t*>(total) += std::strlen(name) + kSeparators +
                                  (value == nullptr ? 0 : std::strlen(value));
  return MHD_YES;
}

// 0 if no length is declared; libmicrohttpd refuses invalid ones.
uint64_t DeclaredBodyBytes(MHD_Connection* connection) {
  const char* value = MHD_lookup_connection_value(
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  uint64_t length = 0;
  return value != nullptr && absl::SimpleAtoi(value, &length) ? length : 0;
}

MHD_Result AddQuery(void* query,
                    MHD_ValueKind /*kind*/,
                    const char* name,
                    const char* value) {
  (*static_cast<std::map<std::string, std::string>*>(query))[name] =
      value == nullptr ? "" : value;
  return MHD_YES;
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  for (const auto& it : headers) {
    if (it.first == name) {
      return it.second;
    }
  }
  return {};
}

std::string_view HttpRequest::Query(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? std::string_view() : it->second;
}

using internal::HttpRequestState;

// Shared by the copies of one responder. Its destructor answers with status 500
// if the request is unanswered.
class HttpResponder::Exchange {
 public:
  explicit Exchange(std::shared_ptr<HttpRequestState> state)
      : state_(std::move(state)) {}
  ~Exchange() {
    state_->Answer(ErrorResponse(MHD_HTTP_INTERNAL_SERVER_ERROR,
                                 ErrorCode::kInternal,
                                 "the handler did not answer the request"));
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Answer(HttpResponse response) { state_->Answer(std::move(response)); }
  void CloseConnection() { state_->CloseConnection(); }
  bool OnClientDisconnect(std::function<void()> callback) {
    return state_->OnClientDisconnect(std::move(callback));
  }

 private:
  const std::shared_ptr<HttpRequestState> state_;
};

HttpResponder::HttpResponder(std::shared_ptr<Exchange> exchange)
    : exchange_(std::move(exchange)) {}

void HttpResponder::operator()(HttpResponse response) const {
  exchange_->Answer(std::move(response));
}

void HttpResponder::CloseConnection() const {
  exchange_->CloseConnection();
}

bool HttpResponder::OnClientDisconnect(std::function<void()> callback) const {
  return exchange_->OnClientDisconnect(std::move(callback));
}

class HttpServer::Impl {
 public:
  Impl(HttpServerSettings settings, HttpHandler handler)
      : settings_(std::move(settings)), handler_(std::move(handler)) {}
  ~Impl() { Stop(absl::ZeroDuration()); }

  bool Start(Error* error);
  bool Stop(absl::Duration timeout);
  void CloseAfterResponses() {
    const std::lock_guard lock(mutex_);
    close_after_responses_ = true;
  }
  uint16_t port() const { return port_; }
  absl::Time clients_checked() const {
    return absl::FromUnixMicros(clients_checked_us_);
  }
  std::string address() const {
    return internal::WithPort(settings_.address, port_);
  }
  int requests_in_progress() const {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(requests_.size());
  }
  HttpLimitCounts limit_counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
  }

 private:
  using StatePointer = std::shared_ptr<HttpRequestState>;

  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload_data,
                             size_t* upload_data_size,
                             void** context);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code);

  // Refuses connections once the server stops.
  static MHD_Result OnAccept(void* self,
                             const sockaddr* client,
                             socklen_t size);
  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code);

  MHD_Result OnHeader(MHD_Connection* connection,
                      const char* url,
                      const char* method,
                      void** context);
  MHD_Result OnBody(MHD_Connection* connection,
                    HttpRequestState& state,
                    const char* data,
                    size_t* size);
  MHD_Result OnRequestEnd(MHD_Connection* connection,
                          const StatePointer& state);
  MHD_Result RejectTooLarge(MHD_Connection* connection,
                            int status,
                            const char* detail);
  void FillRequest(MHD_Connection* connection, HttpRequest& request) const;
  MHD_Result RefuseForMemory(MHD_Connection* connection);
  bool closes_connections() const {
    const std::lock_guard lock(mutex_);
    return stopping_ || close_after_responses_;
  }
  void CheckClients();
  void CheckWaitingClients();
  void CloseForUnreadBytes(std::vector<std::pair<size_t, StatePointer>> unread);
  bool WaitUntilIdle(std::chrono::steady_clock::time_point deadline);
  void Sweep();
  void StopSweeper();

  // State of a connection for the request timeout, which runs from `since`
  // while a request is awaited or received.
  struct ConnectionRecord {
    int fd = -1;
    bool receiving = true;
    std::chrono::steady_clock::time_point since;
    HeldMemory::Phase phase = HeldMemory::Phase::kIdle;
    std::chrono::steady_clock::time_point last_received;
    // The request whose body is received; null otherwise.
    HttpRequestState* body_owner = nullptr;
    // Reserved in the budget, besides the connection's own memory.
    size_t body_bytes = 0;
    // Was shut down; its memory is released in the budget.
    bool closing = false;
  };
  static ConnectionRecord* GetRecord(MHD_Connection* connection);
  size_t connection_memory_bytes() const {
    return std::max(kConnectionMemoryBytes, 2 * settings_.max_header_bytes);
  }
  // The functions from here on require `mutex_`.
  ConnectionRecord* ChooseToClose() const;
  void Close(ConnectionRecord& record, uint64_t& counter);
  void ShutDown(ConnectionRecord& record);
  void ShutDownClosedByClients();
  void CloseIfTooMany();
  bool ReserveMemory(const ConnectionRecord& record, size_t bytes);
  bool GrowBody(ConnectionRecord& record, std::string& body, size_t capacity);
  void ReleaseBody(ConnectionRecord& record);
  void LogCounts();

  const HttpServerSettings settings_;
  const HttpHandler handler_;
  const SystemClock clock_;
  std::atomic<int64_t> clients_checked_us_ =
      std::numeric_limits<int64_t>::min();
  uint16_t port_ = 0;
  MHD_Daemon* daemon_ = nullptr;

  mutable std::mutex mutex_;
  std::condition_variable requests_changed_;
  std::condition_variable sweeper_wakeup_;
  absl::flat_hash_set<StatePointer> requests_;
  uint64_t requests_started_ = 0;
  bool stopping_ = false;  // responses close their connections
  bool close_after_responses_ = false;
  // Set when the stop timeout has passed; new requests then get status 503.
  bool rejecting_requests_ = false;
  bool sweeper_running_ = false;
  size_t closing_connections_ = 0;
  HttpLimitCounts counts_;
  std::chrono::steady_clock::time_point last_limit_log_;
  std::chrono::steady_clock::time_point last_closed_client_check_;
  absl::flat_hash_set<std::unique_ptr<ConnectionRecord>> connections_;
  std::thread sweeper_;
};

bool HttpServer::Impl::Start(Error* error) {
  auto listener = internal::ListenOn(settings_.address, &port_, error,
                                     settings_.socket_buffer_bytes);
  if (!listener) {
    return false;
  }
  std::vector<MHD_OptionItem> options = {
      {MHD_OPTION_CONNECTION_LIMIT,
       settings_.max_connections +
           std::clamp(settings_.max_connections / kSpareConnectionsDivisor,
                      kMinSpareConnections, kMaxSpareConnections),
       nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       std::max<intptr_t>(1, absl::ToInt64Seconds(settings_.idle_timeout)),
       nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
       static_cast<intptr_t>(connection_memory_bytes()), nullptr},
      {MHD_OPTION_LISTEN_SOCKET, listener->get(), nullptr}};
  if (settings_.threads > 1) {
    options.push_back(
        {MHD_OPTION_THREAD_POOL_SIZE, settings_.threads, nullptr});
  }
  options.push_back({MHD_OPTION_END, 0, nullptr});
  daemon_ =
      MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
                           MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
                       0, &Impl::OnAccept, this, &Impl::OnAccess, this,
                       MHD_OPTION_EXTERNAL_LOGGER, &LogLibraryMessage, nullptr,
                       MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted, this,
                       MHD_OPTION_NOTIFY_CONNECTION, &Impl::OnConnection, this,
                       MHD_OPTION_ARRAY, options.data(), MHD_OPTION_END);
  if (daemon_ == nullptr) {
    Fail(error, ErrorCode::kInternal, Step::kSettings,
         "the HTTP server could not be started", settings_.address);
    return false;
  }
  listener->release();
  if (settings_.request_timeout < absl::InfiniteDuration()) {
    sweeper_running_ = true;
    sweeper_ = std::thread([this] { Sweep(); });
  }
  return true;
}

// Shuts down the sockets of clients that exceed the request timeout, since
// libmicrohttpd's own timeout restarts with each byte received. The thread
// sleeps while there are no connections.
void HttpServer::Impl::Sweep() {
  const auto timeout = absl::ToChronoNanoseconds(settings_.request_timeout);
  const auto interval = absl::ToChronoNanoseconds(
      settings_.client_check_interval > absl::ZeroDuration()
          ? settings_.client_check_interval
          : std::clamp(settings_.request_timeout / kSweepsPerTimeout,
                       kMinSweepInterval, kMaxSweepInterval));
  std::unique_lock lock(mutex_);
  while (sweeper_running_) {
    if (connections_.empty()) {
      sweeper_wakeup_.wait(lock);
      continue;
    }
    const auto cutoff = std::chrono::steady_clock::now() - timeout;
    for (const auto& it : connections_) {
      if (it->receiving && it->since < cutoff && !it->closing) {
        Close(*it, counts_.connections_closed_for_time);
      }
    }
    ShutDownClosedByClients();
    if (settings_.client_check_interval > absl::ZeroDuration()) {
      lock.unlock();
      CheckClients();
      lock.lock();
    }
    sweeper_wakeup_.wait_for(lock, interval, [&] { return !sweeper_running_; });
  }
}

void HttpServer::Impl::CheckClients() {
  const absl::Time started = clock_.Monotonic();
  CheckWaitingClients();
  clients_checked_us_ = absl::ToUnixMicros(started);
}

// libmicrohttpd does not poll the socket of a suspended connection, so it does
// not detect clients that disconnect before their request is answered.
void HttpServer::Impl::CheckWaitingClients() {
  std::vector<StatePointer> waiting;
  {
    const std::lock_guard lock(mutex_);
    waiting.assign(requests_.begin(), requests_.end());
  }
  std::vector<pollfd> sockets;
  std::vector<StatePointer> states;
  for (auto& it : waiting) {
    const int fd = it->waiting_fd();
    if (fd >= 0) {
      sockets.push_back({fd, POLLRDHUP | POLLIN, 0});
      states.push_back(std::move(it));
    }
  }
  if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0) {
    return;
  }
  std::vector<std::pair<size_t, StatePointer>> unread;
  for (size_t i = 0; i < sockets.size(); ++i) {
    if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      states[i]->HandleClientDisconnect();
    } else if ((sockets[i].revents & POLLIN) != 0) {
      unread.emplace_back(UnreadBytes(sockets[i].fd), std::move(states[i]));
    }
  }
  if (settings_.memory != nullptr) {
    CloseForUnreadBytes(std::move(unread));
  }
}

// Requests that follow an unanswered one stay in the buffer of the socket. They
// are counted here only, since most connections have none.
void HttpServer::Impl::CloseForUnreadBytes(
    std::vector<std::pair<size_t, StatePointer>> unread) {
  size_t total = 0;
  for (const auto& [bytes, state] : unread) {
    total += bytes;
  }
  std::sort(unread.begin(), unread.end());
  while (!unread.empty() &&
         settings_.memory->used() + total > settings_.memory->limit()) {
    total -= unread.back().first;
    unread.back().second->HandleClientDisconnect();
    unread.pop_back();
    const std::lock_guard lock(mutex_);
    ++counts_.connections_closed_for_unread_bytes;
    LogCounts();
  }
}

HttpServer::Impl::ConnectionRecord* HttpServer::Impl::ChooseToClose() const {
  const auto now = std::chrono::steady_clock::now();
  std::vector<HeldMemory> held;
  std::vector<ConnectionRecord*> records;
  held.reserve(connections_.size());
  records.reserve(connections_.size());
  for (const auto& it : connections_) {
    if (!it->closing) {
      held.push_back({it->phase, connection_memory_bytes() + it->body_bytes,
                      absl::FromChrono(now - it->last_received)});
      records.push_back(it.get());
    }
  }
  const auto position = ChooseConnectionToClose(held);
  return position.has_value() ? records[*position] : nullptr;
}

void HttpServer::Impl::Close(ConnectionRecord& record, uint64_t& counter) {
  ShutDown(record);
  ++counter;
  LogCounts();
}

// libmicrohttpd frees the connection's own memory once it has noticed the
// shutdown, in the next round of its event loop.
void HttpServer::Impl::ShutDown(ConnectionRecord& record) {
  if (record.body_owner != nullptr) {
    std::string().swap(record.body_owner->request.body);
  }
  ReleaseBody(record);
  if (settings_.memory != nullptr) {
    settings_.memory->Release(connection_memory_bytes());
  }
  record.closing = true;
  ++closing_connections_;
  shutdown(record.fd, SHUT_RDWR);
}

// libmicrohttpd 0.9.75 misses that a client closed its connection if that
// arrives together with the last data: half of 100 such connections stayed open
// with their bodies, up to the idle timeout.
void HttpServer::Impl::ShutDownClosedByClients() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_closed_client_check_ < kClosedClientInterval) {
    return;
  }
  last_closed_client_check_ = now;
  std::vector<pollfd> sockets;
  std::vector<ConnectionRecord*> records;
  for (const auto& it : connections_) {
    if (!it->closing && it->receiving &&
        now - it->last_received >= kClosedClientInterval) {
      sockets.push_back({it->fd, POLLRDHUP, 0});
      records.push_back(it.get());
    }
  }
  if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0) {
    return;
  }
  for (size_t i = 0; i < sockets.size(); ++i) {
    if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 &&
        UnreadBytes(sockets[i].fd) == 0) {
      ShutDown(*records[i]);
    }
  }
}

void HttpServer::Impl::CloseIfTooMany() {
  if (connections_.size() - closing_connections_ <=
      static_cast<size_t>(settings_.max_connections)) {
    return;
  }
  if (ConnectionRecord* record = ChooseToClose()) {
    Close(*record, counts_.connections_closed_for_number);
  }
}

// Closes connections until there is room; false if that of `record` would be
// next.
bool HttpServer::Impl::ReserveMemory(const ConnectionRecord& record,
                                     size_t bytes) {
  while (!settings_.memory->TryReserve(bytes)) {
    ConnectionRecord* other = ChooseToClose();
    if (other == nullptr || other == &record) {
      return false;
    }
    Close(*other, counts_.connections_closed_for_memory);
  }
  return true;
}

bool HttpServer::Impl::GrowBody(ConnectionRecord& record,
                                std::string& body,
                                size_t capacity) {
  if (settings_.memory != nullptr && capacity > record.body_bytes) {
    // The choice of a connection to close considers the new size.
    const size_t before = std::exchange(record.body_bytes, capacity);
    if (!ReserveMemory(record, capacity - before)) {
      record.body_bytes = before;
      return false;
    }
  }
  body.reserve(capacity);
  return true;
}

void HttpServer::Impl::ReleaseBody(ConnectionRecord& record) {
  const size_t bytes = std::exchange(record.body_bytes, 0);
  if (settings_.memory != nullptr) {
    settings_.memory->Release(bytes);
  }
}

void HttpServer::Impl::LogCounts() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_limit_log_ < kLimitLogInterval) {
    return;
  }
  last_limit_log_ = now;
  Log(LogLevel::kWarning, "clients exceed the limits",
      {{"address", settings_.address},
       {"requests_refused_for_memory",
        absl::StrCat(counts_.requests_refused_for_memory)},
       {"connections_closed_for_memory",
        absl::StrCat(counts_.connections_closed_for_memory)},
       {"connections_closed_for_number",
        absl::StrCat(counts_.connections_closed_for_number)},
       {"connections_closed_for_unread_bytes",
        absl::StrCat(counts_.connections_closed_for_unread_bytes)},
       {"connections_closed_for_time",
        absl::StrCat(counts_.connections_closed_for_time)}});
}

void HttpServer::Impl::StopSweeper() {
  {
    const std::lock_guard lock(mutex_);
    sweeper_running_ = false;
  }
  sweeper_wakeup_.notify_all();
  if (sweeper_.joinable()) {
    sweeper_.join();
  }
}

HttpServer::Impl::ConnectionRecord* HttpServer::Impl::GetRecord(
    MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == nullptr ? nullptr
                         : static_cast<ConnectionRecord*>(info->socket_context);
}

// `MHD_quiesce_daemon` is not used: it and a thread of the library may both
// remove the listening socket from an epoll set, and the second one then aborts
// the process.
MHD_Result HttpServer::Impl::OnAccept(void* self,
                                      const sockaddr* /*client*/,
                                      socklen_t /*size*/) {
  auto* impl = static_cast<Impl*>(self);
  const std::lock_guard lock(impl->mutex_);
  return impl->stopping_ ? MHD_NO : MHD_YES;
}

// libmicrohttpd reports the end of a connection before it closes the socket, so
// the sweeper never shuts down a file descriptor that was reused.
void HttpServer::Impl::OnConnection(void* self,
                                    MHD_Connection* connection,
                                    void** socket_context,
                                    MHD_ConnectionNotificationCode code) {
  auto* impl = static_cast<Impl*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    auto record = std::make_unique<ConnectionRecord>();
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    record->fd = info->connect_fd;
    record->since = std::chrono::steady_clock::now();
    record->last_received = record->since;
    ConnectionRecord& added = *record;
    *socket_context = &added;
    const std::lock_guard lock(impl->mutex_);
    impl->connections_.insert(std::move(record));
    if (impl->connections_.size() == 1) {
      impl->sweeper_wakeup_.notify_one();
    }
    impl->CloseIfTooMany();
    if (impl->settings_.memory != nullptr && !added.closing &&
        !impl->ReserveMemory(added, impl->connection_memory_bytes())) {
      impl->settings_.memory->Reserve(impl->connection_memory_bytes());
      impl->Close(added, impl->counts_.connections_closed_for_memory);
    }
  } else {
    auto* record = static_cast<ConnectionRecord*>(*socket_context);
    const std::lock_guard lock(impl->mutex_);
    if (record->closing) {
      --impl->closing_connections_;
    } else if (impl->settings_.memory != nullptr) {
      impl->settings_.memory->Release(impl->connection_memory_bytes());
    }
    impl->connections_.erase(record);
  }
}

bool HttpServer::Impl::WaitUntilIdle(
    std::chrono::steady_clock::time_point deadline) {
  std::unique_lock lock(mutex_);
  while (true) {
    if (!requests_changed_.wait_until(lock, deadline,
                                      [&] { return requests_.empty(); })) {
      return false;
    }
    const uint64_t started = requests_started_;
    requests_changed_.wait_for(lock, kIdlePeriod,
                               [&] { return requests_started_ != started; });
    if (requests_started_ == started) {
      return true;
    }
  }
}

bool HttpServer::Impl::Stop(absl::Duration timeout) {
  if (daemon_ == nullptr) {
    return true;
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  constexpr absl::Duration kMaxWait = absl::Hours(24);
  const auto wait = absl::ToChronoNanoseconds(
      std::clamp(timeout, absl::ZeroDuration(), kMaxWait));
  const bool finished = timeout > absl::ZeroDuration() &&
                        WaitUntilIdle(std::chrono::steady_clock::now() + wait);
  std::vector<StatePointer> unanswered;
  {
    const std::lock_guard lock(mutex_);
    rejecting_requests_ = true;
    unanswered.assign(requests_.begin(), requests_.end());
  }
  for (const auto& it : unanswered) {
    it->Answer(ErrorResponse(
        settings_.unfinished_status,
        settings_.unfinished_status == MHD_HTTP_SERVICE_UNAVAILABLE
            ? ErrorCode::kDraining
            : ErrorCode::kOutcomeUnknown,
        "the server is shutting down"));
  }
  if (!unanswered.empty()) {
    WaitUntilIdle(std::chrono::steady_clock::now() + kFinalSendTimeout);
  }
  StopSweeper();
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
  return finished || unanswered.empty();
}

void HttpServer::Impl::FillRequest(MHD_Connection* connection,
                                   HttpRequest& request) const {
  for (const auto& name : settings_.request_headers) {
    const char* value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name.c_str());
    if (value != nullptr) {
      request.headers.emplace_back(name, value);
    }
  }
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                            &request.query);
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info != nullptr) {
    request.peer = internal::FormatSocketAddress(info->client_addr);
  }
}

// libmicrohttpd closes the connection after a response that is queued before
// the body is read.
MHD_Result HttpServer::Impl::RejectTooLarge(MHD_Connection* connection,
                                            int status,
                                            const char* detail) {
  return QueueResponse(
      connection, ErrorResponse(status, ErrorCode::kTooLarge, detail), true);
}

MHD_Result HttpServer::Impl::RefuseForMemory(MHD_Connection* connection) {
  HttpResponse response =
      ErrorResponse(MHD_HTTP_SERVICE_UNAVAILABLE, ErrorCode::kOverloaded,
                    "the memory for requests is in use");
  response.headers.emplace_back(MHD_HTTP_HEADER_RETRY_AFTER, "1");
  return QueueResponse(connection, std::move(response), true);
}

MHD_Result HttpServer::Impl::OnHeader(MHD_Connection* connection,
                                      const char* url,
                                      const char* method,
                                      void** context) {
  auto state = std::make_shared<HttpRequestState>(connection);
  state->request.method = method;
  state->request.path = url;
  *context = new StatePointer(state);
  {
    const std::lock_guard lock(mutex_);
    requests_.insert(state);
    ++requests_started_;
  }
  size_t header_bytes = state->request.path.size();
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeaderSize,
                            &header_bytes);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddHeaderSize,
                            &header_bytes);
  if (header_bytes > settings_.max_header_bytes) {
    return RejectTooLarge(connection, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                          "the request header exceeds the limit");
  }
  const uint64_t declared_bytes = DeclaredBodyBytes(connection);
  if (declared_bytes > settings_.max_body_bytes) {
    return RejectTooLarge(connection, MHD_HTTP_CONTENT_TOO_LARGE,
                          "the request body exceeds the limit");
  }
  FillRequest(connection, state->request);
  {
    const std::lock_guard lock(mutex_);
    ConnectionRecord* record = GetRecord(connection);
    if (record == nullptr || record->closing) {
      return MHD_NO;
    }
    record->phase = HeldMemory::Phase::kBody;
    record->body_owner = state.get();
    record->last_received = std::chrono::steady_clock::now();
    if (GrowBody(*record, state->request.body, declared_bytes)) {
      return MHD_YES;
    }
    ++counts_.requests_refused_for_memory;
    LogCounts();
  }
  return RefuseForMemory(connection);
}

MHD_Result HttpServer::Impl::OnBody(MHD_Connection* connection,
                                    HttpRequestState& state,
                                    const char* data,
                                    size_t* size) {
  const std::lock_guard lock(mutex_);
  ConnectionRecord* record = GetRecord(connection);
  if (record == nullptr || record->closing) {
    return MHD_NO;
  }
  record->last_received = std::chrono::steady_clock::now();
  state.received_bytes += *size;
  std::string& body = state.request.body;
  if (state.received_bytes > settings_.max_body_bytes) {
    state.too_large = true;
    std::string().swap(body);
    ReleaseBody(*record);
    if (state.received_bytes > kDiscardFactor * settings_.max_body_bytes) {
      return MHD_NO;
    }
  } else {
    if (state.received_bytes > body.capacity() &&
        !GrowBody(*record, body,
                  std::min(std::max({kMinBodyBuffer, 2 * body.capacity(),
                                     state.received_bytes}),
                           settings_.max_body_bytes))) {
      Close(*record, counts_.connections_closed_for_memory);
      return MHD_NO;
    }
    body.append(data, *size);
  }
  *size = 0;
  return MHD_YES;
}

// Called once when the request is complete and again when its suspended
// connection is resumed.
MHD_Result HttpServer::Impl::OnRequestEnd(MHD_Connection* connection,
                                          const StatePointer& state) {
  if (state->too_large) {
    return RejectTooLarge(connection, MHD_HTTP_CONTENT_TOO_LARGE,
                          "the request body exceeds the limit");
  }
  if (!state->dispatched) {
    state->dispatched = true;
    bool rejecting = false;
    {
      const std::lock_guard lock(mutex_);
      rejecting = rejecting_requests_;
      if (ConnectionRecord* record = GetRecord(connection)) {
        if (record->closing) {
          return MHD_NO;
        }
        record->receiving = false;
        record->phase = HeldMemory::Phase::kWaiting;
        record->body_owner = nullptr;
      }
    }
    if (settings_.client_check_interval > absl::ZeroDuration() &&
        HasClientDisconnected(connection)) {
      // After the process was paused, the socket buffers may hold requests of
      // clients that have since disconnected.
      return MHD_NO;
    }
    if (rejecting) {
      state->Answer(ErrorResponse(MHD_HTTP_SERVICE_UNAVAILABLE,
                                  ErrorCode::kDraining,
                                  "the server is shutting down"));
    } else {
      handler_(std::move(state->request),
               HttpResponder(std::make_shared<HttpResponder::Exchange>(state)));
    }
  }
  if (!state->IsAnsweredOrSuspend()) {
    return MHD_YES;
  }
  {
    // A client that does not read its response may be closed for others.
    const std::lock_guard lock(mutex_);
    if (ConnectionRecord* record = GetRecord(connection)) {
      record->phase = HeldMemory::Phase::kIdle;
      record->last_received = std::chrono::steady_clock::now();
    }
  }
  return state->close_without_response()
             ? MHD_NO
             : QueueResponse(connection, state->TakeResponse(),
                             closes_connections());
}

MHD_Result HttpServer::Impl::OnAccess(void* self,
                                      MHD_Connection* connection,
                                      const char* url,
                                      const char* method,
                                      const char* /*version*/,
                                      const char* upload_data,
                                      size_t* upload_data_size,
                                      void** context) {
  auto* impl = static_cast<Impl*>(self);
  if (*context == nullptr) {
    return impl->OnHeader(connection, url, method, context);
  }
  const StatePointer state = *static_cast<StatePointer*>(*context);
  if (*upload_data_size > 0) {
    return impl->OnBody(connection, *state, upload_data, upload_data_size);
  }
  return impl->OnRequestEnd(connection, state);
}

void HttpServer::Impl::OnCompleted(void* self,
                                   MHD_Connection* connection,
                                   void** context,
                                   MHD_RequestTerminationCode /*code*/) {
  if (*context == nullptr) {
    return;
  }
  auto* impl = static_cast<Impl*>(self);
  const std::unique_ptr<StatePointer> state(
      static_cast<StatePointer*>(*context));
  *context = nullptr;
  (*state)->Complete();
  const std::lock_guard lock(impl->mutex_);
  impl->requests_.erase(*state);
  if (ConnectionRecord* record = GetRecord(connection)) {
    record->receiving = true;
    record->since = std::chrono::steady_clock::now();
    record->last_received = record->since;
    record->phase = HeldMemory::Phase::kIdle;
    record->body_owner = nullptr;
    impl->ReleaseBody(*record);
  }
  if (impl->stopping_) {
    impl->requests_changed_.notify_all();
  }
}

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler handler)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(handler))) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Start(Error* error) {
  return impl_->Start(error);
}

uint16_t HttpServer::port() const {
  return impl_->port();
}

absl::Time HttpServer::clients_checked() const {
  return impl_->clients_checked();
}
std::string HttpServer::address() const {
  return impl_->address();
}

int HttpServer::requests_in_progress() const {
  return impl_->requests_in_progress();
}

HttpLimitCounts HttpServer::limit_counts() const {
  return impl_->limit_counts();
}

void HttpServer::CloseAfterResponses() {
  impl_->CloseAfterResponses();
}

bool HttpServer::Stop(absl::Duration timeout) {
  return impl_->Stop(timeout);
}

}  // namespace radishrail
