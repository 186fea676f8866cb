#ifndef RADISHRAIL_SRC_SOCKET_TABLE_H_
#define RADISHRAIL_SRC_SOCKET_TABLE_H_

#include <cstddef>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace radishrail::internal {

// The sockets of a client's connections and their hosts. Does not own them. One
// map only, so that a number that was used again has one host.
class SocketTable {
 public:
  // Adds a connected socket. A former entry of its number is of a socket that
  // was closed.
  void Add(int socket, const std::string& host);
  void Remove(int socket);
  // Whether a request uses the socket.
  void SetInUse(int socket, bool in_use);
  // Shuts down the host's sockets that no request uses, so that none is sent on
  // them. Returns their number.
  size_t ShutDownIdle(const std::string& host);

 private:
  struct Entry {
    std::string host;
    bool in_use = true;  // a socket is opened for a request
  };

  absl::flat_hash_map<int, Entry> sockets_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_SOCKET_TABLE_H_
