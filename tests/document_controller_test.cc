#include "radishrail/document_controller.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "fake_store.h"
#include "fakes.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "radishrail/log.h"

namespace radishrail {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;

std::string Body(const std::string& environment, int promised_ms) {
  return absl::StrCat("{\"environment\": \"", environment,
                      "\", \"promised_ms\": ", promised_ms, "}");
}

// Several daemons on one platform. Peer messages are queued until the test
// delivers them.
class Fleet {
 public:
  explicit Fleet(size_t size, uint64_t seed = 1) : random_(seed) {
    InitLogging(LogLevel::kError, "test");
    for (size_t i = 0; i < size; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(*this, i));
      Restart(i);
    }
  }

  DocumentController& controller(size_t i) { return *daemons_[i]->controller; }
  FakeStore& store(size_t i) { return *daemons_[i]->store; }
  size_t size() const { return daemons_.size(); }

  // Starts a new process, without the documents and pending requests of the old
  // one.
  void Restart(size_t i) {
    Daemon& daemon = *daemons_[i];
    daemon.controller.reset();
    daemon.store = std::make_unique<FakeStore>(platform);
    daemon.random = std::make_unique<SeededRandom>(random_.Next());
    daemon.controller = std::make_unique<DocumentController>(
        clock, *daemon.random, *daemon.store, daemon,
        [this, i] { return PeersOf(i); });
    std::erase_if(messages_, [&](const Message& it) { return it.to == i; });
  }

  void SetPartitioned(size_t a, size_t b, bool partitioned) {
    if (partitioned) {
      partitions_.insert(std::minmax(a, b));
    } else {
      partitions_.erase(std::minmax(a, b));
    }
  }

  bool DeliverOne() {
    if (messages_.empty()) {
      return false;
    }
    const Message message = std::move(messages_.front());
    messages_.pop_front();
    if (!partitions_.contains(std::minmax(message.from, message.to))) {
      controller(message.to)
          .OnPeerMessage(Record(message.from), message.message);
    }
    return true;
  }

  void Heartbeats() {
    for (size_t i = 0; i < size(); ++i) {
      for (size_t j = 0; j < size(); ++j) {
        if (i != j && !partitions_.contains(std::minmax(i, j))) {
          controller(j).OnPeerRevision(Record(i), controller(i).revision());
        }
      }
    }
  }

  // Ticks every 100 ms and processes all messages and requests; sends
  // heartbeats every second.
  void Run(absl::Duration duration, bool with_heartbeats = true) {
    for (absl::Duration t; t < duration; t += absl::Milliseconds(100)) {
      clock.Advance(absl::Milliseconds(100));
      if (with_heartbeats && ++ticks_ % 10 == 0) {
        Heartbeats();
      }
      Settle();
    }
  }

  void Settle() {
    for (auto& it : daemons_) {
      it->controller->Tick();
    }
    bool busy = true;
    while (busy) {
      busy = DeliverOne();
      for (auto& it : daemons_) {
        busy |= it->store->PumpOne();
      }
    }
  }

  // Runs until the change has an outcome.
  ChangeResult Put(size_t i,
                   const std::string& environment,
                   const std::string& body,
                   const std::string& operation) {
    std::optional<ChangeResult> result;
    controller(i).PutTrial(environment, body, operation,
                           [&](ChangeResult it) { result = std::move(it); });
    return Await(result);
  }

  ChangeResult Promote(size_t i,
                       const std::string& environment,
                       int64_t version,
                       int64_t replaces,
                       const std::string& operation) {
    std::optional<ChangeResult> result;
    controller(i).Promote(environment, version, replaces, operation,
                          [&](ChangeResult it) { result = std::move(it); });
    return Await(result);
  }

  int64_t ProductionVersion(size_t i, const std::string& environment) {
    const auto document = controller(i).Find(environment, Stage::kProduction);
    return document == nullptr ? 0 : document->version;
  }

  FakeClock clock;
  FakePlatform platform;
  size_t messages_sent = 0;

 private:
  struct Daemon : public PeerTransport {
    Daemon(Fleet& owner, size_t own_index) : fleet(owner), index(own_index) {}

    bool Send(const std::string& address, const PeerMessage& message) override {
      ++fleet.messages_sent;
      // Encoded as on the wire, to check the size of the frame.
      const std::string frame = EncodePeerMessage(message);
      EXPECT_LE(frame.size(), 1024u * 1024);
      Error error;
      fleet.messages_.push_back({index, static_cast<size_t>(std::stoi(address)),
                                 *DecodePeerMessage(frame, &error)});
      return true;
    }

