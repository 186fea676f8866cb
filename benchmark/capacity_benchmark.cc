// Measures how memory, messages and CPU time of the control plane grow with the
// size of the fleet. docs/CAPACITY.md is calculated from its output.

#include <malloc.h>
#include <time.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "radishrail/document_controller.h"
#include "radishrail/membership.h"
#include "radishrail/ownership.h"
#include "radishrail/slot_broker.h"
#include "radishrail/upstream_registry.h"

namespace {

std::atomic<int64_t> live_bytes{0};

}  // namespace

// Counts the heap bytes in use, including allocator rounding.
void* operator new(size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) {
    std::abort();
  }
  live_bytes += static_cast<int64_t>(malloc_usable_size(block));
  return block;
}

void operator delete(void* block) noexcept {
  live_bytes -= static_cast<int64_t>(malloc_usable_size(block));
  std::free(block);
}

void operator delete(void* block, size_t /*size*/) noexcept {
  operator delete(block);
}

namespace radishrail {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(50);
constexpr int kMeasuredSeconds = 20;
constexpr int kDomains = 15;

class ManualClock : public Clock {
 public:
  absl::Time Monotonic() const override { return now_; }
  absl::Time Wall() const override { return now_; }
  void Advance(absl::Duration duration) { now_ += duration; }

 private:
  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
};

class CountingTransport : public PeerTransport {
 public:
  bool Send(const std::string& /*peer_address*/,
            const PeerMessage& message) override {
    constexpr uint64_t kFrameHeaderBytes = 4;
    bytes += EncodePeerMessage(message).size() + kFrameHeaderBytes;
    ++messages;
    return true;
  }
  uint64_t bytes = 0;
  uint64_t messages = 0;
};

// Answers every read with absent rows and commits every transaction.
class CountingStore : public Store {
 public:
  void Read(const std::string& key, ReadCallback callback) override {
    ++reads;
    callback(Row{key, "", 0}, {});
  }
  void List(const std::string& /*prefix*/, ListCallback callback) override {
    ++reads;
    callback(std::vector<Row>{}, {});
  }
  void Transact(Transaction /*transaction*/,
                TransactCallback callback) override {
    ++writes;
    callback(TransactionOutcome::kCommitted, "", {});
  }
  void GetObject(const std::string& /*name*/,
                 ObjectCallback callback) override {
    ++reads;
    callback("", {});
  }
  void PutObject(const std::string& /*name*/,
                 std::string body,
                 ObjectCallback callback) override {
    ++writes;
    callback(std::move(body), {});
  }
  void ListVms(VmCallback callback) override {
    ++reads;
    callback(std::vector<VmInfo>{}, {});
  }
  uint64_t reads = 0;
  uint64_t writes = 0;
};

double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

MemberRecord Member(int n) {
  MemberRecord record;
  record.vm = absl::StrCat("vm-", n);
  record.incarnation = 1'800'000'000'000'000ULL + static_cast<uint64_t>(n);
  record.failure_domain = absl::StrCat("domain-", n % kDomains);
  record.peer_address = absl::StrCat("10.0.", n / 250, ".", n % 250, ":7302");
  record.state = MemberState::kReady;
  return record;
}

// Prints the control-plane cost of one daemon per second.
void PrintRow(const char* part,
              int size,
              double cpu_seconds,
              uint64_t messages,
              uint64_t bytes,
              int64_t heap_bytes) {
  std::printf("%-22s %7d %12.4f %10.1f %12.0f %14lld\n", part, size,
              100.0 * cpu_seconds / kMeasuredSeconds,
              static_cast<double>(messages) / kMeasuredSeconds,
              static_cast<double>(bytes) / kMeasuredSeconds,
              static_cast<long long>(heap_bytes));
}

// Runs `tick` every `kTick` for `kMeasuredSeconds` of simulated time and
// returns the CPU time used.
double RunTicks(ManualClock& clock, const std::function<void(int)>& tick) {
  const double start = ThreadSeconds();
  const int ticks =
      kMeasuredSeconds * static_cast<int>(absl::Seconds(1) / kTick);
  for (int i = 0; i < ticks; ++i) {
    clock.Advance(kTick);
    tick(i);
  }
  return ThreadSeconds() - start;
}

// Delivers one heartbeat of a random member with records of other members.
void ReceiveHeartbeats(Membership& membership, SeededRandom& random, int size) {
  Heartbeat heartbeat;
  heartbeat.sender = Member(static_cast<int>(random.Below(size)));
  heartbeat.sender.sequence = random.Next() >> 20;
  for (size_t i = 0; i < kHeartbeatRecords; ++i) {
    heartbeat.others.push_back(Member(static_cast<int>(random.Below(size))));
  }
  membership.OnHeartbeat(heartbeat);
}

struct Fixture {
  ManualClock clock;
  SeededRandom random{1};
  CountingTransport transport;
  CountingStore store;
  Membership membership{clock, random, transport, Member(0), {}};

