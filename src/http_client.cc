#include "radishrail/http_client.h"

#include <curl/curl.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <deque>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "radishrail/log.h"
#include "socket_address.h"
#include "socket_table.h"

namespace radishrail {

namespace {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;

constexpr absl::Duration kMaxTimeout = absl::Hours(24);
constexpr int kMaxEvents = 64;
// Unused easy handles that are kept for reuse; each takes a few kilobytes.
constexpr size_t kMaxIdleHandles = 256;
// Beyond this number of hosts, those without requests are removed.
constexpr size_t kMaxIdleHosts = 4096;
constexpr size_t kMaxThreadName = 15;  // limit of pthread_setname_np

struct Transfer;
struct Host;

void InitCurlOnce() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(code);
}

bool HasBody(const std::string& method) {
  return method == "POST" || method == "PUT";
}

// One request from `Send` to its callback.
struct Transfer {
  HttpClientRequest request;
  internal::SocketTable* sockets = nullptr;
  HttpClient::Callback callback;
  TimePoint deadline;
  HttpResult result;
  size_t max_response_bytes = 0;
  bool refused_to_start = false;
  bool response_too_large = false;
  Host* host = nullptr;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  // Socket of a connection attempt for this request that is not yet in the
  // socket table; -1 if there is none.
  int new_socket = -1;
  std::array<char, CURL_ERROR_SIZE> error_text = {};
};

struct Host {
  int active = 0;
  std::deque<Transfer*> waiting;
  std::optional<TimePoint> last_response;
};

// Called by curl when a connection is ready, before the first byte of the
// request. If a persistent connection breaks before the response, curl retries
// the request on a new connection; the second call aborts that, since the
// server may have acted on the first.
int OnBeforeRequest(void* context,
                    char* /*remote_ip*/,
                    char* /*local_ip*/,
                    int /*remote_port*/,
                    int /*local_port*/) {
  auto* transfer = static_cast<Transfer*>(context);
  // curl reports the close of a socket only if it was connected: that of an
  // attempt that fails is closed without a notice, and its number is used for
  // something else.
  const int new_socket = std::exchange(transfer->new_socket, -1);
  if (new_socket >= 0) {
    transfer->sockets->Add(new_socket, transfer->request.address);
  }
  if (transfer->result.may_have_been_sent) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (transfer->request.may_start && !transfer->request.may_start()) {
    transfer->refused_to_start = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->result.may_have_been_sent = true;
  return CURL_PREREQFUNC_OK;
}

size_t OnBody(char* data, size_t size, size_t count, void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const size_t n = size * count;
  if (transfer->result.body.size() + n > transfer->max_response_bytes) {
    transfer->response_too_large = true;
    return 0;
  }
  transfer->result.body.append(data, n);
  return n;
}

size_t OnHeader(char* data, size_t size, size_t count, void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const std::string_view line(data, size * count);
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return line.size();
  }
  const absl::string_view name(line.data(), colon);
  for (const auto& it : transfer->request.response_headers) {
    if (absl::EqualsIgnoreCase(name, it)) {
      const absl::string_view value = absl::StripAsciiWhitespace(
          {line.data() + colon + 1, line.size() - colon - 1});
      transfer->result.headers.emplace_back(
          it, std::string{value.data(), value.size()});
    }
  }
  return line.size();
}

ErrorCode ToErrorCode(const Transfer& transfer, CURLcode code) {
  if (transfer.refused_to_start) {
    return ErrorCode::kDeadlineExceeded;
  }
  if (transfer.response_too_large) {
    return ErrorCode::kTooLarge;
  }
  // curl reports a timeout of the connection attempt with the same code.
  if (code == CURLE_OPERATION_TIMEDOUT &&
      (transfer.result.may_have_been_sent ||
       SteadyClock::now() >= transfer.deadline)) {
    return ErrorCode::kDeadlineExceeded;
  }
  if (!transfer.result.may_have_been_sent) {
    return ErrorCode::kUnreachable;
  }
  switch (code) {
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_HTTP2:
      return ErrorCode::kProtocol;
    default:
      return ErrorCode::kConnectionBroken;
  }
}

std::string ErrorDetail(const Transfer& transfer, CURLcode code) {
  if (transfer.refused_to_start) {
    return "the start deadline passed before a connection was ready";
  }
  if (transfer.response_too_large) {
    return "the response body exceeds the size limit";
  }
  if (code == CURLE_ABORTED_BY_CALLBACK) {
    return "the persistent connection broke before the response";
  }
  return transfer.error_text[0] != '\0' ? transfer.error_text.data()
                                        : curl_easy_strerror(code);
}

}  // namespace

