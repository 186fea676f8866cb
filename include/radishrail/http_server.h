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

namespace radishrail {

// A request with its whole body.
struct HttpRequest {
  std::string method;
  std::string path;                          // percent-decoded, without query
  std::map<std::string, std::string> query;  // percent-decoded
  // The headers that the server's settings name and the request has.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string peer;  // "ip:port" of the client

  // The value of a header, by the name in the settings; empty if absent.
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
  // connection before the answer. Needs `HttpServerSettings::client_check`.
  void OnClientGone(std::function<void()> callback) const;

 private:
  std::shared_ptr<Exchange> exchange_;
};

// Runs on a thread of the server; it must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerSettings {
  std::string address = "127.0.0.1:0";  // port 0: any free port
  int threads = 1;
  int max_connections = 4096;
  size_t max_body_bytes = 4 * 1024 * 1024;
  size_t max_header_bytes = 16 * 1024;
  // A connection without traffic is closed after this time; whole seconds.
  absl::Duration idle_timeout = absl::Seconds(10);
  // Time for a client to send a whole request, from its connection or its last
  // response; closes connections of clients that send a byte now and then.
  absl::Duration request_timeout = absl::Seconds(40);
  // Status of requests whose handler has not answered when the server stops:
  // 502 where their outcome is unknown, 503 where they had no effect.
  int unfinished_status = 503;
  // Interval at which the connections of requests in progress are checked for
  // clients that have left; zero: never.
  absl::Duration client_check = absl::ZeroDuration();
  // Names of the headers that requests carry to the handler.
  std::vector<std::string> request_headers = {"Authorization",
                                              "Idempotency-Key"};
};

// HTTP/1.1 server with a pool of threads.
class HttpServer {
 public:
  HttpServer(HttpServerSettings settings, HttpHandler handler);
  // Stops without waiting for requests in progress.
  ~HttpServer();

  bool Start(Error* error);
  // The bound port; valid after `Start`.
  uint16_t port() const;
  // "ip:port" with the bound port.
  std::string address() const;
  // Requests that were received in part or whole and are not answered yet.
  int requests_in_progress() const;

  // From now on, each response closes its connection, so that clients open new
  // ones, which the balancer sends elsewhere.
  void CloseAfterResponses();

  // Closes the listening socket, finishes requests in progress and closes all
  // connections. Requests that are not answered within `timeout` get the status
  // of the settings. Returns true if there were none of these. Must not be
  // called on a thread of the server.
  bool Stop(absl::Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_HTTP_SERVER_H_
