#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "radishrail/clock.h"
#include "radishrail/control_loop.h"
#include "radishrail/http_client.h"
#include "radishrail/http_server.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

constexpr size_t kMaxBody = 64 * 1024;

HttpResponse WithBody(std::string body) {
  HttpResponse response;
  response.body = std::move(body);
  return response;
}

class HttpTest : public testing::Test {
 protected:
  HttpTest() {
    client_settings_.connections_per_host = 4;
    client_settings_.max_response_bytes = kMaxBody;
    client_ = std::make_unique<HttpClient>(client_settings_, loop_);
  }

  ~HttpTest() override {
    client_->Stop();
    loop_.Stop();
    server_.reset();
  }

  void Serve(HttpHandler handler) {
    settings_.max_body_bytes = kMaxBody;
    server_ = std::make_unique<HttpServer>(settings_, std::move(handler));
    Error error;
    ASSERT_TRUE(server_->Start(&error)) << error.ToString();
  }

  // Keeps requests unanswered; tests answer them through `WaitForRequest`.
  void ServeDeferred() {
    Serve([this](HttpRequest request, HttpResponder respond) {
      const std::lock_guard lock(mutex_);
      deferred_.emplace_back(std::move(request), std::move(respond));
      arrived_.notify_all();
    });
  }

  HttpResponder WaitForRequest(size_t index = 0) {
    std::unique_lock lock(mutex_);
    EXPECT_TRUE(arrived_.wait_for(lock, absl::ToChronoSeconds(kTestWait),
                                  [&] { return deferred_.size() > index; }));
    return deferred_[index].second;
  }

  HttpClientRequest Request(const std::string& method = "GET",
                            std::string body = {}) const {
    HttpClientRequest request;
    request.method = method;
    request.address = server_ ? server_->address() : std::string();
    request.target = "/path";
    request.body = std::move(body);
    request.timeout = kTestWait;
    return request;
  }

  HttpResult Send(HttpClientRequest request) {
    return SendAsync(*client_, std::move(request)).Wait();
  }

  // Sends a request that gets no response.
  void SendUnanswered(HttpClientRequest request) {
    request.timeout = absl::Milliseconds(50);
    HttpResult result;
    while (!result.may_have_been_sent) {
      result = Send(request);
      EXPECT_EQ(result.error.code, ErrorCode::kDeadlineExceeded);
    }
  }

  static void Answer(RawConnection& connection) {
    connection.ReadUntil("body");
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }

  HttpServerSettings settings_;
  HttpClientSettings client_settings_;
  ControlLoop loop_;
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<std::pair<HttpRequest, HttpResponder>> deferred_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
};

TEST_F(HttpTest, Request_WithAllParts_ReachesHandlerAndResponseReturns) {
  Serve([](const HttpRequest& request, const HttpResponder& respond) {
    HttpResponse response = WithBody(absl::StrCat(
        request.method, " ", request.path, " ", request.query.at("a b"), " ",
        std::string(request.Header("Authorization")), " ", request.body));
    response.status = 202;
    response.headers.emplace_back("X-Mark", "yes");
    respond(response);
  });
  HttpClientRequest request = Request("PUT", "the body");
  request.target = "/v1/jobs/" + PercentEncode("k 1") + "?a%20b=c%26d";
  request.headers = {"Authorization: Bearer x"};
  request.response_headers = {"x-mark", "x-none"};
  const HttpResult result = Send(request);
  EXPECT_TRUE(result.error.ok()) << result.error.ToString();
  EXPECT_EQ(result.status, 202);
  EXPECT_EQ(result.body, "PUT /v1/jobs/k 1 c&d Bearer x the body");
  EXPECT_EQ(result.Header("x-mark"), "yes");
  EXPECT_EQ(result.Header("x-none"), "");
  EXPECT_TRUE(result.may_have_been_sent);
}