  // Repeated calls act as heartbeats and keep the members from being suspected.
  void AddMembers(int size) {
    ++sequence;
    for (int i = 1; i < size; ++i) {
      Heartbeat heartbeat;
      heartbeat.sender = Member(i);
      heartbeat.sender.sequence = sequence;
      membership.OnHeartbeat(heartbeat);
    }
    membership.SetState(MemberState::kReady);
  }
  uint64_t sequence = 0;
};

void MeasureMembership(int size) {
  Fixture fixture;
  const int64_t before = live_bytes;
  fixture.AddMembers(size);
  const int64_t heap = live_bytes - before;
  const double cpu = RunTicks(fixture.clock, [&](int i) {
    if (i % 2 == 0) {
      fixture.membership.Tick(1);
    }
    // 20 ticks/s and 8 heartbeats/s received.
    if (i % 5 < 2) {
      ReceiveHeartbeats(fixture.membership, fixture.random, size);
    }
  });
  PrintRow("membership", size, cpu, fixture.transport.messages,
           fixture.transport.bytes, heap);
}

void MeasureOwnership(int size) {
  Fixture fixture;
  fixture.AddMembers(size);
  const int64_t before = live_bytes;
  OwnershipSettings settings;
  settings.failure_domain = "domain-0";
  settings.vm = "vm-0";
  settings.incarnation = Member(0).incarnation;
  OwnershipController ownership(settings, fixture.clock, fixture.store,
                                fixture.transport, fixture.membership);
  const uint64_t messages = fixture.transport.messages;
  const uint64_t bytes = fixture.transport.bytes;
  double heartbeats = 0;
  const double cpu = RunTicks(fixture.clock,
                              [&](int i) {
                                if (i % 40 == 0) {
                                  const double start = ThreadSeconds();
                                  fixture.AddMembers(size);
                                  heartbeats += ThreadSeconds() - start;
                                }
                                if (i % 4 == 0) {
                                  ownership.Tick();
                                }
                              }) -
                     heartbeats;
  PrintRow("ownership", size, cpu, fixture.transport.messages - messages,
           fixture.transport.bytes - bytes, live_bytes - before);
  std::printf("%-22s %7d platform reads/s %.2f writes/s %.2f\n",
              "ownership (platform)", size,
              static_cast<double>(fixture.store.reads) / kMeasuredSeconds,
              static_cast<double>(fixture.store.writes) / kMeasuredSeconds);
}

void MeasureSlotBroker(int upstreams, int queued) {
  Fixture fixture;
  fixture.AddMembers(300);
  const int64_t before = live_bytes;
  SlotBroker broker(fixture.clock, fixture.random, fixture.transport,
                    fixture.membership);
  for (int i = 0; i < upstreams; ++i) {
    broker.SetUpstream(absl::StrCat("up-", i),
                       absl::StrCat("domain-", i % kDomains), 8);
  }
  broker.Tick();
  const int64_t heap = live_bytes - before;
  double heartbeats = 0;
  const double cpu = RunTicks(fixture.clock,
                              [&](int i) {
                                if (i % 40 == 0) {
                                  const double start = ThreadSeconds();
                                  fixture.AddMembers(300);
                                  heartbeats += ThreadSeconds() - start;
                                }
                                broker.SetDemand(queued, {});
                                broker.Tick();
                              }) -
                     heartbeats;
  PrintRow(queued > 0 ? "slot broker (borrowing)" : "slot broker (idle)",
           upstreams, cpu, fixture.transport.messages, fixture.transport.bytes,
           heap);
}

std::vector<VmInfo> VmList(int upstreams) {
  std::vector<VmInfo> vms;
  vms.reserve(static_cast<size_t>(upstreams));
  for (int i = 0; i < upstreams; ++i) {
    vms.push_back({absl::StrCat("up-", i), VmRole::kUpstream,
                   absl::StrCat("10.1.", i / 250, ".", i % 250, ":7500"),
                   absl::StrCat("domain-", i % kDomains), VmState::kLive,
                   "runner", 8});
  }
  return vms;
}

void MeasureRegistry(int upstreams) {
  Fixture fixture;
  const std::vector<VmInfo> vms = VmList(upstreams);
  const int64_t before = live_bytes;
  UpstreamSettings settings;
  settings.failure_domain = "domain-0";
  UpstreamRegistry registry(settings, fixture.clock);
  registry.OnVmList(vms);
  registry.TakeChanges();
  const int64_t heap = live_bytes - before;
  const double cpu = RunTicks(fixture.clock, [&](int i) {
    if (i % 20 == 0) {
      registry.OnVmList(vms);
    }
    if (i % 4 == 0) {
      registry.Tick();
      registry.TakeChanges();
    }
  });
  PrintRow("upstream registry", upstreams, cpu, 0, 0, heap);
}

std::string DocumentBody(const std::string& environment) {
  return absl::StrCat(
      R"({"environment": ")", environment,
      R"(", "caller_tokens": ["0123456789abcdef"], "promised_ms": 2000,)",
      R"( "upstream_classes": ["runner"], "teams": [{"name": "counter",)",
      R"( "share": 3, "max_running_tasks": 200}]})");
}

