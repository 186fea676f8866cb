#include "socket_table.h"

#include <sys/socket.h>

namespace radishrail::internal {

void SocketTable::Add(int socket, const std::string& host) {
  sockets_[socket] = {host};
}

void SocketTable::Remove(int socket) {
  sockets_.erase(socket);
}

void SocketTable::SetInUse(int socket, bool in_use) {
  const auto it = sockets_.find(socket);
  if (it != sockets_.end()) {
    it->second.in_use = in_use;
  }
}

size_t SocketTable::ShutDownIdle(const std::string& host) {
  size_t n = 0;
  for (const auto& [socket, entry] : sockets_) {
    if (entry.host == host && !entry.in_use) {
      shutdown(socket, SHUT_RDWR);
      ++n;
    }
  }
  return n;
}

}  // namespace radishrail::internal