TEST_F(HttpTest, Responder_CalledLaterOnOtherThread_AnswersRequest) {
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  const HttpResponder respond = WaitForRequest();
  EXPECT_EQ(server_->requests_in_progress(), 1);
  respond(WithBody("late"));
  EXPECT_EQ(pending.Wait().body, "late");
}

TEST_F(HttpTest, Responder_CalledTwice_FirstAnswerCounts) {
  Serve([](const HttpRequest&, const HttpResponder& respond) {
    respond(WithBody("first"));
    respond(WithBody("second"));
  });
  EXPECT_EQ(Send(Request()).body, "first");
}

// Guards against a client that waits indefinitely for a request that the daemon
// dropped.
TEST_F(HttpTest, Responder_Dropped_Answers500) {
  Serve([](const HttpRequest&, const HttpResponder&) {});
  EXPECT_EQ(Send(Request()).status, 500);
}

TEST_F(HttpTest, Responder_DroppedWhileSuspended_Answers500) {
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  WaitForRequest();
  {
    const std::lock_guard lock(mutex_);
    deferred_.clear();
  }
  EXPECT_EQ(pending.Wait().status, 500);
}

// Guards against reading a body that will be rejected: it is never sent here.
TEST_F(HttpTest, Body_DeclaredTooLarge_Answers413BeforeBodyIsSent) {
  ServeDeferred();
  auto raw = RawConnection::To(server_->address());
  raw.Write(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ",
                         kMaxBody + 1, "\r\n\r\n"));
  EXPECT_TRUE(raw.ReadUntilClosed().starts_with("HTTP/1.1 413 "));
  EXPECT_TRUE(deferred_.empty());
}

TEST_F(HttpTest, Body_ChunkedTooLarge_Answers413WithoutHandler) {
  ServeDeferred();
  auto raw = RawConnection::To(server_->address());
  raw.Write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  raw.Write(absl::StrCat(absl::Hex(kMaxBody + 1), "\r\n",
                         std::string(kMaxBody + 1, 'x'), "\r\n0\r\n\r\n"));
  EXPECT_TRUE(raw.ReadUntilClosed().starts_with("HTTP/1.1 413 "));
  EXPECT_TRUE(deferred_.empty());
}

TEST_F(HttpTest, Body_OfExactLimit_IsAccepted) {
  Serve([](const HttpRequest& request, const HttpResponder& respond) {
    respond(WithBody(std::to_string(request.body.size())));
  });
  EXPECT_EQ(Send(Request("POST", std::string(kMaxBody, 'x'))).body,
            std::to_string(kMaxBody));
}

TEST_F(HttpTest, Header_TooLarge_IsRefusedWithoutHandler) {
  ServeDeferred();
  HttpClientRequest request = Request();
  request.headers = {"X-Long: " + std::string(17 * 1024, 'x')};
  EXPECT_EQ(Send(request).status, 431);
  EXPECT_TRUE(deferred_.empty());
}

