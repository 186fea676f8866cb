#ifndef RADISHRAIL_TESTS_SOCKET_TEST_UTIL_H_
#define RADISHRAIL_TESTS_SOCKET_TEST_UTIL_H_

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "radishrail/http_client.h"
#include "socket_address.h"

namespace radishrail {

// Timeout of all waits; reached only if the awaited event does not occur.
inline constexpr absl::Duration kTestWait = absl::Seconds(30);

// A socket on which a test reads and writes raw bytes.
class RawConnection {
 public:
  explicit RawConnection(internal::FileDescriptor fd) : fd_(std::move(fd)) {}

  static RawConnection To(const std::string& address) {
    const auto parsed = internal::ParseSocketAddress(address, nullptr);
    internal::FileDescriptor fd(socket(AF_INET, SOCK_STREAM, 0));
    EXPECT_EQ(connect(fd.get(), parsed->get(), parsed->size), 0);
    return RawConnection(std::move(fd));
  }

  void Write(std::string_view text) { EXPECT_TRUE(TryWrite(text)); }
  // False if the peer has closed the connection.
  bool TryWrite(std::string_view text) {
    return send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }

  // Reads until `end` was received or the peer closed the connection.
  std::string ReadUntil(std::string_view end) {
    std::string text;
    while (text.find(end) == std::string::npos && ReadSome(text)) {
    }
    return text;
  }

  std::string ReadUntilClosed() {
    std::string text;
    while (ReadSome(text)) {
    }
    return text;
  }

  void Close() { fd_.Reset(); }

 private:
  bool ReadSome(std::string& text) {
    pollfd it = {fd_.get(), POLLIN, 0};
    if (poll(&it, 1, static_cast<int>(absl::ToInt64Milliseconds(kTestWait))) !=
        1) {
      ADD_FAILURE() << "nothing received before the test timeout";
      return false;
    }
    std::array<char, 4096> buf = {};
    const ssize_t n = recv(fd_.get(), buf.data(), buf.size(), 0);
    if (n <= 0) {
      return false;
    }
    text.append(buf.data(), static_cast<size_t>(n));
    return true;
  }

  internal::FileDescriptor fd_;
};

// A listening socket whose connections a test serves with raw bytes.
class RawListener {
 public:
  RawListener() {
    auto fd = internal::ListenOn("127.0.0.1:0", &port_, nullptr);
    EXPECT_TRUE(fd.has_value());
    fd_ = *std::move(fd);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  RawConnection Accept() {
    pollfd it = {fd_.get(), POLLIN, 0};
    EXPECT_EQ(
        poll(&it, 1, static_cast<int>(absl::ToInt64Milliseconds(kTestWait))),
        1);
    return RawConnection(
        internal::FileDescriptor(accept(fd_.get(), nullptr, nullptr)));
  }

  // Accepts a pending connection; nullopt if there is none.
  std::optional<RawConnection> TryAccept() {
    internal::FileDescriptor fd(accept(fd_.get(), nullptr, nullptr));
    return fd.valid() ? std::optional(RawConnection(std::move(fd)))
                      : std::nullopt;
  }

  // From now on connection attempts hang, since the queue of connections that
  // were not accepted is full.
  void LetConnectionsHang() {
    EXPECT_EQ(listen(fd_.get(), 0), 0);
    queued_.push_back(RawConnection::To(address()));
  }

  void Close() { fd_.Reset(); }

 private:
  uint16_t port_ = 0;
  internal::FileDescriptor fd_;
  std::vector<RawConnection> queued_;
};

// An event that a test waits for. It uses the standard library's
// synchronization, since ThreadSanitizer does not see that of the packaged
// Abseil, which is not instrumented.
class Event {
 public:
  void Notify() {
    const std::lock_guard lock(mutex_);
    happened_ = true;
    changed_.notify_all();
  }
  bool HasHappened() {
    const std::lock_guard lock(mutex_);
    return happened_;
  }
  void Wait() {
    std::unique_lock lock(mutex_);
    ASSERT_TRUE(changed_.wait_for(lock, absl::ToChronoSeconds(kTestWait),
                                  [&] { return happened_; }));
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool happened_ = false;
};

// Result of one asynchronous call, awaited by the test.
template <typename T>
class Pending {
 public:
  // A second call fails the test: callbacks run exactly once.
  void Set(T value) {
    ASSERT_FALSE(ready());
    state_->value = std::move(value);
    state_->ready.Notify();
  }
  bool ready() const { return state_->ready.HasHappened(); }
  T Wait() {
    state_->ready.Wait();
    return std::move(state_->value);
  }

 private:
  struct State {
    Event ready;
    T value = {};
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

inline Pending<HttpResult> SendAsync(HttpClient& client,
                                     HttpClientRequest request) {
  Pending<HttpResult> pending;
  client.Send(std::move(request), [pending](HttpResult result) mutable {
    pending.Set(std::move(result));
  });
  return pending;
}

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_SOCKET_TEST_UTIL_H_
