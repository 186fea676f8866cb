// Starts a daemon and sends it what clients outside the limits send: many
// requests that stop just short of their end and stay open. Guards against a
// daemon that runs out of memory, ends, or serves no one else meanwhile.

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "../tools/soak/child_process.h"
#include "../tools/soak/runner_standin.h"
#include "../tools/soak/table_standin.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "client_crowd.h"
#include "daemon_process.h"
#include "environment_number.h"
#include "gtest/gtest.h"
#include "radishrail/clock.h"
#include "socket_address.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

// The daemon's settings. The crowd takes all its connections, a small part of
// the 2,000 of the deploy file, with bodies of the largest legal size.
constexpr int kMaxConnections = 300;
constexpr size_t kMaxBodyBytes = 262144;
// The settings name no memory size, so the daemon must do with the smallest VM
// (128 MiB). Clients may take a quarter of that; the rest of the bound is for
// buffers of the sockets' library and for the allocator.
constexpr int64_t kMaxGrowthKb = (32 + 16) * 1024;
// For one request: 16 times its size.
constexpr int64_t kMaxParsingGrowthKb = 16 * 256;
// What may stay in use after the crowds have left: pieces of the heap.
constexpr int64_t kMaxRemainingKb = 16 * 1024;
// Descriptors beyond those of the clients' connections that a crowd may cost.
constexpr int kDescriptorSlack = 32;
// Bytes that one connection sends before the next one is served.
constexpr size_t kPieceBytes = 4096;
constexpr absl::Duration kTickInterval = absl::Milliseconds(10);

std::string PostHeader(std::string_view body_header) {
  return absl::StrCat("POST /queue/crowd HTTP/1.1\r\nHost: host\r\n",
                      std::string(body_header), "\r\n\r\n");
}

std::string WholeRequest(std::string_view body) {
  return absl::StrCat(PostHeader(absl::StrCat("Content-Length: ", body.size())),
                      std::string(body));
}

constexpr size_t kTinyChunkBytes = 16;
constexpr size_t kManyRequests = 20000;

std::string PipelinedRequests(size_t n) {
  return Repeat("GET /queue/crowd HTTP/1.1\r\nHost: host\r\n\r\n", n);
}

// A body of the largest size, without its last byte.
std::string UnfinishedBody() {
  return absl::StrCat(
      PostHeader(absl::StrCat("Content-Length: ", kMaxBodyBytes)),
      std::string(kMaxBodyBytes - 1, 'x'));
}

// A body of the largest size in chunks, without the chunk that ends it.
std::string UnfinishedChunks(size_t chunk_bytes) {
  return PostHeader("Transfer-Encoding: chunked") +
         Repeat(absl::StrCat(absl::Hex(chunk_bytes), "\r\n",
                             std::string(chunk_bytes, 'x'), "\r\n"),
                kMaxBodyBytes / chunk_bytes);
}

// Lets a process run for a small part of the time, by signals.
class ProcessorShare {
 public:
  explicit ProcessorShare(const ChildProcess& process)
      : process_(process), thread_([this] { Run(); }) {}
  ~ProcessorShare() {
    running_ = false;
    thread_.join();
    process_.Signal(SIGCONT);
  }
  ProcessorShare(const ProcessorShare&) = delete;
  ProcessorShare& operator=(const ProcessorShare&) = delete;

 private:
  static constexpr absl::Duration kRunning = absl::Milliseconds(9);
  static constexpr absl::Duration kStopped = absl::Milliseconds(91);

  void Run() {
    while (running_) {
      process_.Signal(SIGSTOP);
      absl::SleepFor(kStopped);
      process_.Signal(SIGCONT);
      absl::SleepFor(kRunning);
    }
  }

  const ChildProcess& process_;
  std::atomic<bool> running_ = true;
  std::thread thread_;
};

// How the daemons of a test are run.
struct CrowdTestSettings {
  bool has_peer = true;
  int max_connections = kMaxConnections;
  // 0: not named in the settings.
  int memory_mb = 0;
};

class ClientCrowdTest : public testing::Test {
 protected:
  ClientCrowdTest() : ClientCrowdTest(CrowdTestSettings()) {}