// Guards against refusals of ordinary requests while others hold the memory,
// and against refusals that do not tell clients that nothing ran.
TEST_F(HttpTest, Memory_HeldByUnfinishedBodies_LargestIsRefusedOrClosed) {
  constexpr size_t kConnectionBytes = 32 * 1024;
  settings_.memory =
      std::make_shared<MemoryBudget>(3 * kConnectionBytes + kMaxBody);
  Serve([](const HttpRequest& request, const HttpResponder& respond) {
    respond(WithBody(std::to_string(request.body.size())));
  });
  const std::string header =
      absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ", kMaxBody,
                   "\r\nExpect: 100-continue\r\n\r\n");
  auto held = RawConnection::To(server_->address());
  held.Write(header);
  EXPECT_TRUE(held.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
  // The body that is held has the same size and has been silent for longer.
  auto second = RawConnection::To(server_->address());
  second.Write(header);
  EXPECT_TRUE(second.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
  EXPECT_EQ(held.ReadUntilClosed(), "");
  EXPECT_EQ(Send(Request("POST", "small")).body, "5");
  second.Close();
  EXPECT_EQ(server_->limit_counts().connections_closed_for_memory, 1u);
}

TEST_F(HttpTest, Memory_TooSmallForBody_Answers503WithRetryAfter) {
  settings_.memory = std::make_shared<MemoryBudget>(kMaxBody);
  ServeDeferred();
  auto raw = RawConnection::To(server_->address());
  raw.Write(absl::StrCat(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ", kMaxBody, "\r\n\r\n"));
  const std::string answer = raw.ReadUntilClosed();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_TRUE(absl::StrContains(answer, "Retry-After: 1\r\n")) << answer;
  EXPECT_TRUE(deferred_.empty());
  EXPECT_EQ(server_->limit_counts().requests_refused_for_memory, 1u);
}

// Guards against memory that stays reserved after its connections.
TEST_F(HttpTest, Memory_AfterAllConnectionsClosed_IsReleased) {
  settings_.memory = std::make_shared<MemoryBudget>(4 * kMaxBody);
  ServeDeferred();
  auto waiting = RawConnection::To(server_->address());
  waiting.Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
  WaitForRequest()(WithBody("ok"));
  waiting.ReadUntil("ok");
  auto chunked = RawConnection::To(server_->address());
  chunked.Write(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n");
  waiting.Close();
  chunked.Close();
  EXPECT_GT(settings_.memory->peak(), 0u);
  server_.reset();
  EXPECT_EQ(settings_.memory->used(), 0u);
}

// Guards against clients that take all connections and leave none to others.
TEST_F(HttpTest, Connections_BeyondLimit_ReplaceTheLongestIdle) {
  settings_.max_connections = 2;
  Serve([](const HttpRequest&, const HttpResponder& respond) {
    respond(WithBody("ok"));
  });
  auto first = RawConnection::To(server_->address());
  first.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  first.ReadUntil("ok");
  auto second = RawConnection::To(server_->address());
  second.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  second.ReadUntil("ok");
  EXPECT_EQ(Send(Request()).body, "ok");
  EXPECT_EQ(first.ReadUntilClosed(), "");
  second.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(absl::StrContains(second.ReadUntil("ok"), "200"));
}

// Guards against clients that hold connections with incomplete requests.
TEST_F(HttpTest, SlowWriter_IdleInHeader_IsClosedAndOthersAreServed) {
  settings_.idle_timeout = absl::Seconds(1);
  Serve([](const HttpRequest&, const HttpResponder& respond) {
    respond(WithBody("ok"));
  });
  auto slow = RawConnection::To(server_->address());
  slow.Write("GET / HT");
  EXPECT_EQ(Send(Request()).body, "ok");
  EXPECT_EQ(slow.ReadUntilClosed(), "");
}

TEST_F(HttpTest, SlowWriter_IdleInBody_IsClosedWithoutHandler) {
  settings_.idle_timeout = absl::Seconds(1);
  ServeDeferred();
  auto slow = RawConnection::To(server_->address());
  slow.Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  slow.ReadUntilClosed();
  EXPECT_TRUE(deferred_.empty());
}

// Guards against clients that send each byte within the idle timeout and so
// never reach it.
TEST_F(HttpTest, SlowWriter_SendsByteAfterByte_IsClosedWithoutHandler) {
  settings_.request_timeout = absl::Milliseconds(200);
  ServeDeferred();
  auto slow = RawConnection::To(server_->address());
  slow.Write("GET / HTTP/1.1\r\nX-Header: ");
  const absl::Time limit = absl::Now() + kTestWait;
  while (slow.TryWrite("x") && absl::Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_LT(absl::Now(), limit);
  EXPECT_TRUE(deferred_.empty());
}

TEST_F(HttpTest, Request_AnsweredAfterRequestTimeout_GetsResponse) {
  settings_.request_timeout = absl::Milliseconds(50);
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  const HttpResponder respond = WaitForRequest();
  loop_.PostDelayed(absl::Milliseconds(300),
                    [&] { respond(WithBody("answered")); });
  EXPECT_EQ(pending.Wait().body, "answered");
}

TEST_F(HttpTest, Client_DisconnectsWhileSuspended_ServerContinues) {
  ServeDeferred();
  auto raw = RawConnection::To(server_->address());
  raw.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const HttpResponder respond = WaitForRequest();
  raw.Close();
  respond(WithBody("nobody reads this"));
  auto pending = SendAsync(*client_, Request());
  WaitForRequest(1)(WithBody("second"));
  EXPECT_EQ(pending.Wait().body, "second");
}

TEST_F(HttpTest, Responder_AfterServerIsDestroyed_IsIgnored) {
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  const HttpResponder respond = WaitForRequest();
  server_.reset();
  respond(WithBody("too late"));
  EXPECT_EQ(pending.Wait().status, 503);
}

// Guards against a graceful shutdown that interrupts a request in progress.
TEST_F(HttpTest, Stop_WithRequestInProgress_FinishesIt) {
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  const HttpResponder respond = WaitForRequest();
  std::thread stopper([&] { EXPECT_TRUE(server_->Stop(kTestWait)); });
  respond(WithBody("finished"));
  EXPECT_EQ(pending.Wait().body, "finished");
  stopper.join();
  const HttpResult refused = Send(Request());
  EXPECT_EQ(refused.error.code, ErrorCode::kUnreachable);
  EXPECT_FALSE(refused.may_have_been_sent);
}

TEST_F(HttpTest, Stop_RequestNotAnsweredInTime_Answers503AndReturnsFalse) {
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  const HttpResponder respond = WaitForRequest();
  EXPECT_FALSE(server_->Stop(absl::Milliseconds(1)));
  EXPECT_EQ(pending.Wait().status, 503);
}

// Guards against reporting requests that may have had effects as not run.
TEST_F(HttpTest, Stop_WithUnknownOutcomes_AnswersConfiguredStatus) {
  settings_.unfinished_status = 502;
  ServeDeferred();
  auto pending = SendAsync(*client_, Request());
  WaitForRequest();
  EXPECT_FALSE(server_->Stop(absl::Milliseconds(20)));
  EXPECT_EQ(pending.Wait().status, 502);
}

// Guards against work for clients that have disconnected: libmicrohttpd does
// not poll the connection of a request that waits for its answer.
TEST_F(HttpTest, Client_DisconnectsBeforeAnswer_NotifiesHandler) {
  settings_.client_check_interval = absl::Milliseconds(5);
  Event gone;
  Serve([&gone, this](HttpRequest request, HttpResponder respond) {
    EXPECT_TRUE(respond.OnClientDisconnect([&gone] { gone.Notify(); }));
    const std::lock_guard lock(mutex_);
    deferred_.emplace_back(std::move(request), std::move(respond));
    arrived_.notify_all();
  });
  RawConnection connection = RawConnection::To(server_->address());
  connection.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  WaitForRequest();
  EXPECT_FALSE(gone.HasHappened());
  connection.Close();
  gone.Wait();
}

// Guards against work for a client that disconnected while its request waited
// for the control thread, which sets the callback.
TEST_F(HttpTest, Client_DisconnectsBeforeCallbackIsSet_TellsHandler) {
  settings_.client_check_interval = absl::Milliseconds(5);
  ServeDeferred();
  RawConnection connection = RawConnection::To(server_->address());
  connection.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const HttpResponder respond = WaitForRequest();
  connection.Close();
  while (server_->requests_in_progress() > 0) {
    std::this_thread::yield();
  }
  EXPECT_FALSE(respond.OnClientDisconnect([] {}));
}

// Guards against a check that counts before the clients that it found
// disconnected have been reported.
TEST_F(HttpTest, ClientsChecked_AfterDisconnect_CallbackHasRun) {
  settings_.client_check_interval = absl::Milliseconds(5);
  ServeDeferred();
  // Clients are checked only while there are connections.
  const RawConnection other = RawConnection::To(server_->address());
  RawConnection connection = RawConnection::To(server_->address());
  connection.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  Event gone;
  const HttpResponder respond = WaitForRequest();
  ASSERT_TRUE(respond.OnClientDisconnect([&gone] { gone.Notify(); }));
  connection.Close();
  gone.Wait();
  const absl::Time reported = SystemClock().Monotonic();
  while (server_->clients_checked() < reported) {
    std::this_thread::yield();
  }
}

// Guards against clients that keep sending requests over open connections until
// the process exits.
TEST_F(HttpTest, CloseAfterResponses_NextResponse_ClosesItsConnection) {
  Serve([](const HttpRequest&, const HttpResponder& respond) {
    respond(WithBody("done"));
  });
  RawConnection connection = RawConnection::To(server_->address());
  connection.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_FALSE(absl::StrContains(connection.ReadUntil("done"), "close"));
  server_->CloseAfterResponses();
  connection.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(absl::StrContains(connection.ReadUntilClosed(), "close"));
}

TEST_F(HttpTest, Start_OnOccupiedPort_FailsWithAddress) {
  ServeDeferred();
  HttpServerSettings settings;
  settings.address = server_->address();
  HttpServer second(settings, [](const HttpRequest&, const HttpResponder&) {});
  Error error;
  EXPECT_FALSE(second.Start(&error));
  EXPECT_EQ(error.peer, settings.address);
}

TEST_F(HttpTest, Client_ConnectionRefused_ReportsNothingSent) {
  RawListener listener;
  HttpClientRequest request = Request();
  request.address = listener.address();
  listener.Close();
  const HttpResult result = Send(request);
  EXPECT_EQ(result.error.code, ErrorCode::kUnreachable);
  EXPECT_EQ(result.status, 0);
  EXPECT_FALSE(result.may_have_been_sent);
}

TEST_F(HttpTest, Client_ConnectionClosedAfterRequest_ReportsMayHaveBeenSent) {
  RawListener listener;
  HttpClientRequest request = Request("POST", "body");
  request.address = listener.address();
  auto pending = SendAsync(*client_, request);
  auto connection = listener.Accept();
  connection.ReadUntil("body");
  connection.Close();
  const HttpResult result = pending.Wait();
  EXPECT_EQ(result.error.code, ErrorCode::kConnectionBroken);
  EXPECT_TRUE(result.may_have_been_sent);
}

TEST_F(HttpTest, Client_ResponseTruncated_ReportsError) {
  RawListener listener;
  HttpClientRequest request = Request("POST", "body");
  request.address = listener.address();
  auto pending = SendAsync(*client_, request);
  auto connection = listener.Accept();
  connection.ReadUntil("body");
  connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  connection.Close();
  const HttpResult result = pending.Wait();
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.body, "");
  EXPECT_EQ(result.error.code, ErrorCode::kConnectionBroken);
}

// Guards against starting a task twice: curl retries a request if a persistent
// connection closes before the first byte of the response.
TEST_F(HttpTest, Client_ReusedConnectionBreaks_SendsRequestOnce) {
  RawListener listener;
  HttpClientRequest request = Request("POST", "body");
  request.address = listener.address();
  auto first = SendAsync(*client_, request);
  auto connection = listener.Accept();
  connection.ReadUntil("body");
  connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(first.Wait().status, 200);

  auto second = SendAsync(*client_, request);
  EXPECT_TRUE(absl::StrContains(connection.ReadUntil("body"), "body"));
  connection.Close();
  const HttpResult result = second.Wait();
  EXPECT_EQ(result.error.code, ErrorCode::kConnectionBroken);
  EXPECT_TRUE(result.may_have_been_sent);
  client_->Stop();
  if (auto fresh = listener.TryAccept()) {
    EXPECT_EQ(fresh->ReadUntilClosed(), "");
  }
}

// Two connections of a client are idle.
class HttpIdleConnectionsTest : public HttpTest {
 protected:
  void Connect(absl::Duration max_silence) {
    client_settings_.max_silence = max_silence;
    client_settings_.max_idle_time = 2 * kTestWait;
    client_ = std::make_unique<HttpClient>(client_settings_, loop_);
    request_ = Request("POST", "body");
    request_.address = listener_.address();
    auto first = SendAsync(*client_, request_);
    auto second = SendAsync(*client_, request_);
    for (int i = 0; i < 2; ++i) {
      connections_.push_back(listener_.Accept());
    }
    for (auto& it : connections_) {
      Answer(it);
    }
    EXPECT_EQ(first.Wait().status, 200);
    EXPECT_EQ(second.Wait().status, 200);
  }

  RawListener listener_;
  HttpClientRequest request_;
  std::vector<RawConnection> connections_;
};

// Guards against requests that are sent, one after the other, on connections
// that went silent without a reset.
TEST_F(HttpIdleConnectionsTest, Client_HostBecameSilent_SendsOnNewConnection) {
  Connect(absl::ZeroDuration());
  SendUnanswered(request_);
  auto pending = SendAsync(*client_, request_);
  auto connection = listener_.Accept();
  Answer(connection);
  EXPECT_EQ(pending.Wait().status, 200);
}

// Guards against sound connections that are given up since one request got no
// response.
TEST_F(HttpIdleConnectionsTest, Client_RequestUnanswered_KeepsConnections) {
  Connect(absl::Hours(1));
  SendUnanswered(request_);
  SendUnanswered(request_);
  EXPECT_FALSE(listener_.TryAccept().has_value());
}

// A connection attempt to a host has timed out; curl has closed its socket
// without a notice. The host has one idle connection.
class HttpReusedDescriptorTest : public HttpIdleConnectionsTest {
 protected:
  HttpReusedDescriptorTest() {
    Connect(absl::ZeroDuration());
    listener_.LetConnectionsHang();
    std::vector<Pending<HttpResult>> unanswered;
    for (auto& it : connections_) {
      unanswered.push_back(SendAsync(*client_, request_));
      it.ReadUntil("body");
    }
    closed_descriptor_ = LowestFreeDescriptor();
    HttpClientRequest request = request_;
    request.timeout = absl::Milliseconds(50);
    EXPECT_FALSE(Send(request).may_have_been_sent);
    connections_[0].Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    while (!unanswered[0].ready() && !unanswered[1].ready()) {
      std::this_thread::yield();
    }
  }

  static int LowestFreeDescriptor() {
    const internal::FileDescriptor fd(dup(STDERR_FILENO));
    return fd.get();
  }

  RawListener other_;
  int closed_descriptor_ = -1;
};

// Guards against the shutdown of a connection that is not the client's: its
// descriptor has the number of a socket that curl has closed.
TEST_F(HttpReusedDescriptorTest, Client_HostBecomesSilent_SparesOthers) {
  std::array<int, 2> fds = {};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data()), 0);
  const internal::FileDescriptor own(fds[0]);
  const internal::FileDescriptor peer(fds[1]);
  ASSERT_EQ(own.get(), closed_descriptor_);
  SendUnanswered(request_);
  char byte = 0;
  EXPECT_NE(recv(peer.get(), &byte, 1, 0), 0) << "the connection was shut down";
}

// Guards against a process that ends with std::out_of_range in the client's
// thread: the number was used for a connection to another host.
TEST_F(HttpReusedDescriptorTest, Client_HostBecomesSilent_ServesOtherHosts) {
  const auto send_and_break = [this] {
    HttpClientRequest request = request_;
    request.address = other_.address();
    auto pending = SendAsync(*client_, request);
    RawConnection connection = other_.Accept();
    connection.ReadUntil("body");
    connection.Close();
    EXPECT_EQ(pending.Wait().error.code, ErrorCode::kConnectionBroken);
  };
  send_and_break();
  SendUnanswered(request_);
  send_and_break();
}

TEST_F(HttpTest, Client_MayNotStart_SendsNothing) {
  RawListener listener;
  HttpClientRequest request = Request("POST", "body");
  request.address = listener.address();
  request.may_start = [] { return false; };
  const HttpResult result = Send(request);
  EXPECT_EQ(result.error.code, ErrorCode::kDeadlineExceeded);
  EXPECT_FALSE(result.may_have_been_sent);
  client_->Stop();
  EXPECT_EQ(listener.Accept().ReadUntilClosed(), "");
}

TEST_F(HttpTest, Client_NoResponseInTime_ReportsMayHaveBeenSent) {
  ServeDeferred();
  HttpClientRequest request = Request("POST", "body");
  request.timeout = absl::Milliseconds(200);
  std::atomic<bool> started = false;
  request.may_start = [&] { return started = true; };
  const HttpResult result = Send(request);
  EXPECT_EQ(result.error.code, ErrorCode::kDeadlineExceeded);
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.may_have_been_sent, started);
}

TEST_F(HttpTest, Client_NoFreeConnectionInTime_ReportsNothingSent) {
  ServeDeferred();
  std::vector<Pending<HttpResult>> occupying;
  occupying.reserve(static_cast<size_t>(client_settings_.connections_per_host));
  for (int i = 0; i < client_settings_.connections_per_host; ++i) {
    occupying.push_back(SendAsync(*client_, Request()));
    WaitForRequest(static_cast<size_t>(i));
  }
  HttpClientRequest request = Request();
  request.timeout = absl::Milliseconds(20);
  const HttpResult result = Send(request);
  EXPECT_EQ(result.error.code, ErrorCode::kDeadlineExceeded);
  EXPECT_FALSE(result.may_have_been_sent);
  for (size_t i = 0; i < occupying.size(); ++i) {
    WaitForRequest(i)(WithBody("done"));
    EXPECT_EQ(occupying[i].Wait().body, "done");
  }
}

TEST_F(HttpTest, Client_ResponseTooLarge_FailsAndMayHaveBeenSent) {
  Serve([](const HttpRequest&, const HttpResponder& respond) {
    respond(WithBody(std::string(kMaxBody + 1, 'x')));
  });
  const HttpResult result = Send(Request());
  EXPECT_EQ(result.error.code, ErrorCode::kTooLarge);
  EXPECT_TRUE(result.may_have_been_sent);
}

TEST_F(HttpTest, Client_StopWithRequestsInProgress_CallsEachBackOnce) {
  ServeDeferred();
  std::vector<Pending<HttpResult>> all;
  constexpr int kRequests = 20;
  all.reserve(kRequests + 1);
  for (int i = 0; i < kRequests; ++i) {
    all.push_back(SendAsync(*client_, Request()));
  }
  WaitForRequest();
  client_->Stop();
  all.push_back(SendAsync(*client_, Request()));
  for (auto& it : all) {
    EXPECT_EQ(it.Wait().error.code, ErrorCode::kCancelled);
  }
}

// Guards against responses that are matched to the wrong request.
TEST_F(HttpTest, Client_ManyRequestsOverFewConnections_EachGetsItsResponse) {
  settings_.threads = 2;
  ControlLoop responder_loop;
  Serve([&](const HttpRequest& request, const HttpResponder& respond) {
    responder_loop.Post(
        [body = request.body, respond] { respond(WithBody(body)); });
  });
  constexpr int kRequests = 2000;
  std::vector<Pending<HttpResult>> all;
  all.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    all.push_back(
        SendAsync(*client_, Request("POST", "body " + std::to_string(i))));
  }
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(all[static_cast<size_t>(i)].Wait().body,
              "body " + std::to_string(i));
  }
}

}  // namespace
}  // namespace radishrail
