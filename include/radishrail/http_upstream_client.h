#ifndef RADISHRAIL_HTTP_UPSTREAM_CLIENT_H_
#define RADISHRAIL_HTTP_UPSTREAM_CLIENT_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/executor.h"
#include "radishrail/http_client.h"
#include "radishrail/metrics.h"
#include "radishrail/upstream_client.h"

namespace radishrail {

// A task is sent only if its start-by time is further away than this, since the
// request takes time to reach the upstream.
inline constexpr absl::Duration kTransmissionMargin = absl::Milliseconds(50);

struct HttpUpstreamSettings {
  int threads = 4;
  // Connections of this daemon to one upstream. More connections than the
  // upstream has slots bring no gain.
  int connections_per_upstream = 8;
  int max_idle_connections = 1024;  // per thread
  absl::Duration connect_timeout = absl::Seconds(1);
};

// Starts tasks over HTTP with several client threads. All requests to one
// upstream use the same thread, so that the number of its connections does not
// grow with the number of threads. Upstreams are assigned to threads round
// robin.
class HttpUpstreamClient : public UpstreamClient {
 public:
  // Callbacks run on `executor`.
  HttpUpstreamClient(const HttpUpstreamSettings& settings,
                     const Clock& clock,
                     Executor& executor,
                     Metrics& metrics);

  void Start(TaskStart start, Callback callback) override;
  // Completes all tasks in progress as unknown or not started.
  void Stop();

 private:
  HttpClient& ClientFor(const std::string& address);

  const Clock& clock_;
  Executor& executor_;
  const std::unique_ptr<Executor> inline_executor_;
  Counter& starts_;
  Counter& not_started_;
  Counter& unknown_;
  std::vector<std::unique_ptr<HttpClient>> clients_;

  std::mutex mutex_;
  absl::flat_hash_map<std::string, size_t> client_of_address_;
  size_t next_client_ = 0;
};

}  // namespace radishrail

#endif  // RADISHRAIL_HTTP_UPSTREAM_CLIENT_H_