  explicit ClientCrowdTest(const CrowdTestSettings& settings)
      : settings_(settings),
        directory_(absl::StrCat(testing::TempDir(), "client_crowd_", getpid())),
        loop_("crowd"),
        client_(ClientSettings(), loop_),
        table_(loop_),
        runner_(loop_,
                clock_,
                log_,
                table_,
                "d1r0",
                "d1",
                [](const StartOrder&) { return std::string(); }) {}

  ~ClientCrowdTest() override {
    RunOnLoop([this] { stopped_ = true; });
    daemon_.reset();
    peer_.reset();
    if (HasFailure()) {
      std::cout << std::ifstream(directory_ + "/daemon0.log").rdbuf();
    }
    client_.Stop();
    runner_.Stop();
    table_.Stop();
    loop_.Stop();
    std::filesystem::remove_all(directory_);
  }

  void SetUp() override {
    std::filesystem::create_directories(directory_);
    Error error;
    ASSERT_TRUE(table_.Start(&error)) << error.ToString();
    ASSERT_TRUE(runner_.Start(&error)) << error.ToString();
    runner_.SetEntryAddress(runner_.address());
    runner_.max_run_time = absl::Milliseconds(20);
    RunOnLoop([this] {
      table_.Put("op/config",
                 R"({"version":1,"routes":[{"name":"queue","host":"host",)"
                 R"("pathPrefix":"/queue/","service":"svc","attempts":3,)"
                 R"("stretch":4,"targetLatencyMs":400}],)"
                 R"("services":[{"name":"svc"}],"limits":{}})");
      Tick(0);
    });
    StartDaemon(0);
    if (settings_.has_peer) {
      StartDaemon(1);
    }
    ASSERT_TRUE(OrdinaryRequestIsAnswered());
    descriptors_before_ = CountDescriptors();
    memory_before_kb_ = ReadStatusKb("VmHWM:");
    memory_in_use_before_kb_ = ReadStatusKb("VmRSS:");
    ASSERT_GT(memory_in_use_before_kb_, 0);
  }

  // Starts daemon 0, which gets the crowds, or its peer.
  void StartDaemon(int i) {
    const auto address = [] { return absl::StrCat("127.0.0.1:", FreePort()); };
    const std::array<std::string, 4> addresses = {address(), address(),
                                                  address(), address()};
    if (i == 0) {
      caller_address_ = addresses[0];
      ready_address_ = addresses[1];
      operator_address_ = addresses[2];
      peer_address_ = addresses[3];
    }
    const std::string stem = absl::StrCat(directory_, "/daemon", i);
    std::ofstream(stem + ".ini")
        << "[daemon]\nvm = d1n" << i
        << "\nfailure_domain = d1\nfailure_domains = d1"
        << (settings_.memory_mb > 0
                ? absl::StrCat("\nmemory_mb = ", settings_.memory_mb)
                : "")
        << "\ncaller_address = " << addresses[0]
        << "\nready_address = " << addresses[1]
        << "\noperator_address = " << addresses[2]
        << "\npeer_address = " << addresses[3]
        << "\n[platform]\naddress = " << table_.address()
        << "\ntimeout = 1s\n[peers]\ncluster_key = crowd-cluster-key\n"
           "[operators]\ntoken = crowd-operator-token\n"
           "[lease]\nlength = 1s\nrenew_interval = 300ms\n"
           "[requests]\nidle_timeout = 600s\nmax_connections = "
        << settings_.max_connections << "\nmax_body_bytes = " << kMaxBodyBytes
        << "\n";
    auto& daemon = i == 0 ? daemon_ : peer_;
    daemon = std::make_unique<ChildProcess>(
        std::vector<std::string>{DaemonPath(), "--platform", "--config",
                                 stem + ".ini"},
        stem + ".log");
    ASSERT_TRUE(daemon->Start());
  }

  // A job with one task. `padding`: blanks after it.
  HttpResult SendJob(size_t padding) {
    HttpClientRequest request;
    request.method = "POST";
    request.address = caller_address_;
    request.target = absl::StrCat("/queue/job", ++jobs_);
    request.headers = {"Host: host", "Content-Type: application/json",
                       "X-Deadline-Ms: 1500", "Connection: close"};
    request.body = R"({"spec":"s","steps":[{"count":1,"cpu":8000,"memMb":64,)"
                   R"("estimateMs":20}],"bestEffort":true})" +
                   std::string(padding, ' ');
    request.timeout = absl::Seconds(3);
    return SendAsync(client_, std::move(request)).Wait();
  }

