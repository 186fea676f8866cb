#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "radishrail/http_server.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

HttpServerSettings TwoThreads() {
  HttpServerSettings settings;
  settings.threads = 2;
  return settings;
}

// Invalid if nothing accepts connections.
internal::FileDescriptor Connect(const std::string& address) {
  const auto parsed = internal::ParseSocketAddress(address, nullptr);
  internal::FileDescriptor fd(socket(AF_INET, SOCK_STREAM, 0));
  if (connect(fd.get(), parsed->get(), parsed->size) != 0) {
    fd.Reset();
  }
  return fd;
}

bool IsClosedSoon(const internal::FileDescriptor& fd) {
  constexpr int kWaitMs = 20;
  pollfd it = {fd.get(), POLLIN, 0};
  return poll(&it, 1, kWaitMs) == 1;
}

// Sends a request over a new connection and waits until it is closed. Returns
// false if nothing accepts connections.
bool SendAndAwaitEnd(const std::string& address) {
  internal::FileDescriptor fd = Connect(address);
  if (!fd.valid()) {
    return false;
  }
  RawConnection connection(std::move(fd));
  connection.TryWrite("GET / HTTP/1.0\r\n\r\n");
  connection.ReadUntilClosed();
  return true;
}

// Guards against a process that ends when its server stops: the thread that
// stops it and those that serve clients changed the same state.
TEST(HttpServerStopTest, Stop_ClientsConnect_EndsEachTime) {
  constexpr int kServers = 300;
  constexpr int kClients = 4;
  for (int i = 0; i < kServers; ++i) {
    HttpServer server(
        TwoThreads(),
        [](const HttpRequest&, const HttpResponder& respond) { respond({}); });
    ASSERT_TRUE(server.Start(nullptr));
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int n = 0; n < kClients; ++n) {
      clients.emplace_back([&served, address = server.address()] {
        while (SendAndAwaitEnd(address)) {
          ++served;
        }
      });
    }
    while (served < kClients) {
      std::this_thread::yield();
    }
    server.Stop(absl::ZeroDuration());
    for (auto& it : clients) {
      it.join();
    }
  }
}

// Guards against clients that wait for a stopping server until it has ended.
TEST(HttpServerStopTest, Stop_RequestInProgress_NewConnectionIsClosed) {
  Pending<HttpResponder*> arrived;
  std::optional<HttpResponder> kept;
  HttpServer server(TwoThreads(),
                    [&](const HttpRequest&, const HttpResponder& respond) {
                      kept = respond;
                      arrived.Set(&*kept);
                    });
  ASSERT_TRUE(server.Start(nullptr));
  RawConnection first = RawConnection::To(server.address());
  first.Write("GET / HTTP/1.0\r\n\r\n");
  arrived.Wait();
  std::thread stopper([&] { EXPECT_TRUE(server.Stop(kTestWait)); });
  // Connections that are accepted before the stop begins stay open.
  std::vector<internal::FileDescriptor> connections;
  do {
    connections.push_back(Connect(server.address()));
    ASSERT_TRUE(connections.back().valid());
  } while (!IsClosedSoon(connections.back()));
  (*kept)({});
  EXPECT_TRUE(first.ReadUntilClosed().starts_with("HTTP/1.1 200"));
  stopper.join();
}

}  // namespace
}  // namespace radishrail
