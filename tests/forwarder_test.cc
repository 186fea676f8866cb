#include "radishrail/forwarder.h"

#include "fakes.h"
#include "gtest/gtest.h"

namespace radishrail {
namespace {

class ForwarderTest : public ::testing::Test {
 protected:
  static MemberRecord Member(const std::string& vm, uint64_t incarnation) {
    MemberRecord record;
    record.vm = vm;
    record.incarnation = incarnation;
    record.failure_domain = "yard-a";
    record.peer_address = "peer:" + vm;
    record.state = MemberState::kReady;
    return record;
  }

  // Forwards a status request for `key` and returns its number.
  uint64_t Forward(const std::string& key) {
    CallerRequest request;
    request.method = ForwardMethod::kStatus;
    request.key = key;
    forwarder_.Forward(Member("vm-1", 1), std::move(request), absl::Seconds(5),
                       [this](const CallerResponse& response) {
                         responses_.push_back(response);
                       });
    return std::get<ForwardRequest>(transport_.sent.back().second).request;
  }

  FakeClock clock_;
  SeededRandom random_{1};
  RecordingTransport transport_;
  Metrics metrics_;
  Membership membership_{clock_, random_, transport_, Member("vm-0", 7), {}};
  Forwarder forwarder_{clock_, transport_, membership_, metrics_};
  std::vector<CallerResponse> responses_;
};

// Guards against answering the wrong caller with a reply to a request of a
// former incarnation of this daemon that had the same number.
TEST_F(ForwarderTest, Reply_WithAnotherKey_IsDropped) {
  const uint64_t request = Forward("hold-214");
  forwarder_.OnReply({request, "hold-103", 200, "answer to hold-103"});
  EXPECT_TRUE(responses_.empty());
  forwarder_.OnReply({request, "hold-214", 200, "answer to hold-214"});
  ASSERT_EQ(responses_.size(), 1u);
  EXPECT_EQ(responses_[0].body, "answer to hold-214");
}

// Guards against reusing request numbers of a former incarnation.
TEST_F(ForwarderTest, RequestNumbers_OfAnIncarnation_StartAtIt) {
  EXPECT_EQ(Forward("a"), 7u);
  EXPECT_EQ(Forward("b"), 8u);
}

// Guards against a caller that waits forever, and against a second response.
TEST_F(ForwarderTest, Timeout_WithoutReply_RespondsOnce) {
  const uint64_t request = Forward("hold-1");
  clock_.Advance(absl::Seconds(6));
  forwarder_.Tick();
  forwarder_.OnReply({request, "hold-1", 200, "late"});
  ASSERT_EQ(responses_.size(), 1u);
  EXPECT_NE(responses_[0].http_status, 200);
}

// Guards against a reply that was lost with its connection.
TEST_F(ForwarderTest, Disconnect_WhilePending_SendsTheRequestAgain) {
  const uint64_t request = Forward("hold-1");
  membership_.OnContact(Member("vm-1", 1));
  forwarder_.OnPeerDisconnected("peer:vm-1");
  clock_.Advance(absl::Milliseconds(300));
  forwarder_.Tick();
  ASSERT_EQ(transport_.sent.size(), 2u);
  EXPECT_EQ(std::get<ForwardRequest>(transport_.sent[1].second).request,
            request);
}

}  // namespace
}  // namespace radishrail
