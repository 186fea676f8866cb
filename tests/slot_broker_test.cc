#include "radishrail/slot_broker.h"

#include <map>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

constexpr int kSlots = 8;

// Several daemons of one failure domain. Messages are delivered at the end of
// each simulated tick.
class SlotBrokerTest : public ::testing::Test {
 protected:
  class Transport : public PeerTransport {
   public:
    Transport(SlotBrokerTest& test, size_t sender)
        : test_(test), sender_(sender) {}
    bool Send(const std::string& peer_address,
              const PeerMessage& message) override {
      for (size_t i = 0; i < test_.daemons_.size(); ++i) {
        if (Record(i).peer_address == peer_address) {
          test_.in_flight_.push_back({sender_, i, message});
        }
      }
      return true;
    }

   private:
    SlotBrokerTest& test_;
    const size_t sender_;
  };

  struct Daemon {
    std::unique_ptr<Transport> transport;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<SlotBroker> broker;
    std::map<std::string, int> allowance;
    std::map<std::string, int> running;
    int queued = 0;
  };

  struct InFlight {
    size_t from;
    size_t to;
    PeerMessage message;
  };

  static MemberRecord Record(size_t i) {
    MemberRecord record;
    record.vm = absl::StrCat("vm-", i);
    record.incarnation = 1;
    record.failure_domain = "yard-a";
    record.peer_address = absl::StrCat("10.0.0.", i, ":7302");
    record.state = MemberState::kReady;
    return record;
  }

  void AddDaemons(size_t n) {
    daemons_.resize(n);
    for (size_t i = 0; i < n; ++i) {
      Daemon& daemon = daemons_[i];
      daemon.transport = std::make_unique<Transport>(*this, i);
      daemon.membership =
          std::make_unique<Membership>(clock_, random_, *daemon.transport,
                                       Record(i), std::vector<std::string>{});
      daemon.broker = std::make_unique<SlotBroker>(
          clock_, random_, *daemon.transport, *daemon.membership);
    }
    ExchangeHeartbeats();
  }

  void ExchangeHeartbeats() {
    ++sequence_;
    for (size_t i = 0; i < daemons_.size(); ++i) {
      for (size_t j = 0; j < daemons_.size(); ++j) {
        if (i != j) {
          Heartbeat heartbeat;
          heartbeat.sender = Record(j);
          heartbeat.sender.sequence = sequence_;
          daemons_[i].membership->OnHeartbeat(heartbeat);
        }
      }
    }
  }

  void AddUpstreams(int n) {
    for (int i = 0; i < n; ++i) {
      for (auto& it : daemons_) {
        it.broker->SetUpstream(absl::StrCat("up-", i), "yard-a", kSlots);
      }
    }
    upstreams_ = n;
  }

  void RunFor(absl::Duration duration) {
    for (absl::Duration t; t < duration; t += absl::Milliseconds(50)) {
      clock_.Advance(absl::Milliseconds(50));
      if (absl::ToInt64Milliseconds(t) % 1000 == 0) {
        ExchangeHeartbeats();
      }
      for (auto& it : daemons_) {
        TickDaemon(it);
      }
      auto messages = std::exchange(in_flight_, {});
      for (const auto& it : messages) {
        SetDemand(daemons_[it.to]);
        daemons_[it.to].broker->OnPeerMessage(Record(it.from), it.message);
      }
    }
  }

  static void SetDemand(Daemon& daemon) {
    std::vector<SlotUse> use;
    for (const auto& [upstream, n] : daemon.running) {
      use.push_back({upstream, n});
    }
    daemon.broker->SetDemand(daemon.queued, use);
  }

  static void TickDaemon(Daemon& daemon) {
    SetDemand(daemon);
    daemon.broker->Tick();
    for (const auto& it : daemon.broker->TakeChanges()) {
      daemon.allowance[it.upstream] = it.slots;
    }
    // Queued tasks occupy all allowed slots at once and never end.
    for (const auto& [upstream, slots] : daemon.allowance) {
      int& running = daemon.running[upstream];
      while (daemon.queued > 0 && running < slots) {
        ++running;
        --daemon.queued;
      }
    }
  }

  int AllowanceOf(size_t i) const {
    int n = 0;
    for (const auto& [upstream, slots] : daemons_[i].allowance) {
      n += slots;
    }
    return n;
  }