std::string_view HttpResult::Header(std::string_view name) const {
  for (const auto& it : headers) {
    if (it.first == name) {
      return it.second;
    }
  }
  return {};
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved = "-._~/";
  std::string out;
  out.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) ||
        kUnreserved.find(c) != std::string_view::npos) {
      out.push_back(c);
    } else {
      out.push_back('%');
      out.push_back(kDigits[byte >> 4]);
      out.push_back(kDigits[byte & 0xF]);
    }
  }
  return out;
}

// Drives curl's socket interface: curl reports the sockets and the time that it
// waits for, and the client waits for them with epoll. The cost of an event
// does not depend on the number of transfers, whereas curl_multi_poll and
// curl_multi_perform visit all transfers at each wake-up.
class HttpClient::Impl {
 public:
  Impl(HttpClientSettings settings, Executor& executor);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Send(HttpClientRequest request, Callback callback);
  void Stop();

 private:
  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int what,
                      void* self,
                      void* registered);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static curl_socket_t OnOpenSocket(void* transfer,
                                    curlsocktype purpose,
                                    curl_sockaddr* address);
  static int OnCloseSocket(void* self, curl_socket_t socket);

  void Run();
  bool ProcessSubmitted();
  int WaitMilliseconds() const;
  void HandleEvents(int count);
  void RunCurlTimer();
  void Enqueue(Transfer* transfer);
  void StartWaitingTransfers(Host& host);
  void StartTransfer(Transfer* transfer);
  bool Configure(Transfer& transfer, std::chrono::milliseconds remaining);
  void ExpireWaiting();
  void ReadCompletions();
  void Complete(Transfer* transfer, CURLcode code);
  bool IsSilent(const Host& host) const;
  // Closes the idle connections to a host that is silent.
  void CloseSilentConnections(const Transfer& transfer, CURLcode code);
  void Fail(Transfer* transfer, ErrorCode code, std::string detail);
  void PostResult(Transfer* transfer);
  void ReleaseHandle(Transfer& transfer);
  void CancelAll();
  CURL* NewHandle();

  const HttpClientSettings settings_;
  Executor& executor_;

  std::mutex mutex_;
  std::vector<Transfer*> submitted_;
  bool wake_pending_ = false;
  bool stopping_ = false;

  internal::FileDescriptor epoll_;
  internal::FileDescriptor wake_event_;

  // Used by the client's thread only.
  CURLM* multi_ = nullptr;
  std::optional<TimePoint> curl_timer_at_;
  std::array<epoll_event, kMaxEvents> events_ = {};
  std::vector<CURL*> idle_handles_;
  std::set<Transfer*> active_;
  // Transfers that wait for a connection, by deadline.
  std::set<std::pair<TimePoint, Transfer*>> waiting_;
  absl::flat_hash_map<std::string, std::unique_ptr<Host>> hosts_;
  internal::SocketTable sockets_;

  std::thread thread_;
};

HttpClient::Impl::Impl(HttpClientSettings settings, Executor& executor)
    : settings_(std::move(settings)),
      executor_(executor),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  InitCurlOnce();
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(settings_.max_idle_connections));
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.fd = wake_event_.get();
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_event_.get(), &event);
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(),
                     settings_.thread_name.substr(0, kMaxThreadName).c_str());
}

HttpClient::Impl::~Impl() {
  Stop();
}

