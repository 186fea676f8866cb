#include "radishrail/tcp_peer_transport.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "radishrail/control_loop.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

constexpr std::string_view kClusterKey = "cluster-key";

std::string EncodeFrame(const std::string& payload) {
  const auto n = static_cast<uint32_t>(payload.size());
  std::string frame;
  for (const int shift : {24, 16, 8, 0}) {
    frame.push_back(static_cast<char>((n >> shift) & 0xFF));
  }
  return frame + payload;
}

// Records messages and disconnects, and lets a test wait for them.
class RecordingHandler : public PeerHandler {
 public:
  void OnPeerMessage(const MemberRecord& sender,
                     const PeerMessage& message) override {
    const std::lock_guard lock(mutex_);
    messages_.emplace_back(sender, message);
    changed_.notify_all();
  }
  void OnPeerDisconnected(const std::string& peer_address) override {
    const std::lock_guard lock(mutex_);
    disconnected_.push_back(peer_address);
    changed_.notify_all();
  }
  void OnSenderDisconnected(const MemberRecord& sender) override {
    OnPeerDisconnected(sender.peer_address);
  }

  std::vector<std::pair<MemberRecord, PeerMessage>> WaitForMessages(size_t n) {
    std::unique_lock lock(mutex_);
    EXPECT_TRUE(changed_.wait_for(lock, absl::ToChronoSeconds(kTestWait),
                                  [&] { return messages_.size() >= n; }));
    return messages_;
  }
  void WaitForDisconnect(const std::string& address) {
    std::unique_lock lock(mutex_);
    EXPECT_TRUE(changed_.wait_for(lock, absl::ToChronoSeconds(kTestWait), [&] {
      return std::find(disconnected_.begin(), disconnected_.end(), address) !=
             disconnected_.end();
    }));
  }
  size_t message_count() {
    const std::lock_guard lock(mutex_);
    return messages_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<MemberRecord, PeerMessage>> messages_;
  std::vector<std::string> disconnected_;
};

// A transport with the control loop, handler and metrics of one daemon.
class Node {
 public:
  explicit Node(const std::string& vm,
                TcpPeerSettings settings = {},
                const std::string& address = "127.0.0.1:0") {
    if (settings.cluster_key.empty()) {
      settings.cluster_key = kClusterKey;
    }
    settings.listen_address = address;
    transport =
        std::make_unique<TcpPeerTransport>(settings, clock_, loop, metrics);
    MemberRecord self;
    self.vm = vm;
    self.incarnation = 7;
    Error error;
    EXPECT_TRUE(transport->Start(self, handler, &error)) << error.ToString();
  }
  ~Node() {
    transport->Stop();
    loop.Stop();
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(transport->port());
  }
  uint64_t counter(std::string_view name) {
    return metrics.counter(name).value();
  }

  RecordingHandler handler;
  Metrics metrics;
  ControlLoop loop;
  std::unique_ptr<TcpPeerTransport> transport;

 private:
  SystemClock clock_;
};

class TcpPeerTransportTest : public testing::Test {
 protected:
  // Retries until the message is accepted: a link refuses messages during the
  // delay before its next connection attempt.
  static void SendWhenPossible(Node& from,
                               const std::string& to,
                               const PeerMessage& message) {
    const absl::Time deadline = absl::Now() + kTestWait;
    while (!from.transport->Send(to, message)) {
      ASSERT_LT(absl::Now(), deadline);
      std::this_thread::yield();
    }
  }

