#ifndef RADISHRAIL_HTTP_CLIENT_H_
#define RADISHRAIL_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "radishrail/executor.h"

namespace radishrail {

struct HttpClientRequest {
  std::string method = "GET";
  std::string address;               // "ip:port"
  std::string target = "/";          // path and query, percent-encoded
  std::vector<std::string> headers;  // "Name: value"
  std::string body;                  // sent with PUT and POST
  // Lower-case names of the response headers that the result contains.
  std::vector<std::string> response_headers;
  // From the call to the end of the response; includes the wait for a
  // connection.
  absl::Duration timeout = absl::Seconds(10);
  // Called on the client's thread when a connection is ready, right before the
  // first byte is sent. If it returns false, nothing is sent.
  std::function<bool()> may_start;
};

struct HttpResult {
  // Status of the response; 0 without a complete response.
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Error error;  // ok if and only if there is a complete response
  // If false, no byte of the request was sent.
  bool may_have_been_sent = false;

  // The value of a requested header, by its lower-case name; empty if absent.
  std::string_view Header(std::string_view name) const;
};

struct HttpClientSettings {
  // Requests beyond this limit wait in a queue for their host.
  int connections_per_host = 8;
  // Idle connections kept over all hosts.
  int max_idle_connections = 512;
  // Connections that were idle for longer are not reused. Must be below the
  // idle timeout of the servers (default 10 s): a request on a connection that
  // the server is closing has an unknown outcome. Whole seconds.
  absl::Duration max_idle_time = absl::Seconds(5);
  absl::Duration connect_timeout = absl::Seconds(1);
  // If a request gets no response and its host has sent none for this long, the
  // host's idle connections are closed: they may be silent as well, and a
  // request on them would be lost.
  absl::Duration max_silence = absl::Milliseconds(500);
  size_t max_response_bytes = 8 * 1024 * 1024;
  Step step = Step::kForward;  // reported in errors
  std::string thread_name = "http_client";
};

// Asynchronous HTTP/1.1 client with one thread and persistent connections. A
// request is sent at most once: it fails if its persistent connection breaks,
// and redirects are not followed.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  // Callbacks run on `executor`.
  HttpClient(HttpClientSettings settings, Executor& executor);
  // Calls `Stop`.
  ~HttpClient();

  // Thread-safe, does not block; `callback` runs exactly once.
  void Send(HttpClientRequest request, Callback callback);
  // Fails all unfinished requests with `kCancelled` and joins the thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Percent-encodes all but unreserved characters and '/'.
std::string PercentEncode(std::string_view text);

}  // namespace radishrail

#endif  // RADISHRAIL_HTTP_CLIENT_H_