  void ExpectNoUpstreamOvercommitted() {
    for (int u = 0; u < upstreams_; ++u) {
      int n = 0;
      for (auto& it : daemons_) {
        n += it.allowance[absl::StrCat("up-", u)];
      }
      EXPECT_LE(n, kSlots) << "up-" << u;
    }
  }

  FakeClock clock_;
  SeededRandom random_{1};
  std::vector<Daemon> daemons_;
  std::vector<InFlight> in_flight_;
  uint64_t sequence_ = 0;
  int upstreams_ = 0;
};

// Guards against slots that are allowed to no daemon, or to more than one, in
// an idle fleet.
TEST_F(SlotBrokerTest, Homes_WithoutDemand_ShareAllSlotsWithoutOverlap) {
  AddDaemons(3);
  AddUpstreams(12);
  RunFor(absl::Seconds(1));
  EXPECT_EQ(AllowanceOf(0) + AllowanceOf(1) + AllowanceOf(2), 12 * kSlots);
  ExpectNoUpstreamOvercommitted();
}

// Guards against control traffic of an idle fleet.
TEST_F(SlotBrokerTest, Messages_WithoutDemand_NoneSent) {
  AddDaemons(3);
  AddUpstreams(12);
  RunFor(absl::Seconds(5));
  for (const auto& it : daemons_) {
    EXPECT_EQ(it.broker->messages_sent(), 0u);
  }
}

// Guards against a burst at one daemon that cannot use the idle slots of the
// others.
TEST_F(SlotBrokerTest, Burst_AtOneDaemon_BorrowsIdleSlotsOfOthers) {
  AddDaemons(3);
  AddUpstreams(12);
  RunFor(absl::Seconds(1));
  daemons_[0].queued = 12 * kSlots;
  RunFor(absl::Seconds(2));
  EXPECT_EQ(daemons_[0].queued, 0);
  ExpectNoUpstreamOvercommitted();
}

// Guards against loans that are not returned after their tasks have ended.
TEST_F(SlotBrokerTest, Loans_AfterTheBurst_ReturnToTheirHomes) {
  AddDaemons(3);
  AddUpstreams(12);
  RunFor(absl::Seconds(1));
  const int before = AllowanceOf(1) + AllowanceOf(2);
  daemons_[0].queued = 12 * kSlots;
  RunFor(absl::Seconds(2));
  ASSERT_LT(AllowanceOf(1) + AllowanceOf(2), before);
  daemons_[0].running.clear();
  RunFor(absl::Seconds(4));
  EXPECT_EQ(AllowanceOf(1) + AllowanceOf(2), before);
  ExpectNoUpstreamOvercommitted();
}

// Guards against a saturated home daemon that lends nothing to a daemon with a
// much longer queue.
TEST_F(SlotBrokerTest, Burst_WhenHomesAreBusy_GetsAShareAsSlotsFreeUp) {
  AddDaemons(2);
  AddUpstreams(12);
  RunFor(absl::Seconds(1));
  const int before = AllowanceOf(0);
  // The second daemon occupies all slots first; then the first one has the
  // longer queue.
  daemons_[1].queued = 12 * kSlots;
  RunFor(absl::Milliseconds(500));
  for (int i = 0; i < 40; ++i) {
    for (auto& it : daemons_) {
      it.running.clear();
    }
    daemons_[0].queued = 2000;
    daemons_[1].queued = 200;
    RunFor(absl::Milliseconds(100));
  }
  EXPECT_GT(AllowanceOf(0), before);
  EXPECT_GT(AllowanceOf(1), 0);
}

// Guards against message floods during a permanent overload.
TEST_F(SlotBrokerTest, Requests_UnderPermanentOverload_StayWithinTheLimit) {
  AddDaemons(8);
  AddUpstreams(16);
  for (auto& it : daemons_) {
    it.queued = 1000000;
  }
  constexpr int kSeconds = 10;
  RunFor(absl::Seconds(kSeconds));
  for (const auto& it : daemons_) {
    EXPECT_LE(it.broker->messages_sent(),
              2u * kMaxSlotRequestsPerSecond * kSeconds);
  }
}

}  // namespace
}  // namespace radishrail
