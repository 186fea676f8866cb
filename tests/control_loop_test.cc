#include "radishrail/control_loop.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "socket_test_util.h"

namespace radishrail {
namespace {

class ControlLoopTest : public testing::Test {
 protected:
  ControlLoop loop_;
};

// Guards against tasks that are lost or reordered when the queue is swapped
// while other threads post.
TEST_F(ControlLoopTest, Post_FromSeveralThreads_RunsAllInOrderOfEachThread) {
  constexpr int kThreads = 4;
  constexpr int kPosts = 20000;
  std::vector<std::vector<int>> seen(kThreads);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (int n = 0; n < kPosts; ++n) {
        loop_.Post(
            [&seen, i, n] { seen[static_cast<size_t>(i)].push_back(n); });
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  loop_.Stop();
  for (const auto& it : seen) {
    ASSERT_EQ(it.size(), static_cast<size_t>(kPosts));
    EXPECT_TRUE(std::is_sorted(it.begin(), it.end()));
  }
}

// Guards against a wake-up that is lost between two posts to a sleeping loop.
TEST_F(ControlLoopTest, Post_AfterEachTaskRan_WakesTheLoop) {
  for (int i = 0; i < 2000; ++i) {
    Event done;
    loop_.Post([&] { done.Notify(); });
    done.Wait();
  }
}

// Guards against timers that run in the order of posting. Each due time is
// bounded by the times before and after the call, so that the check also holds
// when the thread is delayed between the calls.
TEST_F(ControlLoopTest, PostDelayed_SeveralDelays_RunsInOrderOfDueTime) {
  using TimePoint = std::chrono::steady_clock::time_point;
  const std::vector<int> delays_ms = {30, 20, 10};
  std::vector<TimePoint> earliest(delays_ms.size());
  std::vector<TimePoint> latest(delays_ms.size());
  std::vector<size_t> order;
  Event done;
  loop_.Post([&] {
    for (size_t i = 0; i < delays_ms.size(); ++i) {
      const std::chrono::milliseconds delay(delays_ms[i]);
      earliest[i] = std::chrono::steady_clock::now() + delay;
      loop_.PostDelayed(absl::FromChrono(delay), [&, i] {
        order.push_back(i);
        if (order.size() == delays_ms.size()) {
          done.Notify();
        }
      });
      latest[i] = std::chrono::steady_clock::now() + delay;
    }
  });
  done.Wait();
  for (size_t i = 1; i < order.size(); ++i) {
    EXPECT_LE(earliest[order[i - 1]],
              latest[order[i]] + std::chrono::nanoseconds(1));
  }
}

TEST_F(ControlLoopTest, PostDelayed_OneDelay_RunsNotBeforeIt) {
  const auto start = std::chrono::steady_clock::now();
  Event done;
  loop_.PostDelayed(absl::Milliseconds(20), [&] { done.Notify(); });
  done.Wait();
  EXPECT_GE(std::chrono::steady_clock::now() - start,
            std::chrono::milliseconds(20));
}

// Guards against a loop that sleeps until a late timer and misses an earlier
// one that is added while it sleeps.
TEST_F(ControlLoopTest, PostDelayed_WhileWaitingForLaterTimer_RunsEarlierOne) {
  loop_.PostDelayed(absl::Hours(1), [] {});
  Event done;
  loop_.PostDelayed(absl::Milliseconds(1), [&] { done.Notify(); });
  done.Wait();
}

TEST_F(ControlLoopTest, PostDelayed_InfiniteDelay_DoesNotRunAtOnce) {
  std::atomic<bool> ran = false;
  loop_.PostDelayed(absl::InfiniteDuration(), [&] { ran = true; });
  Event done;
  loop_.PostDelayed(absl::Milliseconds(5), [&] { done.Notify(); });
  done.Wait();
  EXPECT_FALSE(ran);
}

TEST_F(ControlLoopTest, Stop_WithQueuedTasks_RunsThemAndDropsTimers) {
  int ran = 0;
  bool timer_ran = false;
  loop_.PostDelayed(absl::Hours(1), [&] { timer_ran = true; });
  for (int i = 0; i < 100; ++i) {
    loop_.Post([&] { ++ran; });
  }
  loop_.Stop();
  EXPECT_EQ(ran, 100);
  EXPECT_FALSE(timer_ran);
}

// Guards against callers that wait forever for a resource that a dropped task
// holds.
TEST_F(ControlLoopTest, Post_AfterStop_ReleasesTheTask) {
  loop_.Stop();
  auto held = std::make_shared<int>(1);
  const std::weak_ptr<int> watch = held;
  loop_.Post([held = std::move(held)] {});
  EXPECT_TRUE(watch.expired());
}

TEST_F(ControlLoopTest, IsCurrent_OnLoopAndElsewhere_IsTrueOnLoopOnly) {
  EXPECT_FALSE(loop_.IsCurrent());
  bool on_loop = false;
  loop_.Post([&] { on_loop = loop_.IsCurrent(); });
  loop_.Stop();
  EXPECT_TRUE(on_loop);
}

}  // namespace
}  // namespace radishrail