void HttpClient::Impl::Send(HttpClientRequest request, Callback callback) {
  auto transfer = std::make_unique<Transfer>();
  const auto timeout =
      std::clamp(request.timeout, absl::ZeroDuration(), kMaxTimeout);
  transfer->deadline = SteadyClock::now() + absl::ToChronoNanoseconds(timeout);
  transfer->request = std::move(request);
  transfer->callback = std::move(callback);
  transfer->max_response_bytes = settings_.max_response_bytes;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!stopping_) {
      submitted_.push_back(transfer.release());
      wake = !std::exchange(wake_pending_, true);
    }
  }
  if (transfer != nullptr) {
    Fail(transfer.release(), ErrorCode::kCancelled, "the client has stopped");
  } else if (wake) {
    eventfd_write(wake_event_.get(), 1);
  }
}

void HttpClient::Impl::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_pending_ = true;
  }
  eventfd_write(wake_event_.get(), 1);
  if (thread_.joinable()) {
    thread_.join();
  }
}

int HttpClient::Impl::OnSocket(CURL* /*easy*/,
                               curl_socket_t socket,
                               int what,
                               void* self,
                               void* registered) {
  auto* impl = static_cast<Impl*>(self);
  // curl waits for a socket as long as a request uses it.
  impl->sockets_.SetInUse(socket, what != CURL_POLL_REMOVE);
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(impl->epoll_.get(), EPOLL_CTL_DEL, socket, nullptr);
    return 0;
  }
  epoll_event event = {};
  event.data.fd = socket;
  if ((what & CURL_POLL_IN) != 0) {
    event.events |= EPOLLIN;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    event.events |= EPOLLOUT;
  }
  epoll_ctl(impl->epoll_.get(),
            registered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket,
            &event);
  // A non-null value marks the socket as registered with epoll.
  curl_multi_assign(impl->multi_, socket, impl);
  return 0;
}

int HttpClient::Impl::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* impl = static_cast<Impl*>(self);
  if (timeout_ms < 0) {
    impl->curl_timer_at_.reset();
  } else {
    impl->curl_timer_at_ =
        SteadyClock::now() + std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

curl_socket_t HttpClient::Impl::OnOpenSocket(void* transfer,
                                             curlsocktype /*purpose*/,
                                             curl_sockaddr* address) {
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  if (fd < 0) {
    return CURL_SOCKET_BAD;
  }
  static_cast<Transfer*>(transfer)->new_socket = fd;
  return fd;
}

int HttpClient::Impl::OnCloseSocket(void* self, curl_socket_t socket) {
  static_cast<Impl*>(self)->sockets_.Remove(socket);
  return close(socket);
}

int HttpClient::Impl::WaitMilliseconds() const {
  std::optional<TimePoint> due = curl_timer_at_;
  if (!waiting_.empty() && (!due || waiting_.begin()->first < *due)) {
    due = waiting_.begin()->first;
  }
  if (!due) {
    return -1;
  }
  const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(*due - SteadyClock::now());
  constexpr int64_t kMaxWait = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp<int64_t>(remaining.count(), 0, kMaxWait));
}

void HttpClient::Impl::Run() {
  // A write to a broken connection must not terminate the process.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  while (ProcessSubmitted()) {
    RunCurlTimer();
    ReadCompletions();
    const int count = epoll_wait(epoll_.get(), events_.data(), kMaxEvents,
                                 WaitMilliseconds());
    HandleEvents(count);
    RunCurlTimer();
    ReadCompletions();
    ExpireWaiting();
  }
  CancelAll();
  for (CURL* it : idle_handles_) {
    curl_easy_cleanup(it);
  }
  curl_multi_cleanup(multi_);
}

bool HttpClient::Impl::ProcessSubmitted() {
  std::vector<Transfer*> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(submitted_);
    if (stopping_) {
      submitted_.swap(batch);
      return false;
    }
    wake_pending_ = false;
  }
  for (Transfer* it : batch) {
    Enqueue(it);
  }
  return true;
}

void HttpClient::Impl::HandleEvents(int count) {
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events_[static_cast<size_t>(i)];
    if (event.data.fd == wake_event_.get()) {
      eventfd_t value = 0;
      eventfd_read(wake_event_.get(), &value);
      continue;
    }
    int flags = 0;
    if ((event.events & EPOLLIN) != 0) {
      flags |= CURL_CSELECT_IN;
    }
    if ((event.events & EPOLLOUT) != 0) {
      flags |= CURL_CSELECT_OUT;
    }
    if ((event.events & (EPOLLERR | EPOLLHUP)) != 0) {
      flags |= CURL_CSELECT_ERR;
    }
    int running = 0;
    curl_multi_socket_action(multi_, event.data.fd, flags, &running);
  }
}