    Fleet& fleet;
    const size_t index;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<FakeStore> store;
    std::unique_ptr<DocumentController> controller;
  };

  struct Message {
    size_t from;
    size_t to;
    PeerMessage message;
  };

  static MemberRecord Record(size_t i) {
    MemberRecord record;
    record.vm = absl::StrCat("vm-", i);
    record.peer_address = absl::StrCat(i);
    return record;
  }

  std::vector<MemberRecord> PeersOf(size_t i) const {
    std::vector<MemberRecord> peers;
    for (size_t j = 0; j < daemons_.size(); ++j) {
      if (j != i && !partitions_.contains(std::minmax(i, j))) {
        peers.push_back(Record(j));
      }
    }
    return peers;
  }

  ChangeResult Await(const std::optional<ChangeResult>& result) {
    for (int i = 0; i < 1000 && !result.has_value(); ++i) {
      Run(absl::Milliseconds(100));
    }
    EXPECT_TRUE(result.has_value());
    return result.value_or(ChangeResult{});
  }

  SeededRandom random_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::deque<Message> messages_;
  std::set<std::pair<size_t, size_t>> partitions_;
  int ticks_ = 0;
};

TEST(DocumentControllerTest, Put_ValidDocument_IsAcceptedEverywhere) {
  Fleet fleet(3);
  const ChangeResult result = fleet.Put(0, "a", Body("a", 1), "op-1");
  EXPECT_EQ(result.outcome, ChangeOutcome::kAccepted);
  EXPECT_EQ(result.version, 1);
  EXPECT_EQ(result.revision, 1);
  for (size_t i = 0; i < fleet.size(); ++i) {
    const auto trial = fleet.controller(i).Find("a", Stage::kTrial);
    ASSERT_NE(trial, nullptr);
    EXPECT_EQ(trial->document.promised, absl::Milliseconds(1));
    EXPECT_EQ(fleet.controller(i).Find("a", Stage::kProduction), nullptr);
  }
}

TEST(DocumentControllerTest, Put_InvalidDocumentOrName_IsRejected) {
  Fleet fleet(1);
  for (const auto& [name, body] :
       std::vector<std::pair<std::string, std::string>>{
           {"a", "{}"}, {"a", Body("b", 1)}, {"a/b", Body("a/b", 1)}}) {
    EXPECT_EQ(fleet.Put(0, name, body, "op").outcome, ChangeOutcome::kRejected);
  }
  EXPECT_EQ(fleet.Put(0, "a", Body("a", 1), "op/1").outcome,
            ChangeOutcome::kRejected);
  EXPECT_TRUE(fleet.platform.history.empty());
}

TEST(DocumentControllerTest, Promote_TrialVersion_BecomesActive) {
  Fleet fleet(2);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Put(0, "a", Body("a", 2), "op-2");
  EXPECT_EQ(fleet.Promote(1, "a", 1, 0, "op-3").outcome,
            ChangeOutcome::kAccepted);
  EXPECT_EQ(fleet.Promote(1, "a", 2, 1, "op-4").outcome,
            ChangeOutcome::kAccepted);
  EXPECT_EQ(fleet.ProductionVersion(0, "a"), 2);
  const auto list = fleet.controller(0).List();
  ASSERT_EQ(list.size(), 1u);
  EXPECT_EQ(list[0].production_version, 2);
  EXPECT_EQ(list[0].trial_version, 2);
  EXPECT_EQ(list[0].revision, 4);
}

// Guards against the promotion of a document that was never a trial version or
// that is older than the production version.
TEST(DocumentControllerTest, Promote_UnknownOrLowerVersion_IsRejected) {
  Fleet fleet(1);
  EXPECT_EQ(fleet.Promote(0, "a", 1, 0, "op-0").error.code,
            ErrorCode::kNotFound);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Put(0, "a", Body("a", 2), "op-2");
  EXPECT_EQ(fleet.Promote(0, "a", 3, 0, "op-3").error.code,
            ErrorCode::kNotFound);
  EXPECT_EQ(fleet.Promote(0, "a", 2, 0, "op-4").outcome,
            ChangeOutcome::kAccepted);
  EXPECT_EQ(fleet.Promote(0, "a", 1, 2, "op-5").error.code,
            ErrorCode::kInvalidArgument);
  EXPECT_EQ(fleet.ProductionVersion(0, "a"), 2);
}

