#include "socket_table.h"

#include <sys/socket.h>

#include <array>
#include <string>

#include "gtest/gtest.h"
#include "socket_address.h"

namespace radishrail::internal {
namespace {

class SocketTableTest : public testing::Test {
 protected:
  // Both ends of a connection.
  struct Connection {
    Connection() {
      std::array<int, 2> fds = {};
      EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data()),
                0);
      own = FileDescriptor(fds[0]);
      peer = FileDescriptor(fds[1]);
    }
    bool IsShutDown() const {
      char byte = 0;
      return recv(peer.get(), &byte, 1, 0) == 0;
    }
    FileDescriptor own;
    FileDescriptor peer;
  };

  SocketTable table_;
};

// Guards against requests that are broken off, and against connections to other
// hosts that are lost.
TEST_F(SocketTableTest, ShutDownIdle_OthersAreOpen_EndsIdleSocketsOfTheHost) {
  const Connection idle;
  const Connection busy;
  const Connection other;
  table_.Add(idle.own.get(), "a:1");
  table_.Add(busy.own.get(), "a:1");
  table_.Add(other.own.get(), "b:1");
  table_.SetInUse(idle.own.get(), false);
  table_.SetInUse(other.own.get(), false);
  EXPECT_EQ(table_.ShutDownIdle("a:1"), 1u);
  EXPECT_TRUE(idle.IsShutDown());
  EXPECT_FALSE(busy.IsShutDown());
  EXPECT_FALSE(other.IsShutDown());
}

// Guards against the shutdown of a descriptor that was closed and is used for
// something else by now.
TEST_F(SocketTableTest, ShutDownIdle_SocketWasRemoved_SparesIt) {
  const Connection closed;
  table_.Add(closed.own.get(), "a:1");
  table_.SetInUse(closed.own.get(), false);
  table_.Remove(closed.own.get());
  EXPECT_EQ(table_.ShutDownIdle("a:1"), 0u);
  EXPECT_FALSE(closed.IsShutDown());
}

// Guards against an exception when the number of a socket that was closed
// without a notice was used for a connection to another host.
TEST_F(SocketTableTest, ShutDownIdle_NumberWasReused_SparesIt) {
  const Connection reused;
  table_.Add(reused.own.get(), "a:1");
  table_.Add(reused.own.get(), "b:1");
  table_.SetInUse(reused.own.get(), false);
  EXPECT_EQ(table_.ShutDownIdle("a:1"), 0u);
  EXPECT_FALSE(reused.IsShutDown());
  table_.Remove(reused.own.get());
  EXPECT_EQ(table_.ShutDownIdle("a:1"), 0u);
  EXPECT_EQ(table_.ShutDownIdle("b:1"), 0u);
}

}  // namespace
}  // namespace radishrail::internal