  static std::string HelloFrame(std::string_view key) {
    Hello hello;
    hello.sender.vm = "raw";
    hello.sender.peer_address = "127.0.0.1:9";
    hello.cluster_key = key;
    return EncodeFrame(EncodePeerMessage(hello));
  }
};

TEST_F(TcpPeerTransportTest, Send_ManyMessages_ArriveInOrderWithSender) {
  Node a("vm-a");
  Node b("vm-b");
  constexpr uint64_t kMessages = 5000;
  for (uint64_t i = 0; i < kMessages; ++i) {
    ASSERT_TRUE(a.transport->Send(b.address(), PromiseRequest{1, i}));
  }
  const auto messages = b.handler.WaitForMessages(kMessages);
  ASSERT_EQ(messages.size(), kMessages);
  for (uint64_t i = 0; i < kMessages; ++i) {
    EXPECT_EQ(std::get<PromiseRequest>(messages[i].second).request, i);
  }
  EXPECT_EQ(messages[0].first.vm, "vm-a");
  EXPECT_EQ(messages[0].first.peer_address, a.address());
  EXPECT_GT(b.counter("radishrail_peer_received_bytes_total"), kMessages);
  EXPECT_EQ(b.counter("radishrail_peer_messages_received_total"),
            kMessages + 1);
}

TEST_F(TcpPeerTransportTest, Send_ToSenderOfMessage_ReachesIt) {
  Node a("vm-a");
  Node b("vm-b");
  ASSERT_TRUE(a.transport->Send(b.address(), OwnerProbe{3}));
  const auto sender = b.handler.WaitForMessages(1)[0].first;
  ASSERT_TRUE(b.transport->Send(sender.peer_address, OwnerProbeReply{3, true}));
  const auto reply = a.handler.WaitForMessages(1)[0];
  EXPECT_EQ(reply.first.vm, "vm-b");
  EXPECT_TRUE(std::get<OwnerProbeReply>(reply.second).lease_valid);
}

// Guards against frames that span many reads and writes.
TEST_F(TcpPeerTransportTest, Send_LargeMessages_ArriveWhole) {
  Node a("vm-a");
  Node b("vm-b");
  const std::string body(7 * 1024 * 1024, 'x');
  for (uint64_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(a.transport->Send(
        b.address(),
        ForwardRequest{i, ForwardMethod::kSubmit, "k", "t", body}));
  }
  const auto messages = b.handler.WaitForMessages(2);
  EXPECT_EQ(std::get<ForwardRequest>(messages[1].second).body, body);
}

TEST_F(TcpPeerTransportTest, Send_FrameOverLimit_IsRefused) {
  Node a("vm-a");
  Node b("vm-b");
  EXPECT_FALSE(a.transport->Send(
      b.address(),
      ForwardReply{1, "key", 200, std::string(kMaxPeerFrameBytes, 'x')}));
  ASSERT_TRUE(a.transport->Send(b.address(), Leave{1}));
  b.handler.WaitForMessages(1);
}

// Guards against unbounded memory use if a peer does not read.
TEST_F(TcpPeerTransportTest, Send_QueueFull_IsRefused) {
  TcpPeerSettings settings;
  settings.max_queue_bytes = 64 * 1024;
  settings.hello_timeout = absl::Hours(1);
  Node a("vm-a", settings);
  RawListener unresponsive;
  const PeerMessage message =
      ForwardReply{1, "key", 200, std::string(10000, 'x')};
  int sent = 0;
  while (sent < 100 && a.transport->Send(unresponsive.address(), message)) {
    ++sent;
  }
  EXPECT_EQ(sent, 6);
}

TEST_F(TcpPeerTransportTest,
       Send_PeerUnreachable_ReportsDisconnectAndRefusesLater) {
  TcpPeerSettings settings;
  settings.min_backoff = absl::Hours(1);
  settings.max_backoff = absl::Hours(1);
  Node a("vm-a", settings);
  RawListener listener;
  const std::string address = listener.address();
  listener.Close();
  ASSERT_TRUE(a.transport->Send(address, Leave{1}));
  a.handler.WaitForDisconnect(address);
  EXPECT_FALSE(a.transport->Send(address, Leave{1}));
}

TEST_F(TcpPeerTransportTest, Send_ToMalformedAddress_ReportsDisconnect) {
  Node a("vm-a");
  ASSERT_TRUE(a.transport->Send("nowhere", Leave{1}));
  a.handler.WaitForDisconnect("nowhere");
}

TEST_F(TcpPeerTransportTest, Peer_RestartsOnSameAddress_IsReached) {
  Node a("vm-a");
  auto b = std::make_unique<Node>("vm-b");
  const std::string address = b->address();
  ASSERT_TRUE(a.transport->Send(address, Leave{1}));
  b->handler.WaitForMessages(1);
  b.reset();
  a.handler.WaitForDisconnect(address);
  Node restarted("vm-b", {}, address);
  SendWhenPossible(a, address, Leave{2});
  const auto messages = restarted.handler.WaitForMessages(1);
  EXPECT_EQ(std::get<Leave>(messages[0].second).incarnation, 2u);
}

// Guards against messages between clusters: neither side delivers any.
TEST_F(TcpPeerTransportTest, Peer_WithOtherClusterKey_IsDisconnected) {
  Node a("vm-a");
  TcpPeerSettings settings;
  settings.cluster_key = "other-key";
  Node b("vm-b", settings);
  ASSERT_TRUE(a.transport->Send(b.address(), Leave{1}));
  a.handler.WaitForDisconnect(b.address());
  EXPECT_EQ(b.handler.message_count(), 0u);
}

TEST_F(TcpPeerTransportTest, Hello_WithPrefixOfKey_ClosesWithoutReply) {
  Node a("vm-a");
  auto raw = RawConnection::To(a.address());
  raw.Write(HelloFrame(kClusterKey.substr(0, kClusterKey.size() - 1)));
  EXPECT_EQ(raw.ReadUntilClosed(), "");
}

// The transport must not send messages to a peer that has not authenticated.
TEST_F(TcpPeerTransportTest, Hello_ReplyWithWrongKey_SendsNoMessage) {
  Node a("vm-a");
  RawListener listener;
  ASSERT_TRUE(a.transport->Send(listener.address(), UpstreamLeaving{"marker"}));
  auto raw = listener.Accept();
  raw.Write(HelloFrame("wrong"));
  EXPECT_EQ(raw.ReadUntilClosed().find("marker"), std::string::npos);
  a.handler.WaitForDisconnect(listener.address());
}

TEST_F(TcpPeerTransportTest, Message_BeforeHello_ClosesConnection) {
  Node a("vm-a");
  auto raw = RawConnection::To(a.address());
  raw.Write(EncodeFrame(EncodePeerMessage(Leave{1})));
  EXPECT_EQ(raw.ReadUntilClosed(), "");
  EXPECT_EQ(a.handler.message_count(), 0u);
}

TEST_F(TcpPeerTransportTest, Frame_MalformedAfterHello_ClosesConnection) {
  Node a("vm-a");
  auto raw = RawConnection::To(a.address());
  raw.Write(HelloFrame(kClusterKey));
  raw.Write(EncodeFrame(EncodePeerMessage(Leave{1})));
  raw.Write(EncodeFrame("\xc1 not msgpack"));
  raw.ReadUntilClosed();
  a.handler.WaitForDisconnect("127.0.0.1:9");
  EXPECT_EQ(a.handler.message_count(), 1u);
}

// Guards against memory allocation for the length of an oversized frame.
TEST_F(TcpPeerTransportTest, Frame_LengthOverLimit_ClosesConnection) {
  Node a("vm-a");
  auto raw = RawConnection::To(a.address());
  raw.Write(HelloFrame(kClusterKey));
  raw.Write(std::string_view("\x7f\xff\xff\xff", 4));
  raw.ReadUntilClosed();
  a.handler.WaitForDisconnect("127.0.0.1:9");
}

TEST_F(TcpPeerTransportTest, Hello_OverHelloLimit_ClosesConnection) {
  Node a("vm-a");
  auto raw = RawConnection::To(a.address());
  raw.Write(std::string_view("\x00\x10\x00\x00", 4));
  EXPECT_EQ(raw.ReadUntilClosed(), "");
}

// Guards against connections that stay open without authentication.
TEST_F(TcpPeerTransportTest, Hello_Missing_ClosesConnectionAfterTimeout) {
  TcpPeerSettings settings;
  settings.hello_timeout = absl::Milliseconds(50);
  Node a("vm-a", settings);
  auto raw = RawConnection::To(a.address());
  EXPECT_EQ(raw.ReadUntilClosed(), "");
}

// Guards against unbounded memory use while the control thread is blocked, and
// against a connection whose reading does not resume afterwards.
TEST_F(TcpPeerTransportTest, Receive_ExecutorBlocked_PausesAndThenContinues) {
  constexpr size_t kMessages = 48;
  constexpr size_t kMessageBytes = 1024 * 1024;
  constexpr size_t kPauseBytes = 16 * kMessageBytes;
  Node a("vm-a");
  Node b("vm-b");
  Event release;
  b.loop.Post([&] { release.Wait(); });
  std::thread sender([&] {
    for (size_t i = 0; i < kMessages; ++i) {
      SendWhenPossible(
          a, b.address(),
          ForwardReply{i, "key", 200, std::string(kMessageBytes, 'x')});
    }
  });
  const absl::Time limit = absl::Now() + kTestWait;
  const auto received = [&] {
    return b.counter("radishrail_peer_received_bytes_total");
  };
  while (received() < kPauseBytes && absl::Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  // Time in which a transport that does not pause would read more.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_LT(received(), kPauseBytes + 4 * kMessageBytes);
  release.Notify();
  const auto messages = b.handler.WaitForMessages(kMessages);
  sender.join();
  ASSERT_EQ(messages.size(), kMessages);
  EXPECT_EQ(std::get<ForwardReply>(messages.back().second).request,
            kMessages - 1);
}

// Guards against memory for each of many peers while the control thread is
// blocked.
TEST_F(TcpPeerTransportTest, Receive_ManyPeersExecutorBlocked_ShareOneLimit) {
  constexpr size_t kPeers = 4;
  constexpr size_t kMessagesPerPeer = 12;
  constexpr size_t kMessageBytes = 1024 * 1024;
  constexpr size_t kPauseBytes = 16 * kMessageBytes;
  // What a peer may have sent before its connection is paused.
  constexpr size_t kSlackPerPeer = 2 * kMessageBytes;
  TcpPeerSettings patient;
  patient.confirm_timeout = absl::Minutes(10);
  Node receiver("receiver");
  Event release;
  receiver.loop.Post([&] { release.Wait(); });
  std::vector<std::unique_ptr<Node>> peers;
  for (size_t i = 0; i < kPeers; ++i) {
    peers.push_back(std::make_unique<Node>(absl::StrCat("vm-", i), patient));
    for (size_t n = 0; n < kMessagesPerPeer; ++n) {
      SendWhenPossible(
          *peers.back(), receiver.address(),
          ForwardReply{n, "key", 200, std::string(kMessageBytes, 'x')});
    }
  }
  const absl::Time limit = absl::Now() + kTestWait;
  const auto received = [&] {
    return receiver.counter("radishrail_peer_received_bytes_total");
  };
  while (received() < kPauseBytes && absl::Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  // Time in which a transport that does not pause would read more.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_LT(received(), kPauseBytes + kPeers * kSlackPerPeer);
  release.Notify();
  EXPECT_EQ(receiver.handler.WaitForMessages(kPeers * kMessagesPerPeer).size(),
            kPeers * kMessagesPerPeer);
}

// Guards against strangers who hold all connections, so that a daemon cannot
// be reached by its peers.
TEST_F(TcpPeerTransportTest, Peer_StrangersHoldAllConnections_IsServed) {
  constexpr int kMaxConnections = 4;
  TcpPeerSettings settings;
  settings.max_inbound_connections = kMaxConnections;
  settings.hello_timeout = absl::Minutes(10);
  Node a("vm-a", settings);
  std::vector<RawConnection> strangers;
  strangers.reserve(kMaxConnections);
  for (int i = 0; i < kMaxConnections; ++i) {
    strangers.push_back(RawConnection::To(a.address()));
  }
  Node b("vm-b");
  SendWhenPossible(b, a.address(), ForwardReply{1, "key", 200, "body"});
  EXPECT_EQ(a.handler.WaitForMessages(1).size(), 1u);
  // The one that has waited longest makes room.
  EXPECT_EQ(strangers.front().ReadUntilClosed(), "");
}

// Guards against strangers who take the connections of peers.
TEST_F(TcpPeerTransportTest, Stranger_PeersHoldAllConnections_IsClosed) {
  TcpPeerSettings settings;
  settings.max_inbound_connections = 1;
  Node a("vm-a", settings);
  Node b("vm-b");
  SendWhenPossible(b, a.address(), ForwardReply{1, "key", 200, "body"});
  a.handler.WaitForMessages(1);
  auto stranger = RawConnection::To(a.address());
  EXPECT_EQ(stranger.ReadUntilClosed(), "");
  SendWhenPossible(b, a.address(), ForwardReply{2, "key", 200, "body"});
  EXPECT_EQ(a.handler.WaitForMessages(2).size(), 2u);
}

// Guards against losing all further messages on a connection that transfers no
// data but is not reset (soak seed 140).
TEST_F(TcpPeerTransportTest, Send_ConnectionUnresponsive_IsReplaced) {
  uint16_t port = 0;
  auto listener = internal::ListenOn("127.0.0.1:0", &port, nullptr);
  const std::string peer = "127.0.0.1:" + std::to_string(port);
  Hello hello;
  hello.sender.vm = "raw";
  hello.sender.peer_address = peer;
  hello.cluster_key = kClusterKey;
  hello.confirms = true;
  const std::string reply = EncodeFrame(EncodePeerMessage(hello));
  const auto accept_one = [&] {
    pollfd waiting = {listener->get(), POLLIN, 0};
    EXPECT_EQ(poll(&waiting, 1,
                   static_cast<int>(absl::ToInt64Milliseconds(kTestWait))),
              1);
    RawConnection connection(
        internal::FileDescriptor(accept(listener->get(), nullptr, nullptr)));
    connection.Write(reply);
    return connection;
  };
  Node a("vm-a");
  SendWhenPossible(a, peer, PromiseRequest{1, 1});
  // Answers the hello and sends nothing afterwards.
  const RawConnection unresponsive = accept_one();
  a.handler.WaitForDisconnect(peer);
  SendWhenPossible(a, peer, PromiseRequest{1, 2});
  const RawConnection replacement = accept_one();
}

// Guards against peers that close their connection to this daemon as
// unresponsive, although it receives their messages, since it sends nothing
// back on that connection.
TEST_F(TcpPeerTransportTest, Receive_FromPeerThatConfirms_IsConfirmed) {
  Node a("vm-a");
  RawConnection raw = RawConnection::To(a.address());
  Hello hello;
  hello.sender.vm = "raw";
  hello.sender.peer_address = "127.0.0.1:9";
  hello.cluster_key = kClusterKey;
  hello.confirms = true;
  raw.Write(EncodeFrame(EncodePeerMessage(hello)) +
            EncodeFrame(EncodePeerMessage(PromiseRequest{1, 1})));
  raw.ReadUntil(EncodeFrame(EncodePeerMessage(Received{1})));
  raw.Write(EncodeFrame(EncodePeerMessage(PromiseRequest{1, 2})));
  raw.ReadUntil(EncodeFrame(EncodePeerMessage(Received{2})));
}

// Guards against confirmations to an older release that does not support them.
TEST_F(TcpPeerTransportTest, Receive_FromPeerThatDoesNotConfirm_SendsNone) {
  Node a("vm-a");
  RawConnection raw = RawConnection::To(a.address());
  raw.Write(HelloFrame(kClusterKey) +
            EncodeFrame(EncodePeerMessage(PromiseRequest{1, 1})));
  a.handler.WaitForMessages(1);
  raw.Write(EncodeFrame(EncodePeerMessage(PromiseRequest{1, 2})));
  a.handler.WaitForMessages(2);
  raw.Write(EncodeFrame("not a message"));
  const std::string received = raw.ReadUntilClosed();
  Hello hello;
  hello.cluster_key = kClusterKey;
  hello.confirms = true;
  hello.sender.vm = "vm-a";
  hello.sender.incarnation = 7;
  hello.sender.peer_address = a.address();
  EXPECT_EQ(received, EncodeFrame(EncodePeerMessage(hello)));
}

TEST_F(TcpPeerTransportTest, Stop_WithOpenConnections_DisconnectsPeer) {
  Node a("vm-a");
  Node b("vm-b");
  ASSERT_TRUE(a.transport->Send(b.address(), Leave{1}));
  b.handler.WaitForMessages(1);
  a.transport->Stop();
  EXPECT_FALSE(a.transport->Send(b.address(), Leave{1}));
  b.handler.WaitForDisconnect(a.address());
}

}  // namespace
}  // namespace radishrail
