// Starts a daemon without `--platform` and sends it what clients outside the
// limits send. It needs no store for that.

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>

#include "../tools/soak/child_process.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "client_crowd.h"
#include "daemon_process.h"
#include "gtest/gtest.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

constexpr int kMaxConnections = 300;
constexpr size_t kMaxBodyBytes = 262144;
constexpr size_t kPieceBytes = 4096;
// As for the daemon with `--platform`: clients may take a quarter of the
// smallest VM (128 MiB); the rest is for buffers of the sockets' library and
// for the allocator.
constexpr int64_t kMaxGrowthKb = (32 + 16) * 1024;
// Descriptors beyond those of the clients' connections that a crowd may cost.
constexpr int kDescriptorSlack = 32;

class PlainDaemonCrowdTest : public testing::Test {
 protected:
  PlainDaemonCrowdTest()
      : directory_(absl::StrCat(testing::TempDir(), "plain_crowd_", getpid())),
        caller_address_(FreeAddress()),
        operator_address_(FreeAddress()),
        daemon_({DaemonPath(), "--config", directory_ + "/daemon.ini"},
                directory_ + "/daemon.log") {}
  ~PlainDaemonCrowdTest() override {
    if (HasFailure()) {
      std::cout << std::ifstream(directory_ + "/daemon.log").rdbuf();
    }
    std::filesystem::remove_all(directory_);
  }

  void SetUp() override {
    std::filesystem::create_directories(directory_);
    std::ofstream(directory_ + "/daemon.ini")
        << "[daemon]\nvm = d1n0\nfailure_domain = d1\nfailure_domains = d1"
        << "\ncaller_address = " << caller_address_
        << "\noperator_address = " << operator_address_ << "\npeer_address = "
        << FreeAddress()
        // With one thread, the daemon has read what the crowd sent once it
        // answers the ordinary request.
        << "\ncaller_threads = 1\n[platform]\naddress = " << FreeAddress()
        << "\n[peers]\ncluster_key = crowd-cluster-key\n"
           "[operators]\ntoken = crowd-operator-token\n"
           "[requests]\nidle_timeout = 600s\nmax_connections = "
        << kMaxConnections << "\nmax_body_bytes = " << kMaxBodyBytes << "\n";
    ASSERT_TRUE(daemon_.Start());
    ASSERT_TRUE(OrdinaryRequestIsAnswered());
    descriptors_before_ = CountDescriptors(daemon_.pid());
    memory_before_kb_ = ReadStatusKb(daemon_.pid(), "VmHWM:");
  }

  static std::string FreeAddress() {
    return absl::StrCat("127.0.0.1:", FreePort());
  }

  // A client that tries again asks for a key.
  bool OrdinaryRequestIsAnswered() {
    const auto address = internal::ParseSocketAddress(caller_address_, nullptr);
    const absl::Time deadline = absl::Now() + kTestWait;
    while (absl::Now() < deadline) {
      internal::FileDescriptor fd(socket(AF_INET, SOCK_STREAM, 0));
      if (connect(fd.get(), address->get(), address->size) == 0) {
        RawConnection connection(std::move(fd));
        connection.TryWrite(
            "POST /v1/keys HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n");
        if (absl::StrContains(connection.ReadUntilClosed(), "200 OK")) {
          return true;
        }
      }
      absl::SleepFor(absl::Milliseconds(50));
    }
    return false;
  }

  void HoldCrowd(const std::string& text) {
    HoldCrowdAt(caller_address_, kMaxConnections, text);
  }

  void HoldCrowdAt(const std::string& address,
                   int size,
                   const std::string& text) {
    Crowd crowd(address, size, text);
    crowd.Send(kPieceBytes);
    const SocketQueues queues = ReadSocketQueues(address);
    EXPECT_TRUE(OrdinaryRequestIsAnswered());
    ASSERT_EQ(daemon_.PollExitStatus(), std::nullopt) << "the daemon ended";
    const int64_t growth_kb =
        ReadStatusKb(daemon_.pid(), "VmHWM:") - memory_before_kb_;
    EXPECT_LE(growth_kb + (queues.unread + queues.unsent) / 1024, kMaxGrowthKb);
    EXPECT_LE(CountDescriptors(daemon_.pid()),
              descriptors_before_ + kMaxConnections + kDescriptorSlack);
  }

  const std::string directory_;
  const std::string caller_address_;
  const std::string operator_address_;
  ChildProcess daemon_;
  int descriptors_before_ = 0;
  int64_t memory_before_kb_ = 0;
};

TEST_F(PlainDaemonCrowdTest, Bodies_WithoutLastByte_StayWithinBounds) {
  HoldCrowd(absl::StrCat(
      "PUT /v1/jobs/crowd HTTP/1.1\r\nHost: host\r\n"
      "Content-Length: ",
      kMaxBodyBytes, "\r\n\r\n", std::string(kMaxBodyBytes - 1, 'x')));
}

TEST_F(PlainDaemonCrowdTest, TinyChunks_WithoutLastChunk_StayWithinBounds) {
  constexpr size_t kChunkBytes = 16;
  HoldCrowd(
      "PUT /v1/jobs/crowd HTTP/1.1\r\nHost: host\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      Repeat(absl::StrCat(absl::Hex(kChunkBytes), "\r\n",
                          std::string(kChunkBytes, 'x'), "\r\n"),
             kMaxBodyBytes / kChunkBytes));
}

TEST_F(PlainDaemonCrowdTest, PipelinedRequests_NotRead_StayWithinBounds) {
  constexpr size_t kRequests = 20000;
  HoldCrowd(Repeat("GET /v1/none HTTP/1.1\r\nHost: host\r\n\r\n", kRequests));
}

// Guards against the larger default limit of the operators' address.
TEST_F(PlainDaemonCrowdTest, BodiesAtOperatorAddress_StayWithinBounds) {
  constexpr int kConnections = 60;
  constexpr size_t kBodyBytes = 4 * 1024 * 1024;
  HoldCrowdAt(
      operator_address_, kConnections,
      absl::StrCat("PUT /v1/documents/crowd HTTP/1.1\r\nHost: host\r\n"
                   "Content-Length: ",
                   kBodyBytes, "\r\n\r\n", std::string(kBodyBytes - 1, 'x')));
}

}  // namespace
}  // namespace radishrail
