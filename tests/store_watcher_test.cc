#include "radishrail/store_watcher.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fake_store.h"
#include "fakes.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "pool_world.h"

namespace radishrail {
namespace {

using testing::ElementsAre;
using testing::Pair;

// Keeps the calls of a watcher unanswered until the test answers them.
class ManualStore : public FakeStore {
 public:
  using FakeStore::FakeStore;

  struct Call {
    std::optional<int64_t> after;  // of `Watch`; empty: `Snapshot`
    WatchCallback callback;
  };

  void Snapshot(const std::string& /*prefix*/,
                WatchCallback callback) override {
    calls.push_back({std::nullopt, std::move(callback)});
  }
  void Watch(const std::string& /*prefix*/,
             int64_t version,
             absl::Duration /*wait*/,
             WatchCallback callback) override {
    calls.push_back({version, std::move(callback)});
  }

  std::vector<Call> calls;
};

class StoreWatcherTest : public testing::Test {
 protected:
  void SetUp() override {
    watcher_.FollowChanges(kInterval);
    watcher_.Start();
  }

  // Answers the latest call with one row.
  void Answer(int64_t version, bool truncated = false) {
    const auto callback = store_.calls.back().callback;
    callback(Store::Changes{{{"p/a", "value", version}}, version, truncated},
             {});
  }

  void Fail(ErrorCode code) {
    const auto callback = store_.calls.back().callback;
    callback(std::nullopt, {code, Step::kPlatformRead, "platform", ""});
  }

  static constexpr absl::Duration kInterval = absl::Milliseconds(400);

  FakeClock clock_;
  EventLoop loop_{clock_};
  FakePlatform platform_;
  ManualStore store_{platform_};
  SeededRandom random_{1};
  // Version of the first row and `is_snapshot` of each answer.
  std::vector<std::pair<int64_t, bool>> answers_;
  StoreWatcher watcher_{"p/",
                        absl::Seconds(1),
                        clock_,
                        store_,
                        loop_,
                        random_,
                        [this](const std::vector<Row>& rows, bool is_snapshot) {
                          answers_.emplace_back(rows.front().version,
                                                is_snapshot);
                        }};
};

// Guards against a watcher that falls behind, since it takes a full answer for
// all changes.
TEST_F(StoreWatcherTest, Changes_AnswerIsFull_AreReadOnAtOnce) {
  Answer(1);
  loop_.RunFor(kInterval);
  Answer(2, /*truncated=*/true);
  ASSERT_EQ(store_.calls.size(), 3u);
  EXPECT_EQ(store_.calls.back().after, 2);
}

// Guards against rows that go back to what they were.
TEST_F(StoreWatcherTest, Snapshot_OlderThanLastAnswer_IsIgnoredAndRepeated) {
  Answer(7);
  watcher_.Refresh();
  Answer(5);
  EXPECT_THAT(answers_, ElementsAre(Pair(7, true)));
  loop_.RunFor(absl::Seconds(1));
  ASSERT_EQ(store_.calls.size(), 3u);
  EXPECT_EQ(store_.calls.back().after, 7)
      << "changes since the newest answer hold all that is missing";
}

// Guards against a call that is lost in a silent store and repeated only after
// a further delay.
TEST_F(StoreWatcherTest, Call_TimedOut_IsRepeatedAtOnce) {
  Answer(1);
  loop_.RunFor(kInterval);
  loop_.RunFor(absl::Seconds(2));
  Fail(ErrorCode::kDeadlineExceeded);
  loop_.RunFor(absl::ZeroDuration());
  EXPECT_EQ(store_.calls.size(), 3u);
}

// Guards against a store that is kept busy by calls that it refuses.
TEST_F(StoreWatcherTest, Call_RefusedAtOnce_IsRepeatedLater) {
  Fail(ErrorCode::kPlatformUnavailable);
  loop_.RunFor(absl::Milliseconds(40));
  EXPECT_EQ(store_.calls.size(), 1u);
  loop_.RunFor(absl::Milliseconds(200));
  EXPECT_EQ(store_.calls.size(), 2u);
}

// Guards against an answer from the time of a pause that counts as new.
TEST_F(StoreWatcherTest, Refresh_CallIsPending_ItsAnswerIsIgnored) {
  const auto pending = store_.calls.back().callback;
  watcher_.Refresh();
  pending(Store::Changes{{{"p/a", "value", 1}}, 1, false}, {});
  EXPECT_TRUE(answers_.empty());
  Answer(2);
  EXPECT_THAT(answers_, ElementsAre(Pair(2, true)));
}

// Guards against changes that are missed for good since the store no longer has
// them.
TEST_F(StoreWatcherTest, Changes_HistoryDiscarded_TakesSnapshot) {
  Answer(1);
  loop_.RunFor(kInterval);
  Fail(ErrorCode::kNotFound);
  loop_.RunFor(absl::Seconds(1));
  ASSERT_EQ(store_.calls.size(), 3u);
  EXPECT_FALSE(store_.calls.back().after.has_value());
}

}  // namespace
}  // namespace radishrail