TEST(DocumentControllerTest, Promote_Race_LoserErrorNamesWinner) {
  Fleet fleet(2);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Put(0, "a", Body("a", 2), "op-2");
  std::vector<ChangeResult> results(2);
  for (size_t i = 0; i < 2; ++i) {
    fleet.controller(i).Promote(
        "a", static_cast<int64_t>(i) + 1, 0, absl::StrCat("race-", i),
        [&results, i](ChangeResult it) { results[i] = std::move(it); });
  }
  fleet.Run(absl::Seconds(1));
  const size_t winner = results[0].outcome == ChangeOutcome::kAccepted ? 0 : 1;
  EXPECT_EQ(results[winner].outcome, ChangeOutcome::kAccepted);
  EXPECT_EQ(results[1 - winner].outcome, ChangeOutcome::kRejected);
  EXPECT_THAT(results[1 - winner].error.detail,
              AllOf(HasSubstr(absl::StrCat("race-", winner)),
                    HasSubstr(absl::StrCat("version ", winner + 1))));
}

TEST(DocumentControllerTest, Put_Race_LoserErrorNamesWinner) {
  Fleet fleet(2);
  std::vector<ChangeResult> results(2);
  for (size_t i = 0; i < 2; ++i) {
    fleet.controller(i).PutTrial(
        "a", Body("a", static_cast<int>(i) + 1), absl::StrCat("race-", i),
        [&results, i](ChangeResult it) { results[i] = std::move(it); });
  }
  fleet.Run(absl::Seconds(1));
  const size_t winner = results[0].outcome == ChangeOutcome::kAccepted ? 0 : 1;
  EXPECT_EQ(results[winner].outcome, ChangeOutcome::kAccepted);
  EXPECT_THAT(results[1 - winner].error.detail,
              HasSubstr(absl::StrCat("race-", winner)));
}

TEST(DocumentControllerTest, Put_ResponseLostAfterWrite_IsAccepted) {
  Fleet fleet(1);
  fleet.store(0).lose_responses = 1;
  const ChangeResult result = fleet.Put(0, "a", Body("a", 1), "op-1");
  EXPECT_EQ(result.outcome, ChangeOutcome::kAccepted);
  EXPECT_EQ(result.version, 1);
}

// Guards against a change that is reported as rejected but takes effect when
// its delayed request arrives.
TEST(DocumentControllerTest, Put_RequestDelayed_StaysRejected) {
  Fleet fleet(1);
  fleet.store(0).delay_requests = 1;
  EXPECT_EQ(fleet.Put(0, "a", Body("a", 1), "op-1").outcome,
            ChangeOutcome::kRejected);
  fleet.store(0).DeliverDelayed();
  fleet.Run(absl::Seconds(5));
  EXPECT_EQ(fleet.controller(0).Find("a", Stage::kTrial), nullptr);
  EXPECT_EQ(fleet.Put(0, "a", Body("a", 1), "op-1").outcome,
            ChangeOutcome::kRejected);
}

TEST(DocumentControllerTest, Put_PlatformDown_IsUnknownAndSafeToRepeat) {
  Fleet fleet(1);
  fleet.store(0).down = true;
  const ChangeResult result = fleet.Put(0, "a", Body("a", 1), "op-1");
  EXPECT_EQ(result.outcome, ChangeOutcome::kUnknown);
  EXPECT_EQ(result.error.code, ErrorCode::kPlatformUnavailable);
  EXPECT_THAT(result.error.detail, HasSubstr("op-1"));
  fleet.store(0).down = false;
  EXPECT_EQ(fleet.Put(0, "a", Body("a", 1), "op-1").outcome,
            ChangeOutcome::kAccepted);
}

// Guards against a change that fails because of a single failed read.
TEST(DocumentControllerTest, Put_OneReadFails_IsAccepted) {
  Fleet fleet(1);
  std::optional<ChangeResult> result;
  fleet.store(0).down = true;
  fleet.controller(0).PutTrial("a", Body("a", 1), "op-1",
                               [&](const ChangeResult& it) { result = it; });
  ASSERT_TRUE(fleet.store(0).PumpOne());
  fleet.store(0).down = false;
  fleet.Run(absl::Seconds(5));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->outcome, ChangeOutcome::kAccepted);
}

// Guards against a wrong outcome when the platform goes down between the write
// and the read that determines the outcome.
TEST(DocumentControllerTest, Put_LostResponseAndPlatformDown_RepeatIsAccepted) {
  Fleet fleet(1);
  std::optional<ChangeResult> result;
  fleet.store(0).lose_responses = 1;
  fleet.controller(0).PutTrial("a", Body("a", 1), "op-1",
                               [&](const ChangeResult& it) { result = it; });
  while (fleet.store(0).transactions == 0) {
    ASSERT_TRUE(fleet.store(0).PumpOne());
  }
  fleet.store(0).down = true;
  fleet.Run(absl::Seconds(30));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->outcome, ChangeOutcome::kUnknown);
  fleet.store(0).down = false;
  const ChangeResult repeated = fleet.Put(0, "a", Body("a", 1), "op-1");
  EXPECT_EQ(repeated.outcome, ChangeOutcome::kAccepted);
  EXPECT_EQ(repeated.version, 1);
}

