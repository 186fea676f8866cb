#include "http.h"

#include <curl/curl.h>

#include <memory>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace radishrail::cli {

namespace {

// Limits the memory that a faulty server can make the client allocate.
constexpr size_t kMaxResponseBytes = 256 * 1024 * 1024;
constexpr absl::Duration kConnectTimeout = absl::Seconds(2);

struct Transfer {
  const HttpRequest& request;
  HttpResponse response;
  absl::Time start;
};

size_t OnBody(char* data, size_t size, size_t count, void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const size_t n = size * count;
  if (transfer.response.body.size() + n > kMaxResponseBytes) {
    return 0;
  }
  transfer.response.body.append(data, n);
  return n;
}

int OnProgress(void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto& transfer = *static_cast<Transfer*>(user);
  if (transfer.request.on_progress) {
    transfer.request.on_progress(absl::Now() - transfer.start);
  }
  return 0;
}

// True if `code` means that no connection was made, so that no byte of the
// request was sent.
bool NothingWasSent(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
         code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

ErrorCode ErrorCodeOf(CURLcode code, CURL* curl) {
  curl_off_t connect_us = 0;
  curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connect_us);
  if (NothingWasSent(code) || connect_us == 0) {
    return ErrorCode::kUnreachable;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? ErrorCode::kDeadlineExceeded
                                          : ErrorCode::kConnectionBroken;
}

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

void AddHeader(HeaderList& list, const std::string& header) {
  list.reset(curl_slist_append(list.release(), header.c_str()));
}

HeaderList Headers(const HttpRequest& request) {
  HeaderList headers(nullptr, &curl_slist_free_all);
  AddHeader(headers, "Content-Type: application/json");
  // Without this, libcurl waits up to 1 s for "100 Continue" before it sends a
  // large body.
  AddHeader(headers, "Expect:");
  if (!request.token.empty()) {
    AddHeader(headers, absl::StrCat("Authorization: Bearer ", request.token));
  }
  if (!request.operation.empty()) {
    AddHeader(headers, absl::StrCat("Idempotency-Key: ", request.operation));
  }
  return headers;
}

}  // namespace

std::optional<HttpResponse> SendRequest(const HttpRequest& request,
                                        Error* error) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(
      curl_easy_init(), &curl_easy_cleanup);
  CURL* curl = handle.get();
  if (curl == nullptr) {
    return Fail(error, ErrorCode::kInternal, Step::kNone,
                "libcurl cannot be initialised");
  }
  Transfer transfer{request, {}, absl::Now()};
  const HeaderList headers = Headers(request);
  const std::string url = absl::StrCat("http://", request.server, request.path);
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  // Ignores proxies set in environment variables, since a proxy would see the
  // token.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(
      curl, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(absl::ToInt64Milliseconds(kConnectTimeout)));
  curl_easy_setopt(
      curl, CURLOPT_TIMEOUT_MS,
      static_cast<long>(absl::ToInt64Milliseconds(request.timeout)));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &transfer);
  if (request.method == "PUT" || request.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) {
    return Fail(error, ErrorCodeOf(code, curl), Step::kNone,
                absl::StrCat(request.method, " ", request.path, ": ",
                             curl_easy_strerror(code)),
                request.server);
  }
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  transfer.response.status = static_cast<int>(status);
  return std::move(transfer.response);
}

std::string EscapeQuery(const std::string& text) {
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size())),
      &curl_free);
  return escaped == nullptr ? "" : escaped.get();
}

}  // namespace radishrail::cli