void HttpClient::Impl::RunCurlTimer() {
  if (curl_timer_at_ && *curl_timer_at_ <= SteadyClock::now()) {
    curl_timer_at_.reset();
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
  }
}

void HttpClient::Impl::Enqueue(Transfer* transfer) {
  if (hosts_.size() > kMaxIdleHosts) {
    absl::erase_if(hosts_, [](const auto& it) {
      return it.second->active == 0 && it.second->waiting.empty();
    });
  }
  auto& host = hosts_[transfer->request.address];
  if (host == nullptr) {
    host = std::make_unique<Host>();
  }
  transfer->host = host.get();
  transfer->sockets = &sockets_;
  host->waiting.push_back(transfer);
  waiting_.emplace(transfer->deadline, transfer);
  StartWaitingTransfers(*host);
}

// Requests are queued here rather than in curl, so that the deadline is checked
// and the remaining time set as the timeout when a connection becomes free.
void HttpClient::Impl::StartWaitingTransfers(Host& host) {
  while (!host.waiting.empty() &&
         host.active < settings_.connections_per_host) {
    Transfer* transfer = host.waiting.front();
    host.waiting.pop_front();
    waiting_.erase({transfer->deadline, transfer});
    StartTransfer(transfer);
  }
}

CURL* HttpClient::Impl::NewHandle() {
  if (!idle_handles_.empty()) {
    CURL* easy = idle_handles_.back();
    idle_handles_.pop_back();
    return easy;
  }
  CURL* easy = curl_easy_init();
  if (easy == nullptr) {
    return nullptr;
  }
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // Ignores proxy settings in environment variables.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(
      easy, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(std::max<int64_t>(
          1, absl::ToInt64Milliseconds(settings_.connect_timeout))));
  curl_easy_setopt(
      easy, CURLOPT_MAXAGE_CONN,
      static_cast<long>(absl::ToInt64Seconds(settings_.max_idle_time)));
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpenSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  return easy;
}

bool HttpClient::Impl::Configure(Transfer& transfer,
                                 std::chrono::milliseconds remaining) {
  const HttpClientRequest& request = transfer.request;
  CURL* easy = transfer.easy;
  const std::string url =
      absl::StrCat("http://", request.address, request.target);
  bool ok = curl_easy_setopt(easy, CURLOPT_URL, url.c_str()) == CURLE_OK;
  if (HasBody(request.method)) {
    ok = ok && curl_easy_setopt(easy, CURLOPT_POST, 1L) == CURLE_OK &&
         curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data()) ==
             CURLE_OK &&
         curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                          static_cast<curl_off_t>(request.body.size())) ==
             CURLE_OK;
  } else {
    ok = ok && curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L) == CURLE_OK;
  }
  ok = ok && curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                              request.method.c_str()) == CURLE_OK;
  // An empty Expect header keeps curl from waiting for "100 Continue" before it
  // sends a large body.
  transfer.headers = curl_slist_append(nullptr, "Expect:");
  for (const auto& it : request.headers) {
    transfer.headers = curl_slist_append(transfer.headers, it.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(remaining.count()));
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.error_text.data());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  return ok;
}

void HttpClient::Impl::StartTransfer(Transfer* transfer) {
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      transfer->deadline - SteadyClock::now());
  if (remaining.count() <= 0) {
    Fail(transfer, ErrorCode::kDeadlineExceeded,
         "timed out while waiting for a free connection");
    return;
  }
  transfer->easy = NewHandle();
  if (transfer->easy == nullptr || !Configure(*transfer, remaining) ||
      curl_multi_add_handle(multi_, transfer->easy) != CURLM_OK) {
    ReleaseHandle(*transfer);
    Fail(transfer, ErrorCode::kInternal, "curl could not start the request");
    return;
  }
  ++transfer->host->active;
  active_.insert(transfer);
}