TEST(DocumentControllerTest, Change_RepeatedOperation_ReturnsFirstOutcome) {
  Fleet fleet(2);
  const ChangeResult first = fleet.Put(0, "a", Body("a", 1), "op-1");
  const ChangeResult repeated = fleet.Put(1, "a", Body("a", 1), "op-1");
  EXPECT_EQ(repeated.outcome, ChangeOutcome::kAccepted);
  EXPECT_EQ(repeated.version, first.version);
  EXPECT_EQ(repeated.revision, first.revision);
  // A rejected promotion stays rejected, even once it would be possible.
  EXPECT_EQ(fleet.Promote(0, "a", 2, 1, "op-2").outcome,
            ChangeOutcome::kRejected);
  fleet.Promote(0, "a", 1, 0, "op-3");
  fleet.Put(0, "a", Body("a", 2), "op-4");
  EXPECT_EQ(fleet.Promote(1, "a", 2, 1, "op-2").outcome,
            ChangeOutcome::kRejected);
  EXPECT_EQ(fleet.ProductionVersion(1, "a"), 1);
}

TEST(DocumentControllerTest, Change_OperationIdOfAnotherChange_IsRejected) {
  Fleet fleet(1);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  const ChangeResult result = fleet.Put(0, "a", Body("a", 2), "op-1");
  EXPECT_EQ(result.outcome, ChangeOutcome::kRejected);
  EXPECT_THAT(result.error.detail, HasSubstr("op-1"));
}

TEST(DocumentControllerTest, Change_ConflictOnHead_IsRetried) {
  Fleet fleet(1);
  fleet.store(0).conflicts = 3;
  EXPECT_EQ(fleet.Put(0, "a", Body("a", 1), "op-1").outcome,
            ChangeOutcome::kAccepted);
}

// Guards against a rejected change that overwrites the body of an accepted
// version: the platform replaces an object that is written again.
TEST(DocumentControllerTest, Put_RaceForOneVersion_KeepsBodyOfWinner) {
  Fleet fleet(2);
  std::vector<ChangeResult> results(2);
  for (size_t i = 0; i < 2; ++i) {
    fleet.controller(i).PutTrial(
        "a", Body("a", static_cast<int>(i) + 1), absl::StrCat("race-", i),
        [&results, i](ChangeResult it) { results[i] = std::move(it); });
  }
  // Both daemons write an object for version 1 before the first transaction.
  while (fleet.platform.objects.size() < 2) {
    for (size_t i = 0; i < 2; ++i) {
      ASSERT_TRUE(fleet.store(i).PumpOne());
    }
  }
  fleet.Run(absl::Seconds(1));
  const size_t winner = results[0].outcome == ChangeOutcome::kAccepted ? 0 : 1;
  fleet.Restart(0);
  fleet.Run(absl::Seconds(1), false);
  EXPECT_EQ(fleet.controller(0).Find("a", Stage::kTrial)->body,
            Body("a", static_cast<int>(winner) + 1));
}

// Guards against a corrupted object that becomes active.
TEST(DocumentControllerTest, Poll_BodyWithWrongHash_IsNotApplied) {
  Fleet fleet(1);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.platform.objects.begin()->second = Body("a", 2);
  fleet.Restart(0);
  fleet.Run(absl::Seconds(5));
  EXPECT_EQ(fleet.controller(0).Find("a", Stage::kTrial), nullptr);
  EXPECT_FALSE(fleet.controller(0).ready());
}

// Guards invariant 8, that an accepted document is applied within 9 s, for
// daemons that get no pushes from peers.
TEST(DocumentControllerTest, Poll_PeersPartitioned_AppliesWithin9s) {
  Fleet fleet(4);
  for (size_t i = 0; i < 4; ++i) {
    for (size_t j = i + 1; j < 4; ++j) {
      fleet.SetPartitioned(i, j, true);
    }
  }
  // Polls fail first, so that the time includes the backoff.
  for (size_t i = 1; i < 4; ++i) {
    fleet.store(i).down = true;
  }
  fleet.Run(absl::Seconds(10), false);
  for (size_t i = 1; i < 4; ++i) {
    EXPECT_FALSE(fleet.controller(i).platform_readable());
    fleet.store(i).down = false;
  }
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Promote(0, "a", 1, 0, "op-2");
  fleet.Run(absl::Seconds(8), false);
  for (size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(fleet.ProductionVersion(i, "a"), 1);
  }
}