  // Sends a job from a client that repeats refused requests.
  bool OrdinaryRequestIsAnswered(size_t padding = 0) {
    const absl::Time deadline = absl::Now() + kTestWait;
    while (absl::Now() < deadline) {
      const HttpResult result = SendJob(padding);
      if (result.status == 200) {
        EXPECT_TRUE(absl::StrContains(result.body, "completed")) << result.body;
        return true;
      }
      last_answer_ = absl::StrCat(result.status, " ", result.body, " ",
                                  result.error.ToString());
      absl::SleepFor(10 * kTickInterval);
    }
    std::cout << "last answer: " << last_answer_ << "\n";
    return false;
  }

  // What must hold while a crowd is connected and after it. The ordinary
  // request comes first: once it is answered, the daemon has read what the
  // crowd sent.
  void ExpectWithinBounds(int64_t max_growth_kb = kMaxGrowthKb) {
    EXPECT_TRUE(OrdinaryRequestIsAnswered());
    ASSERT_EQ(daemon_->PollExitStatus(), std::nullopt) << "the daemon ended";
    const int64_t growth_kb = ReadStatusKb("VmHWM:") - memory_before_kb_;
    RecordProperty("growth_kb", std::to_string(growth_kb));
    EXPECT_LE(growth_kb, max_growth_kb);
    EXPECT_LE(
        CountDescriptors(),
        descriptors_before_ + settings_.max_connections + kDescriptorSlack);
  }

  void SetStoreAvailable(bool available) {
    RunOnLoop([&] { table_.faults.unavailable = !available; });
  }

