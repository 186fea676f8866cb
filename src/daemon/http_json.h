#ifndef RADISHRAIL_SRC_DAEMON_HTTP_JSON_H_
#define RADISHRAIL_SRC_DAEMON_HTTP_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "radishrail/error.h"
#include "radishrail/http_server.h"

namespace radishrail {

// The token of an "Authorization: Bearer" header; empty if there is none.
std::string BearerToken(const HttpRequest& request);
HttpResponse JsonResponse(int status, std::string body);
HttpResponse JsonError(const Error& error);
// The rest of `path` after `prefix`, if the path begins with it.
std::optional<std::string> PathAfter(std::string_view path,
                                     std::string_view prefix);

}  // namespace radishrail

#endif  // RADISHRAIL_SRC_DAEMON_HTTP_JSON_H_