TEST(DocumentControllerTest,
     Push_AcceptedChange_ReachesPeersBeforeTheNextPoll) {
  Fleet fleet(3);
  fleet.Run(absl::Seconds(1));
  for (size_t i = 1; i < 3; ++i) {
    fleet.store(i).down = true;
  }
  fleet.Put(0, "a", Body("a", 1), "op-1");
  for (size_t i = 1; i < 3; ++i) {
    EXPECT_EQ(fleet.controller(i).revision(), 1);
  }
}

// Guards against a push that is applied although earlier changes are missing.
TEST(DocumentControllerTest, Push_WithMissingChangesBetween_PullsThem) {
  Fleet fleet(2);
  fleet.Run(absl::Seconds(1), false);
  fleet.SetPartitioned(0, 1, true);
  fleet.store(1).down = true;
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.SetPartitioned(0, 1, false);
  fleet.Put(0, "b", Body("b", 1), "op-2");
  EXPECT_EQ(fleet.controller(1).revision(), 2);
  EXPECT_NE(fleet.controller(1).Find("a", Stage::kTrial), nullptr);
  EXPECT_NE(fleet.controller(1).Find("b", Stage::kTrial), nullptr);
}

// Guards against a malformed message that changes documents.
TEST(DocumentControllerTest, Push_InvalidContent_IsIgnored) {
  Fleet fleet(1);
  const MemberRecord peer{"vm-9", 1, 1, "north", "0", MemberState::kReady, 1};
  for (const DocumentPush& it : {
           DocumentPush{1, 0, {{1, "a", "no_stage", 1, Body("a", 1)}}},
           DocumentPush{1, 0, {{1, "a/b", "trial", 1, Body("a", 1)}}},
           DocumentPush{1, 0, {{1, "a", "trial", 0, Body("a", 1)}}},
           DocumentPush{1, 0, {{2, "a", "trial", 1, Body("a", 1)}}},
           DocumentPush{-5, -6, {{-5, "a", "trial", 1, Body("a", 1)}}},
           DocumentPush{5, 0, {}},
       }) {
    fleet.controller(0).OnPeerMessage(peer, it);
    EXPECT_EQ(fleet.controller(0).revision(), 0);
    EXPECT_TRUE(fleet.controller(0).List().empty());
  }
}

// Guards against frames above the size limit; `Fleet` checks each frame.
TEST(DocumentControllerTest, Pull_ManyLargeDocuments_ArriveInParts) {
  Fleet fleet(2);
  fleet.store(1).down = true;
  fleet.SetPartitioned(0, 1, true);
  constexpr size_t kBlanks = 200 * 1024;
  for (int i = 0; i < 12; ++i) {
    const std::string name = absl::StrCat("env-", i);
    ASSERT_EQ(fleet
                  .Put(0, name, Body(name, 1) + std::string(kBlanks, ' '),
                       absl::StrCat("op-", i))
                  .outcome,
              ChangeOutcome::kAccepted);
  }
  fleet.SetPartitioned(0, 1, false);
  fleet.Run(absl::Seconds(2));
  EXPECT_EQ(fleet.controller(1).revision(), 12);
  EXPECT_EQ(fleet.controller(1).List().size(), 12u);
}

TEST(DocumentControllerTest, Ready_PlatformReadable_AfterFirstPoll) {
  Fleet fleet(2);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Restart(1);
  EXPECT_FALSE(fleet.controller(1).ready());
  fleet.Run(absl::Milliseconds(100));
  EXPECT_TRUE(fleet.controller(1).ready());
  EXPECT_NE(fleet.controller(1).Find("a", Stage::kTrial), nullptr);
}

TEST(DocumentControllerTest, Ready_PlatformDown_OnlyWithPeersDocuments) {
  Fleet fleet(2);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Restart(1);
  fleet.store(1).down = true;
  fleet.Run(absl::Seconds(5), false);
  EXPECT_FALSE(fleet.controller(1).ready());
  fleet.Run(absl::Seconds(5), true);
  EXPECT_TRUE(fleet.controller(1).ready());
  EXPECT_NE(fleet.controller(1).Find("a", Stage::kTrial), nullptr);
}

// Guards against a restarted daemon that becomes ready although a peer reported
// a newer revision than it has.
TEST(DocumentControllerTest, Ready_HigherRevisionReported_IsFalseUntilReached) {
  Fleet fleet(1);
  const MemberRecord peer{"vm-9", 1, 1, "north", "0", MemberState::kReady, 1};
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Restart(0);
  fleet.controller(0).OnPeerRevision(peer, 2);
  fleet.Run(absl::Seconds(5));
  EXPECT_FALSE(fleet.controller(0).ready());
  fleet.Put(0, "a", Body("a", 2), "op-2");
  EXPECT_TRUE(fleet.controller(0).ready());
}

