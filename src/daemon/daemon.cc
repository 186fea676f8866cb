#include "daemon.h"

#include <unistd.h>

#include <utility>

#include "absl/time/clock.h"
#include "client_memory.h"
#include "radishrail/log.h"
#include "radishrail/policy_scheduler.h"

namespace radishrail {

namespace {

constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(50);

// Each incarnation of a VM must be higher than the one before. A VM has no disk
// to store a counter on, so the wall clock at the start is used.
uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<uint64_t>(absl::ToUnixMicros(clock.Wall()));
}

HttpClientSettings PlatformClientSettings() {
  HttpClientSettings client;
  client.step = Step::kPlatformRead;
  client.thread_name = "platform";
  return client;
}

HttpStoreSettings StoreSettings(const Settings& settings) {
  return {settings.platform_address, settings.vm, settings.platform_timeout};
}

HttpUpstreamSettings UpstreamClientSettings(const Settings& settings) {
  HttpUpstreamSettings upstream;
  upstream.threads = settings.upstream_threads;
  return upstream;
}

TcpPeerSettings PeerSettings(const Settings& settings) {
  TcpPeerSettings peer;
  peer.listen_address = settings.peer_address;
  peer.cluster_key = settings.cluster_key;
  return peer;
}

HttpServerSettings CallerServerSettings(const Settings& settings) {
  HttpServerSettings server;
  server.address = settings.caller_address;
  server.threads = settings.caller_threads;
  server.max_connections = settings.max_connections;
  server.socket_buffer_bytes = settings.socket_buffer_bytes;
  server.memory = internal::MakeClientMemory(settings);
  server.max_body_bytes = settings.max_body_bytes;
  server.idle_timeout = settings.idle_timeout;
  // For jobs that are unfinished when the server stops: they may have run, and
  // status 503 would mean that they have not.
  constexpr int kOutcomeUnknown = 502;
  server.unfinished_status = kOutcomeUnknown;
  return server;
}

HttpServerSettings OperatorServerSettings(const Settings& settings) {
  constexpr int kMaxOperatorConnections = 64;
  HttpServerSettings server;
  server.address = settings.operator_address;
  server.max_connections = kMaxOperatorConnections;
  // Not shared with callers, so that operators are answered beside a crowd.
  server.memory = internal::MakeClientMemory(settings);
  server.socket_buffer_bytes = settings.socket_buffer_bytes;
  server.idle_timeout = settings.idle_timeout;
  return server;
}

}  // namespace

Daemon::Daemon(const Settings& settings)
    : settings_(settings),
      timeline_(clock_, settings.vm, settings.timeline_events),
      platform_client_(PlatformClientSettings(), control_),
      store_(StoreSettings(settings), platform_client_),
      upstream_client_(UpstreamClientSettings(settings),
                       clock_,
                       control_,
                       metrics_),
      transport_(PeerSettings(settings), clock_, control_, metrics_),
      node_(
          settings,
          NewIncarnation(clock_),
          NodeDependencies{clock_, random_, store_, transport_,
                           upstream_client_, metrics_, timeline_},
          std::make_unique<PolicyScheduler>(clock_, PolicySchedulerSettings{})),
      caller_api_(control_, node_, metrics_),
      operator_api_(settings.operator_token,
                    control_,
                    node_,
                    metrics_,
                    timeline_),
      caller_server_(CallerServerSettings(settings),
                     [this](HttpRequest request, HttpResponder respond) {
                       caller_api_.Handle(std::move(request),
                                          std::move(respond));
                     }),
      operator_server_(OperatorServerSettings(settings),
                       [this](HttpRequest request, HttpResponder respond) {
                         operator_api_.Handle(std::move(request),
                                              std::move(respond));
                       }) {}

Daemon::~Daemon() {
  Stop(absl::ZeroDuration());
}

bool Daemon::Start(Error* error) {
  internal::SetAllocatorThresholds();
  if (!transport_.Start(node_.self(), node_, error) ||
      !operator_server_.Start(error) || !caller_server_.Start(error)) {
    return false;
  }
  control_.Post([this] { Tick(); });
  Log(LogLevel::kInfo, "started",
      {{"callers", caller_server_.address()},
       {"operators", operator_server_.address()},
       {"peers", settings_.peer_address},
       {"failure_domain", settings_.failure_domain}});
  return true;
}

void Daemon::Tick() {
  if (stopping_) {
    return;
  }
  const absl::Duration next = node_.Tick();
  drained_ = node_.drained();
  control_.PostDelayed(next, [this] { Tick(); });
}

void Daemon::BeginDrain() {
  control_.Post([this] { node_.BeginDrain(); });
}

bool Daemon::WaitUntilDrained(absl::Duration timeout) {
  const absl::Time deadline = clock_.Monotonic() + timeout;
  while (!drained_ && clock_.Monotonic() < deadline) {
    absl::SleepFor(kDrainPollInterval);
  }
  return drained_;
}

void Daemon::Stop(absl::Duration timeout) {
  if (stopping_.exchange(true)) {
    return;
  }
  // Servers first, so that responses in progress are still sent; the control
  // thread last, since all others post to it.
  caller_server_.Stop(timeout);
  operator_server_.Stop(timeout);
  upstream_client_.Stop();
  platform_client_.Stop();
  transport_.Stop();
  control_.Stop();
}

}  // namespace radishrail