  std::string ReadMetrics() const {
    auto connection = RawConnection::To(operator_address_);
    connection.Write(
        "GET /metrics HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    return connection.ReadUntilClosed();
  }

  // Waits until the memory in use is near that before the crowds.
  void ExpectMemoryReturns() {
    const absl::Time deadline = absl::Now() + kTestWait;
    int64_t growth_kb = 0;
    do {
      growth_kb = ReadStatusKb("VmRSS:") - memory_in_use_before_kb_;
      absl::SleepFor(kTickInterval);
    } while (growth_kb > kMaxRemainingKb && absl::Now() < deadline);
    RecordProperty("remaining_kb", std::to_string(growth_kb));
    EXPECT_LE(growth_kb, kMaxRemainingKb)
        << CountDescriptors() - descriptors_before_ << " more descriptors\n"
        << ReadMetrics();
  }

  void HoldCrowd(const std::string& text, size_t piece_bytes) {
    HoldCrowdAt(caller_address_, kMaxConnections, text, piece_bytes);
  }

  void HoldCrowdAt(const std::string& address,
                   int size,
                   const std::string& text,
                   size_t piece_bytes) {
    Crowd crowd(address, size, text);
    crowd.Send(piece_bytes);
    ExpectWithinBounds();
  }

  // Holds a crowd that reads no answers. Returns the peak of what the daemon
  // occupies, in KiB: its memory and what waits in its sockets.
  int64_t PeakOfCrowdThatReadsNothing(const std::string& address,
                                      int size,
                                      const std::string& text) {
    constexpr int kReceiveBufferBytes = 4096;
    Crowd crowd(address, size, text, kReceiveBufferBytes);
    int64_t peak_kb = 0;
    const auto sample = [&] {
      const SocketQueues queues = ReadSocketQueues(address);
      const int64_t memory_kb = ReadStatusKb("VmRSS:");
      const int64_t kb = memory_kb + (queues.unread + queues.unsent) / 1024;
      if (kb > peak_kb) {
        peak_kb = kb;
        RecordProperty("peak_kb", std::to_string(peak_kb));
        RecordProperty("unread_kb", std::to_string(queues.unread / 1024));
        RecordProperty("unsent_kb", std::to_string(queues.unsent / 1024));
      }
    };
    crowd.Send(kPieceBytes, sample);
    EXPECT_TRUE(OrdinaryRequestIsAnswered());
    EXPECT_EQ(daemon_->PollExitStatus(), std::nullopt) << "the daemon ended";
    sample();
    return peak_kb;
  }

  // Sends a request and waits for the end of its connection or response.
  std::string SendOne(const std::string& text) const {
    auto connection = RawConnection::To(caller_address_);
    connection.TryWrite(text);
    return connection.ReadUntil("\r\n\r\n");
  }

  int64_t ReadStatusKb(const std::string& field) const {
    return radishrail::ReadStatusKb(daemon_->pid(), field);
  }

  // Of all threads of the daemon since its start.
  absl::Duration ReadProcessorTime() const {
    constexpr int kFieldsBeforeTimes = 13;
    std::ifstream stat(absl::StrCat("/proc/", daemon_->pid(), "/stat"));
    std::string field;
    for (int i = 0; i < kFieldsBeforeTimes; ++i) {
      stat >> field;
    }
    int64_t user_ticks = 0;
    int64_t system_ticks = 0;
    stat >> user_ticks >> system_ticks;
    return absl::Seconds(user_ticks + system_ticks) / sysconf(_SC_CLK_TCK);
  }

  int CountDescriptors() const {
    return radishrail::CountDescriptors(daemon_->pid());
  }

  std::string caller_address_;
  std::string operator_address_;
  std::string ready_address_;
  std::string peer_address_;
  int64_t memory_in_use_before_kb_ = 0;
  std::unique_ptr<ChildProcess> daemon_;

 private:
  static HttpClientSettings ClientSettings() {
    HttpClientSettings settings;
    settings.thread_name = "callers";
    return settings;
  }

  void RunOnLoop(const std::function<void()>& call) {
    std::promise<void> done;
    loop_.Post([&] {
      call();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Tick(int n) {
    if (stopped_) {
      return;
    }
    constexpr int kTicksPerHeartbeat = 50;
    if (n % kTicksPerHeartbeat == 0) {
      runner_.WriteEntry();
    }
    table_.Tick();
    loop_.PostDelayed(kTickInterval, [this, n] { Tick(n + 1); });
  }

  const CrowdTestSettings settings_;
  const std::string directory_;
  const SystemClock clock_;
  ControlLoop loop_;
  HttpClient client_;
  RunLog log_;
  TableStandin table_;
  RunnerStandin runner_;
  std::unique_ptr<ChildProcess> peer_;
  bool stopped_ = false;
  int jobs_ = 0;
  std::string last_answer_;
  int descriptors_before_ = 0;
  int64_t memory_before_kb_ = 0;
};

TEST_F(ClientCrowdTest, WholeBodies_WithoutLastByte_StayWithinBounds) {
  HoldCrowd(UnfinishedBody(), kMaxBodyBytes);
}

TEST_F(ClientCrowdTest, BodiesInPieces_WithoutLastByte_StayWithinBounds) {
  HoldCrowd(UnfinishedBody(), kPieceBytes);
}

TEST_F(ClientCrowdTest, LargeChunks_WithoutLastChunk_StayWithinBounds) {
  constexpr size_t kChunkBytes = 65536;
  HoldCrowd(UnfinishedChunks(kChunkBytes), kMaxBodyBytes);
}

// Guards against a cost for each chunk, too.
TEST_F(ClientCrowdTest, TinyChunks_WithoutLastChunk_StayWithinBounds) {
  HoldCrowd(UnfinishedChunks(kTinyChunkBytes), kPieceBytes);
}

// Guards against memory that stays with the process after each crowd.
TEST_F(ClientCrowdTest, CrowdAfterCrowd_StaysWithinBounds) {
  constexpr int kCrowds = 4;
  constexpr size_t kChunkBytes = 65536;
  for (int i = 0; i < kCrowds; ++i) {
    HoldCrowd(i % 2 == 0 ? UnfinishedBody() : UnfinishedChunks(kChunkBytes),
              kPieceBytes);
  }
  ExpectWithinBounds();
  ExpectMemoryReturns();
}

// Guards against a parser that builds an object for each element of a body.
TEST_F(ClientCrowdTest, BodyOfManySmallElements_CostsBoundedMemory) {
  for (const std::string_view it : {"[", "[],", "{},", "0,", "{\"\":"}) {
    const std::string start = R"({"bestEffort":true,"steps":[)";
    const size_t n = (kMaxBodyBytes - start.size() - 4) / it.size();
    SendOne(WholeRequest(absl::StrCat(start, Repeat(it, n), "0]}")));
  }
  ExpectWithinBounds(kMaxParsingGrowthKb);
}

// Guards against a name of a step that is copied for each of its tasks.
TEST_F(ClientCrowdTest, BodyOfManyTasksWithLongName_CostsBoundedMemory) {
  const std::string start =
      R"({"bestEffort":true,"steps":[{"count":512,"affinity":")";
  SendOne(WholeRequest(absl::StrCat(
      start, std::string(kMaxBodyBytes - start.size() - 4, 'x'), "\"}]}")));
  ExpectWithinBounds(kMaxParsingGrowthKb);
}

// Guards against connections that are held before a request is known.
TEST_F(ClientCrowdTest, HeadersWithoutEnd_StayWithinBounds) {
  constexpr size_t kHeaderBytes = 16000;
  HoldCrowd(absl::StrCat("POST /queue/crowd HTTP/1.1\r\nHost: host\r\nX-Long: ",
                         std::string(kHeaderBytes, 'x')),
            kPieceBytes);
}

// Guards against clients that let the daemon wait for a body it has asked for.
TEST_F(ClientCrowdTest, ExpectContinue_WithoutBody_StaysWithinBounds) {
  HoldCrowd(PostHeader(absl::StrCat("Expect: 100-continue\r\nContent-Length: ",
                                    kMaxBodyBytes)),
            kPieceBytes);
}

// Guards against bodies of requests that need none.
TEST_F(ClientCrowdTest, DeleteWithBody_WithoutLastByte_StaysWithinBounds) {
  HoldCrowd(
      absl::StrCat(
          "DELETE /queue/crowd HTTP/1.1\r\nHost: host\r\nContent-Length: ",
          kMaxBodyBytes, "\r\n\r\n", std::string(kMaxBodyBytes - 1, 'x')),
      kPieceBytes);
}

// Guards against clients that send request after request and read no answer.
TEST_F(ClientCrowdTest, PipelinedRequests_AnswersNotRead_StayWithinBounds) {
  constexpr size_t kRequests = 5000;
  HoldCrowd(PipelinedRequests(kRequests), kPieceBytes);
}

// Guards against the same in the buffers of the sockets: requests that are not
// read while an answer waits, and answers that are not read.
TEST_F(ClientCrowdTest, PipelinedRequests_InSocketBuffers_StayWithinBounds) {
  const int64_t peak_kb = PeakOfCrowdThatReadsNothing(
      caller_address_, kMaxConnections, PipelinedRequests(kManyRequests));
  EXPECT_LE(peak_kb - memory_in_use_before_kb_, kMaxGrowthKb);
}

// Guards against limits that clients inside them meet. Records what a job
// costs, for comparisons of two daemons by hand. RADISHRAIL_CALM_JOBS: number
// of jobs.
TEST_F(ClientCrowdTest, JobsOneByOne_SmallAndLarge_AreServed) {
  constexpr size_t kLargePadding = 256000;
  const uint64_t jobs = FromEnvironment("RADISHRAIL_CALM_JOBS", 20);
  for (const size_t padding : {size_t{0}, kLargePadding}) {
    const absl::Duration processor_before = ReadProcessorTime();
    const absl::Time start = absl::Now();
    for (uint64_t i = 0; i < jobs; ++i) {
      ASSERT_TRUE(OrdinaryRequestIsAnswered(padding));
    }
    const std::string name = padding == 0 ? "small" : "large";
    const auto record = [&](const std::string& what, absl::Duration total) {
      RecordProperty(absl::StrCat(name, "_", what, "_us"),
                     absl::StrCat(absl::ToInt64Microseconds(
                         total / static_cast<double>(jobs))));
    };
    record("latency", absl::Now() - start);
    record("processor", ReadProcessorTime() - processor_before);
  }
}

// Guards against the larger default limits of the addresses that are not for
// callers.
TEST_F(ClientCrowdTest, BodiesAtOtherAddresses_StayWithinBounds) {
  constexpr int kConnections = 60;
  constexpr size_t kBodyBytes = 4 * 1024 * 1024;
  const std::string text = absl::StrCat(
      "POST /metrics HTTP/1.1\r\nHost: host\r\nContent-Length: ", kBodyBytes,
      "\r\n\r\n", std::string(kBodyBytes - 1, 'x'));
  HoldCrowdAt(operator_address_, kConnections, text, kMaxBodyBytes);
  HoldCrowdAt(ready_address_, kConnections, text, kMaxBodyBytes);
}

// Guards against long answers at these addresses that are not read.
TEST_F(ClientCrowdTest, PipelinedRequestsAtOtherAddresses_StayWithinBounds) {
  constexpr int kConnections = 60;
  const std::string text =
      Repeat("GET /metrics HTTP/1.1\r\nHost: host\r\n\r\n", kManyRequests);
  for (const auto& it : {operator_address_, ready_address_}) {
    EXPECT_LE(PeakOfCrowdThatReadsNothing(it, kConnections, text) -
                  memory_in_use_before_kb_,
              kMaxGrowthKb);
  }
}

// Guards against memory for peers that have not shown the cluster key.
TEST_F(ClientCrowdTest, UnfinishedFramesAtPeerAddress_StayWithinBounds) {
  constexpr std::string_view kLength("\0\0\x0f\xff", 4);
  HoldCrowdAt(peer_address_, kMaxConnections,
              absl::StrCat(std::string(kLength), std::string(4000, 'x')),
              kPieceBytes);
}

// A daemon that has never had a peer.
class SingleDaemonCrowdTest : public ClientCrowdTest {
 protected:
  SingleDaemonCrowdTest() : ClientCrowdTest({.has_peer = false}) {}
};

// Guards against a daemon that serves nobody without a peer.
TEST_F(SingleDaemonCrowdTest, WholeBodies_WithoutLastByte_StayWithinBounds) {
  HoldCrowd(UnfinishedBody(), kMaxBodyBytes);
}

// Guards against memory that a crowd takes only while the store is lost.
TEST_F(ClientCrowdTest, Crowds_StoreIsLost_StayWithinBounds) {
  SetStoreAvailable(false);
  HoldCrowd(UnfinishedBody(), kPieceBytes);
  HoldCrowd(PipelinedRequests(kManyRequests), kPieceBytes);
  SetStoreAvailable(true);
  ExpectWithinBounds();
}

// Guards against crowds that return as soon as they are closed and so leave no
// room for others. RADISHRAIL_CROWD_ROUNDS: for a longer run by hand.
TEST_F(ClientCrowdTest, Crowds_ReturnForManyRounds_StayWithinBounds) {
  const uint64_t rounds = FromEnvironment("RADISHRAIL_CROWD_ROUNDS", 3);
  std::vector<Crowd> crowds;
  crowds.emplace_back(caller_address_, kMaxConnections / 3, UnfinishedBody());
  crowds.emplace_back(caller_address_, kMaxConnections / 3,
                      UnfinishedChunks(kTinyChunkBytes));
  crowds.emplace_back(caller_address_, kMaxConnections / 3,
                      PipelinedRequests(kManyRequests));
  for (uint64_t i = 0; i < rounds && !HasFailure(); ++i) {
    for (auto& it : crowds) {
      it.Return();
      it.Send(kPieceBytes);
      EXPECT_TRUE(OrdinaryRequestIsAnswered());
    }
    ExpectWithinBounds();
  }
}

// Guards against what gathers while the process cannot keep up.
TEST_F(ClientCrowdTest, Crowds_SmallShareOfCore_StayWithinBounds) {
  {
    const ProcessorShare share(*daemon_);
    HoldCrowd(UnfinishedBody(), kPieceBytes);
    HoldCrowd(UnfinishedChunks(kTinyChunkBytes), kPieceBytes);
    EXPECT_LE(PeakOfCrowdThatReadsNothing(caller_address_, kMaxConnections,
                                          PipelinedRequests(kManyRequests)) -
                  memory_in_use_before_kb_,
              kMaxGrowthKb);
  }
  ExpectWithinBounds();
}

// The smallest VM, with the connections of the deploy file.
class SmallestVmCrowdTest : public ClientCrowdTest {
 protected:
  static constexpr int kMemoryMb = 120;

  SmallestVmCrowdTest()
      : ClientCrowdTest({.max_connections = 2000, .memory_mb = kMemoryMb}) {}
};

// Guards against a process that needs more than its VM has, with what waits in
// its sockets.
TEST_F(SmallestVmCrowdTest, PipelinedRequests_AnswersNotRead_FitInMemory) {
  constexpr int kCrowd = 2500;
  EXPECT_LE(PeakOfCrowdThatReadsNothing(caller_address_, kCrowd,
                                        PipelinedRequests(kManyRequests)),
            kMemoryMb * 1024);
}

}  // namespace
}  // namespace radishrail