// Guards the platform's read budget when daemons restart 8,300 times a day.
TEST(DocumentControllerTest, Start_LongLog_ReadsEnvironmentRowsOnce) {
  Fleet fleet(2);
  for (int i = 0; i < 200; ++i) {
    fleet.Put(0, "a", Body("a", i + 1), absl::StrCat("op-", i));
  }
  fleet.Restart(1);
  fleet.Run(absl::Seconds(1), false);
  EXPECT_EQ(fleet.controller(1).revision(), 200);
  EXPECT_EQ(fleet.store(1).lists, 1);
  EXPECT_EQ(fleet.store(1).reads, 2);  // the head and one body
}

// Guards against a poll that reads more than the head when nothing is new.
TEST(DocumentControllerTest, Poll_NothingNew_ReadsHeadOnly) {
  Fleet fleet(1);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Run(absl::Seconds(3));
  fleet.store(0).reads = 0;
  fleet.store(0).lists = 0;
  fleet.Run(absl::Seconds(60));
  EXPECT_GE(fleet.store(0).reads, 27);
  EXPECT_LE(fleet.store(0).reads, 34);
  EXPECT_EQ(fleet.store(0).lists, 0);
}

// Guards against a document that is missed because its log row was deleted.
TEST(DocumentControllerTest, Poll_LogRowDeleted_ReadsEnvironmentRows) {
  Fleet fleet(2);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Run(absl::Seconds(3));
  fleet.SetPartitioned(0, 1, true);
  fleet.store(1).down = true;
  fleet.Put(0, "b", Body("b", 1), "op-2");
  fleet.Put(0, "c", Body("c", 1), "op-3");
  std::string conflict;
  ASSERT_TRUE(fleet.platform.Commit({{}, {{"documents/log/2", std::nullopt}}},
                                    &conflict));
  fleet.store(1).down = false;
  fleet.Run(absl::Seconds(5));
  EXPECT_EQ(fleet.controller(1).revision(), 3);
  EXPECT_NE(fleet.controller(1).Find("b", Stage::kTrial), nullptr);
}

// Guards invariant 8, that a document never reverts, against a peer that pushes
// a lower version with a higher revision.
TEST(DocumentControllerTest, Push_LowerVersion_IsNotApplied) {
  Fleet fleet(1);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  fleet.Put(0, "a", Body("a", 2), "op-2");
  const MemberRecord peer{"vm-9", 1, 1, "north", "0", MemberState::kReady, 1};
  fleet.controller(0).OnPeerMessage(
      peer, DocumentPush{3, 2, {{3, "a", "trial", 1, Body("a", 1)}}});
  EXPECT_EQ(fleet.controller(0).Find("a", Stage::kTrial)->version, 2);
}

// Guards against a document of a newer release that blocks all other documents.
TEST(DocumentControllerTest, Apply_BodyOfNewerRelease_KeepsLastValidVersion) {
  Fleet fleet(1);
  fleet.Put(0, "a", Body("a", 1), "op-1");
  const MemberRecord peer{"vm-9", 1, 1, "north", "0", MemberState::kReady, 1};
  fleet.controller(0).OnPeerMessage(
      peer, DocumentPush{2,
                         1,
                         {{2, "a", "trial", 2,
                           "{\"environment\": \"a\", \"new_field\": 1}"}}});
  fleet.controller(0).OnPeerMessage(
      peer, DocumentPush{3, 2, {{3, "b", "trial", 1, Body("b", 1)}}});
  EXPECT_EQ(fleet.controller(0).Find("a", Stage::kTrial)->version, 1);
  EXPECT_NE(fleet.controller(0).Find("b", Stage::kTrial), nullptr);
  EXPECT_EQ(fleet.controller(0).revision(), 3);
}

// Guards against callbacks of the store that outlive the controller.
TEST(DocumentControllerTest, Destroy_WithRequestsInProgress_IsSafe) {
  FakeClock clock;
  SeededRandom random(1);
  FakePlatform platform;
  FakeStore store(platform);
  RecordingTransport transport;
  {
    DocumentController controller(clock, random, store, transport,
                                  [] { return std::vector<MemberRecord>(); });
    controller.Tick();
    controller.PutTrial("a", Body("a", 1), "op-1",
                        [](const ChangeResult&) { FAIL(); });
  }
  store.Pump();
}

// Random interleavings of operators' changes, faults and restarts.
class DocumentControllerRandomTest : public ::testing::TestWithParam<int> {
 protected:
  static constexpr size_t kDaemons = 4;
  static constexpr int kSteps = 6000;