void MeasureDocuments(int environments) {
  Fixture fixture;
  const int64_t before = live_bytes;
  DocumentController documents(fixture.clock, fixture.random, fixture.store,
                               fixture.transport,
                               [] { return std::vector<MemberRecord>{}; });
  for (int i = 0; i < environments; ++i) {
    const std::string name = absl::StrCat("environment-", i);
    const int64_t revision = i + 1;
    documents.OnPeerMessage(
        Member(1),
        DocumentPush{revision,
                     revision - 1,
                     {{revision, name, "production", 1, DocumentBody(name)}}});
  }
  const int64_t heap = live_bytes - before;
  const double cpu = RunTicks(fixture.clock, [&](int i) {
    if (i % 2 == 0) {
      documents.Tick();
    }
  });
  PrintRow("documents", environments, cpu, 0, 0, heap);
}

int Main(int argc, char** argv) {
  CLI::App app("Control cost of one daemon at several fleet sizes.");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-22s %7s %12s %10s %12s %14s\n", "part", "size", "cpu_percent",
              "messages/s", "bytes_sent/s", "heap_bytes");
  for (const int size : {9, 75, 300, 600}) {
    MeasureMembership(size);
  }
  for (const int size : {9, 75, 300}) {
    MeasureOwnership(size);
  }
  for (const int environments : {78, 780, 7800}) {
    MeasureDocuments(environments);
  }
  for (const int upstreams : {48, 350, 1400, 5600, 21000}) {
    MeasureRegistry(upstreams);
  }
  for (const int upstreams : {48, 350, 1400, 5600, 21000}) {
    MeasureSlotBroker(upstreams, 0);
    MeasureSlotBroker(upstreams, 100000);
  }
  return 0;
}

}  // namespace
}  // namespace radishrail

int main(int argc, char** argv) {
  return radishrail::Main(argc, argv);
}
