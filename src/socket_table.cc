#include "socket_table.h"

#include <sys/socket.h>

namespace radishrail::internal {

void SocketTable::Add(int socket, const std::string& host) {
  sockets_[socket] = {host};
  sockets_of_host_[host].insert(socket);
}

void SocketTable::Remove(int socket) {
  const auto it = sockets_.find(socket);
  if (it == sockets_.end()) {
    return;
  }
  const auto host = sockets_of_host_.find(it->second.host);
  host->second.erase(socket);
  if (host->second.empty()) {
    sockets_of_host_.erase(host);
  }
  sockets_.erase(it);
}

void SocketTable::SetInUse(int socket, bool in_use) {
  const auto it = sockets_.find(socket);
  if (it != sockets_.end()) {
    it->second.in_use = in_use;
  }
}

size_t SocketTable::ShutDownIdle(const std::string& host) {
  const auto it = sockets_of_host_.find(host);
  if (it == sockets_of_host_.end()) {
    return 0;
  }
  size_t n = 0;
  for (const int socket : it->second) {
    if (!sockets_.at(socket).in_use) {
      shutdown(socket, SHUT_RDWR);
      ++n;
    }
  }
  return n;
}

}  // namespace radishrail::internal