  struct Operation {
    std::string id;
    std::string environment;
    bool is_put = true;
    std::string body;
    int64_t version = 0;
    int64_t replaces = 0;
    std::set<ChangeOutcome> final_outcomes;
    std::set<int64_t> accepted_versions;
  };

  void Submit(size_t daemon, size_t index) {
    const Operation& operation = operations_[index];
    const auto callback = [this, index](const ChangeResult& result) {
      Operation& it = operations_[index];
      trace_.push_back(absl::StrCat(it.id, " outcome ",
                                    static_cast<int>(result.outcome), " ",
                                    result.error.ToString()));
      if (result.outcome != ChangeOutcome::kUnknown) {
        it.final_outcomes.insert(result.outcome);
      }
      if (result.outcome == ChangeOutcome::kAccepted) {
        it.accepted_versions.insert(result.version);
      }
    };
    if (operation.is_put) {
      fleet_.controller(daemon).PutTrial(operation.environment, operation.body,
                                         operation.id, callback);
    } else {
      fleet_.controller(daemon).Promote(operation.environment,
                                        operation.version, operation.replaces,
                                        operation.id, callback);
    }
  }

  void SubmitNew() {
    Operation operation;
    operation.id = absl::StrCat("op-", operations_.size());
    operation.environment = random_.Below(2) == 0 ? "a" : "b";
    operation.is_put = random_.Below(2) == 0;
    const size_t daemon = random_.Below(kDaemons);
    if (operation.is_put) {
      operation.body =
          Body(operation.environment, static_cast<int>(operations_.size()) + 1);
    } else {
      // The versions that the operator reads from one daemon, which may be
      // outdated.
      const auto trial =
          fleet_.controller(daemon).Find(operation.environment, Stage::kTrial);
      operation.version = trial == nullptr ? 1 : trial->version;
      operation.replaces =
          fleet_.ProductionVersion(daemon, operation.environment);
    }
    operations_.push_back(operation);
    Submit(daemon, operations_.size() - 1);
    // Two daemons get the same request when a client retries at another one.
    if (random_.Below(4) == 0) {
      Submit(random_.Below(kDaemons), operations_.size() - 1);
    }
  }

  void InjectFault() {
    const size_t i = random_.Below(kDaemons);
    FakeStore& store = fleet_.store(i);
    switch (random_.Below(8)) {
      case 0:
        store.down = !store.down;
        break;
      case 1:
        store.lose_responses = 1;
        break;
      case 2:
        store.lose_requests = 1;
        break;
      case 3:
        store.delay_requests = 1;
        break;
      case 4:
        store.DeliverDelayed();
        break;
      case 5:
      case 6:
        fleet_.SetPartitioned(i, random_.Below(kDaemons),
                              random_.Below(2) == 0);
        break;
      default:
        if (random_.Below(4) == 0) {
          store.DeliverDelayed();
          fleet_.Restart(i);
          for (const char* it : {"a", "b"}) {
            highest_versions_[{i, it}] = 0;
          }
        }
    }
  }

  void Step() {
    const uint64_t n = random_.Below(100);
    if (n < 50) {
      fleet_.store(random_.Below(kDaemons)).PumpOne();
    } else if (n < 80) {
      fleet_.DeliverOne();
    } else if (n < 92) {
      fleet_.clock.Advance(absl::Milliseconds(100));
      for (size_t i = 0; i < kDaemons; ++i) {
        fleet_.controller(i).Tick();
      }
    } else if (n < 94) {
      fleet_.Heartbeats();
    } else if (n < 97) {
      InjectFault();
    } else if (operations_.empty() || random_.Below(3) > 0) {
      SubmitNew();
    } else {
      Submit(random_.Below(kDaemons), random_.Below(operations_.size()));
    }
  }

  void CheckVersionsNeverGoDown() {
    for (size_t i = 0; i < kDaemons; ++i) {
      for (const char* it : {"a", "b"}) {
        int64_t& highest = highest_versions_[{i, it}];
        const int64_t version = fleet_.ProductionVersion(i, it);
        ASSERT_GE(version, highest) << "daemon " << i;
        highest = version;
      }
    }
  }

  void HealAndRepeatAll() {
    for (size_t i = 0; i < kDaemons; ++i) {
      fleet_.store(i).DeliverDelayed();
      fleet_.store(i).down = false;
      fleet_.store(i).lose_responses = 0;
      fleet_.store(i).lose_requests = 0;
      fleet_.store(i).delay_requests = 0;
      for (size_t j = 0; j < kDaemons; ++j) {
        fleet_.SetPartitioned(i, j, false);
      }
    }
    fleet_.Run(absl::Seconds(30));
    for (size_t i = 0; i < operations_.size(); ++i) {
      Submit(random_.Below(kDaemons), i);
      fleet_.Run(absl::Milliseconds(100));
    }
    fleet_.Run(absl::Seconds(30));
  }