void HttpClient::Impl::ExpireWaiting() {
  const TimePoint now = SteadyClock::now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    Transfer* transfer = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    auto& queue = transfer->host->waiting;
    queue.erase(std::find(queue.begin(), queue.end(), transfer));
    Fail(transfer, ErrorCode::kDeadlineExceeded,
         "timed out while waiting for a free connection");
  }
}

void HttpClient::Impl::ReadCompletions() {
  int remaining = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    // The message is invalid once its handle is removed.
    const CURLcode code = message->data.result;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    Complete(transfer, code);
  }
}

void HttpClient::Impl::Complete(Transfer* transfer, CURLcode code) {
  Host* host = transfer->host;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->result.status = static_cast<int>(status);
  }
  curl_multi_remove_handle(multi_, transfer->easy);
  ReleaseHandle(*transfer);
  active_.erase(transfer);
  --host->active;
  if (code == CURLE_OK) {
    host->last_response = SteadyClock::now();
    PostResult(transfer);
  } else {
    CloseSilentConnections(*transfer, code);
    Fail(transfer, ToErrorCode(*transfer, code), ErrorDetail(*transfer, code));
  }
  StartWaitingTransfers(*host);
}

bool HttpClient::Impl::IsSilent(const Host& host) const {
  return !host.last_response.has_value() ||
         absl::FromChrono(SteadyClock::now() - *host.last_response) >=
             settings_.max_silence;
}

void HttpClient::Impl::CloseSilentConnections(const Transfer& transfer,
                                              CURLcode code) {
  if (!transfer.result.may_have_been_sent || code != CURLE_OPERATION_TIMEDOUT ||
      !IsSilent(*transfer.host)) {
    return;
  }
  const size_t closed = sockets_.ShutDownIdle(transfer.request.address);
  if (closed > 0) {
    Log(LogLevel::kInfo, "idle connections of a silent host closed",
        {{"peer", transfer.request.address},
         {"connections", absl::StrCat(closed)}});
  }
}

void HttpClient::Impl::ReleaseHandle(Transfer& transfer) {
  curl_slist_free_all(std::exchange(transfer.headers, nullptr));
  CURL* easy = std::exchange(transfer.easy, nullptr);
  if (easy == nullptr) {
    return;
  }
  if (idle_handles_.size() < kMaxIdleHandles) {
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, nullptr);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
    idle_handles_.push_back(easy);
  } else {
    curl_easy_cleanup(easy);
  }
}

void HttpClient::Impl::Fail(Transfer* transfer,
                            ErrorCode code,
                            std::string detail) {
  HttpResult& result = transfer->result;
  result.status = 0;
  result.headers.clear();
  result.body.clear();
  result.error = {code, settings_.step, transfer->request.address,
                  std::move(detail)};
  PostResult(transfer);
}

void HttpClient::Impl::PostResult(Transfer* transfer) {
  const std::unique_ptr<Transfer> owned(transfer);
  executor_.Post([callback = std::move(owned->callback),
                  result = std::move(owned->result)]() mutable {
    callback(std::move(result));
  });
}

void HttpClient::Impl::CancelAll() {
  for (Transfer* it : std::exchange(active_, {})) {
    curl_multi_remove_handle(multi_, it->easy);
    ReleaseHandle(*it);
    Fail(it, ErrorCode::kCancelled, "the client is stopping");
  }
  for (const auto& it : std::exchange(waiting_, {})) {
    Fail(it.second, ErrorCode::kCancelled, "the client is stopping");
  }
  std::vector<Transfer*> submitted;
  {
    const std::lock_guard lock(mutex_);
    submitted.swap(submitted_);
  }
  for (Transfer* it : submitted) {
    Fail(it, ErrorCode::kCancelled, "the client is stopping");
  }
}

HttpClient::HttpClient(HttpClientSettings settings, Executor& executor)
    : impl_(std::make_unique<Impl>(std::move(settings), executor)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpClientRequest request, Callback callback) {
  impl_->Send(std::move(request), std::move(callback));
}

void HttpClient::Stop() {
  impl_->Stop();
}

}  // namespace radishrail
