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
  std::string address;                        // "ip:port"
  std::string target = "/";                   // path and query, percent-encoded
  std::vector<std::string> headers;           // "Name: value"
  std::string body;                           // sent with PUT and POST
  std::vector<std::string> response_headers;  // wanted, lower case
  // From the call until the whole response; includes waiting for a connection.
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
  // False: certainly no byte of the request was sent.
  bool may_have_been_sent = false;

  // The value of a wanted header, by its lower-case name; empty if absent.
  std::string_view Header(std::string_view name) const;
};

struct HttpClientSettings {
  // Further requests to the host wait in a queue of the client.
  int connections_per_host = 8;
  // Idle connections kept over all hosts.
  int max_idle_connections = 512;
  // A connection that was idle for longer is not used again. It is below the
  // idle time-out of servers (10 s here): a request on a connection that the
  // server is just closing has an unknown outcome. Whole seconds.
  absl::Duration max_idle_time = absl::Seconds(5);
  absl::Duration connect_timeout = absl::Seconds(1);
  size_t max_response_bytes = 8 * 1024 * 1024;
  Step step = Step::kForward;  // step that errors name
  std::string thread_name = "http_client";
};

// Asynchronous HTTP/1.1 client with one thread and persistent connections. A
// request is sent at most once: a persistent connection that breaks under a
// request ends it with an error, and redirects are not followed.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  // Callbacks run on `executor`.
  HttpClient(HttpClientSettings settings, Executor& executor);
  // Stops.
  ~HttpClient();

  // Thread-safe, does not block; `callback` runs exactly once.
  void Send(HttpClientRequest request, Callback callback);
  // Ends all requests with `kCancelled` and joins the thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Percent-encodes all but unreserved characters and '/'.
std::string PercentEncode(std::string_view text);

}  // namespace radishrail

#endif  // RADISHRAIL_HTTP_CLIENT_H_