  // Operations whose change was ever written to an environment row.
  std::set<std::string> EffectiveOperations() const {
    std::set<std::string> effective;
    for (const auto& [key, value] : fleet_.platform.history) {
      if (key.starts_with("environment/")) {
        effective.insert(nlohmann::json::parse(value)["operation"]);
      }
    }
    return effective;
  }

  // The body of an accepted version, found by its log row.
  std::string StoredBody(const std::string& environment,
                         int64_t version) const {
    for (const auto& [key, value] : fleet_.platform.history) {
      const auto row = nlohmann::json::parse(value);
      if (key.starts_with("documents/log/") &&
          row["environment"] == environment && row["version"] == version) {
        const std::string hash = row["body_hash"];
        const auto object = fleet_.platform.objects.find(
            absl::StrCat("environment/", environment, "/", version, "/", hash));
        return object == fleet_.platform.objects.end() ? "" : object->second;
      }
    }
    return {};
  }

  void CheckOutcomes() {
    const std::set<std::string> effective = EffectiveOperations();
    std::map<std::pair<std::string, int64_t>, std::string> winners;
    for (const auto& it : operations_) {
      ASSERT_EQ(it.final_outcomes.size(), 1u) << it.id;
      const bool accepted =
          it.final_outcomes.contains(ChangeOutcome::kAccepted);
      ASSERT_EQ(effective.contains(it.id), accepted) << it.id;
      ASSERT_EQ(it.accepted_versions.size(), accepted ? 1u : 0u) << it.id;
      if (accepted && !it.is_put) {
        const auto [winner, added] =
            winners.emplace(std::pair(it.environment, it.replaces), it.id);
        ASSERT_TRUE(added) << it.id << " and " << winner->second;
      }
      if (accepted && it.is_put) {
        ASSERT_EQ(StoredBody(it.environment, *it.accepted_versions.begin()),
                  it.body);
      }
    }
  }

  void CheckConvergence() {
    const auto head =
        nlohmann::json::parse(fleet_.platform.Get("documents/head").value);
    for (size_t i = 0; i < kDaemons; ++i) {
      ASSERT_EQ(fleet_.controller(i).revision(), head["revision"]);
      ASSERT_TRUE(fleet_.controller(i).ready());
      for (const char* it : {"a", "b"}) {
        const auto row = nlohmann::json::parse(
            fleet_.platform.Get(absl::StrCat("environment/", it)).value);
        ASSERT_EQ(fleet_.ProductionVersion(i, it),
                  row["production"]["version"]);
        const auto trial = fleet_.controller(i).Find(it, Stage::kTrial);
        ASSERT_EQ(trial->version, row["trial"]["version"]);
        ASSERT_EQ(trial->body, StoredBody(it, trial->version));
      }
    }
  }

  std::string LastTrace() const {
    std::string text = absl::StrCat("seed ", GetParam(), "\n");
    for (size_t i = trace_.size() - std::min<size_t>(trace_.size(), 20);
         i < trace_.size(); ++i) {
      absl::StrAppend(&text, trace_[i], "\n");
    }
    return text;
  }

  SeededRandom random_{static_cast<uint64_t>(GetParam())};
  Fleet fleet_{kDaemons, static_cast<uint64_t>(GetParam()) + 1000};
  std::vector<Operation> operations_;
  std::map<std::pair<size_t, std::string>, int64_t> highest_versions_;
  std::vector<std::string> trace_;
};

// Guards invariant 8: an accepted document takes effect everywhere and never
// reverts, a rejected one never takes effect, and one operator wins a race.
TEST_P(DocumentControllerRandomTest, Changes_UnderFaults_KeepInvariants) {
  for (int i = 0; i < kSteps; ++i) {
    Step();
    ASSERT_NO_FATAL_FAILURE(CheckVersionsNeverGoDown()) << LastTrace();
  }
  HealAndRepeatAll();
  ASSERT_NO_FATAL_FAILURE(CheckVersionsNeverGoDown()) << LastTrace();
  ASSERT_NO_FATAL_FAILURE(CheckOutcomes()) << LastTrace();
  ASSERT_NO_FATAL_FAILURE(CheckConvergence()) << LastTrace();
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         DocumentControllerRandomTest,
                         ::testing::Range(1, 31));

}  // namespace
}  // namespace radishrail
