#include "radishrail/peer_message.h"

#include "gtest/gtest.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

MemberRecord TestRecord() {
  return {"vm-1", 7, 3, "yard-a", "127.0.0.1:7302", MemberState::kReady, 2};
}

TEST(PeerMessageTest, Heartbeat_RoundTrip_KeepsFields) {
  const Heartbeat heartbeat{TestRecord(), 42, {TestRecord()}};
  Error error;
  const auto decoded = DecodePeerMessage(EncodePeerMessage(heartbeat), &error);
  ASSERT_TRUE(decoded.has_value()) << error.ToString();
  const auto& copy = std::get<Heartbeat>(*decoded);
  EXPECT_EQ(copy.sender.vm, "vm-1");
  EXPECT_EQ(copy.document_revision, 42);
  ASSERT_EQ(copy.others.size(), 1u);
  EXPECT_EQ(copy.others[0].state, MemberState::kReady);
}

// Guards against a heartbeat that grows past the budget of 8 KB/s per daemon.
TEST(PeerMessageTest, Heartbeat_WithFourRecords_FitsInto256Bytes) {
  const Heartbeat heartbeat{
      TestRecord(),
      1,
      {TestRecord(), TestRecord(), TestRecord(), TestRecord()}};
  EXPECT_LE(EncodePeerMessage(heartbeat).size(), 256u);
}

// Guards against reports of free room that make the statuses of owners, which
// go to all daemons ten times a second, considerably larger.
TEST(PeerMessageTest, PoolStatus_WithRoomOfEightSizes_GrowsByLittle) {
  PoolStatus status;
  status.claims.resize(1);
  PoolClaim& claim = status.claims.front();
  claim.pool = "bc-lower-mainland-a";
  claim.owner = "edge-bc-lm-a-12";
  claim.address = "10.0.0.12:7302";
  claim.fence = 1000;
  claim.slots = 17000;
  claim.busy_slots = 12000;
  claim.backlog_ms = 700;
  status.document_version = 1000;
  status.sent_us = int64_t{1} << 40;
  status.client_contact_us = status.sent_us;
  status.oldest_request = uint64_t{1} << 60;
  const size_t without = EncodePeerMessage(status).size();
  for (uint32_t i = 1; i <= 8; ++i) {
    claim.room.push_back({40 + 8 * i, 300, 0});
  }
  const size_t with = EncodePeerMessage(status).size();
  RecordProperty("bytes_without", static_cast<int>(without));
  RecordProperty("bytes_with", static_cast<int>(with));
  EXPECT_LE(with, without + 64);
}

// Guards against an out-of-range enumerator that would index a name table.
TEST(PeerMessageTest, Decode_MemberStateOutOfRange_Fails) {
  MemberRecord record = TestRecord();
  record.state = static_cast<MemberState>(9);
  Error error;
  EXPECT_FALSE(
      DecodePeerMessage(EncodePeerMessage(Hello{record, "key"}), &error));
  EXPECT_EQ(error.code, ErrorCode::kProtocol);
}

// Guards against crashes of the decoder on truncated or altered frames.
TEST(PeerMessageTest, Decode_AlteredFrames_NeverCrashes) {
  SeededRandom random(1);
  const std::string good = EncodePeerMessage(
      Heartbeat{TestRecord(), 42, {TestRecord(), TestRecord()}});
  for (int i = 0; i < 20000; ++i) {
    std::string buf = good.substr(0, random.Below(good.size() + 1));
    for (size_t n = random.Below(4); n > 0 && !buf.empty(); --n) {
      buf[random.Below(buf.size())] = static_cast<char>(random.Next());
    }
    Error error;
    DecodePeerMessage(buf, &error);
  }
}

}  // namespace
}  // namespace radishrail
