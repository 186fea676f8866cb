#ifndef RADISHRAIL_SRC_CLI_HTTP_H_
#define RADISHRAIL_SRC_CLI_HTTP_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "radishrail/error.h"

namespace radishrail::cli {

struct HttpRequest {
  std::string method;
  std::string server;  // "ip:port"
  std::string path;    // with query
  std::string body;
  std::string token;
  std::string operation;  // sent as Idempotency-Key if not empty
  absl::Duration timeout = absl::Seconds(10);
  // Called about once a second during the request.
  std::function<void(absl::Duration elapsed)> on_progress;
};

struct HttpResponse {
  int status = 0;
  std::string body;
};

// Sends a request and waits for the whole response. The error code is
// `kUnreachable` if it is certain that nothing was sent, else
// `kConnectionBroken` or `kDeadlineExceeded`.
std::optional<HttpResponse> SendRequest(const HttpRequest& request,
                                        Error* error);

// Percent-encodes text for a URL query.
std::string EscapeQuery(const std::string& text);

}  // namespace radishrail::cli

#endif  // RADISHRAIL_SRC_CLI_HTTP_H_
