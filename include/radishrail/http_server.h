#ifndef RADISHRAIL_HTTP_SERVER_H_
#define RADISHRAIL_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/memory_budget.h"

namespace radishrail {

// A request with its whole body.
struct HttpRequest {
  std::string method;
  std::string path;                          // percent-decoded, without query
  std::map<std::string, std::string> query;  // percent-decoded
  // The headers listed in `HttpServerSettings::request_headers` that the
  // request contains.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string peer;  // "ip:port" of the client

  // The value of a header, by its name as spelled in `request_headers`; empty
  // if absent.
  std::string_view Header(std::string_view name) const;
  // The value of a query parameter; empty if absent.
  std::string_view Query(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string content_type = "application/json";
};

// Answers one request, once, from any thread; later answers are ignored. If all
// copies are destroyed without an answer, the client gets status 500.
class HttpResponder {
 public:
  class Exchange;

  explicit HttpResponder(std::shared_ptr<Exchange> exchange);
  void operator()(HttpResponse response) const;
  // Ends the request without a response and closes the connection.
  void CloseConnection() const;
  // `callback` runs once, on a thread of the server, if the client closes its
  // connection before the request is answered. Requires
  // `HttpServerSettings::client_check_interval`. Returns false if the client
  // has closed it already; the callback is not run then.
  bool OnClientDisconnect(std::function<void()> callback) const;

 private:
  std::shared_ptr<Exchange> exchange_;
};

// Runs on a thread of the server; it must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerSettings {
  std::string address = "127.0.0.1:0";  // port 0: any free port
  int threads = 1;
  // Beyond this number, the connection that `ChooseConnectionToClose` selects
  // is closed; the new one itself if all others await answers.
  int max_connections = 4096;
  // Shared by the servers of a process; null: no limit. Without room, a request
  // gets status 503 or a connection is closed, see `ChooseConnectionToClose`.
  std::shared_ptr<MemoryBudget> memory;
  // Of the kernel's receive buffer and of its send buffer of each connection;
  // 0: the system's sizes, which grow with the traffic.
  int socket_buffer_bytes = 0;
  size_t max_body_bytes = 4 * 1024 * 1024;
  size_t max_header_bytes = 16 * 1024;
  // Connections without traffic are closed after this time; whole seconds.
  absl::Duration idle_timeout = absl::Seconds(10);
  // Time limit for receiving a whole request, from the start of its connection
  // or the end of the previous response. Unlike the idle timeout, it also
  // closes connections of clients that keep sending single bytes.
  absl::Duration request_timeout = absl::Seconds(40);
  // Status of requests that are unanswered when the server stops: 502 if their
  // outcome is unknown, 503 if they had no effect.
  int unfinished_status = 503;
  // Interval of the checks for clients that disconnected before their request
  // was answered; zero disables the checks.
  absl::Duration client_check_interval = absl::ZeroDuration();
  // Names of the request headers that are passed to the handler.
  std::vector<std::string> request_headers = {"Authorization",
                                              "Idempotency-Key"};
};

// What a server did since its start to stay within its limits.
struct HttpLimitCounts {
  uint64_t requests_refused_for_memory = 0;  // with status 503
  uint64_t connections_closed_for_memory = 0;
  uint64_t connections_closed_for_number = 0;
  uint64_t connections_closed_for_unread_bytes = 0;
  uint64_t connections_closed_for_time = 0;
};

// HTTP/1.1 server with a pool of threads.
class HttpServer {
 public:
  HttpServer(HttpServerSettings settings, HttpHandler handler);
  // Calls `Stop` with a zero timeout.
  ~HttpServer();

  bool Start(Error* error);
  // The bound port; valid after `Start`.
  uint16_t port() const;
  // "ip:port" with the bound port.
  std::string address() const;
  // Requests whose header was received and whose response is not yet sent.
  int requests_in_progress() const;
  HttpLimitCounts limit_counts() const;
  // Start of the last check for disconnected clients whose callbacks have run,
  // on the monotonic clock: the other clients were connected then. Requires
  // `HttpServerSettings::client_check_interval`.
  absl::Time clients_checked() const;

  // From now on, each response closes its connection. Clients then open new
  // connections, which the load balancer routes to other daemons.
  void CloseAfterResponses();

  // Closes new connections at once, waits for requests in progress and closes
  // all connections. Requests that are not answered within `timeout` get
  // `HttpServerSettings::unfinished_status`. Returns true if there were none.
  // Must not be called on a thread of the server.
  bool Stop(absl::Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_HTTP_SERVER_H_
