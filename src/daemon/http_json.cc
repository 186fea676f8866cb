#include "http_json.h"

#include <utility>

#include "radishrail/job_json.h"

namespace radishrail {

std::string BearerToken(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = request.Header("Authorization");
  return value.starts_with(kScheme) ? std::string(value.substr(kScheme.size()))
                                    : std::string();
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse JsonError(const Error& error) {
  return JsonResponse(HttpStatusOf(error), ErrorToJson(error));
}

std::optional<std::string> PathAfter(std::string_view path,
                                     std::string_view prefix) {
  if (!path.starts_with(prefix) || path.size() == prefix.size()) {
    return std::nullopt;
  }
  return std::string(path.substr(prefix.size()));
}

}  // namespace radishrail
