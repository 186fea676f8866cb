#ifndef RADISHRAIL_TOOLS_SOAK_LOOPBACK_PROXY_H_
#define RADISHRAIL_TOOLS_SOAK_LOOPBACK_PROXY_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"
#include "socket_address.h"

namespace radishrail {

// Fault of a link. Bytes that are not forwarded stay in the kernel's socket
// buffers, as during a network partition, and arrive when the fault ends.
enum class LinkMode {
  kOpen,
  kDelayed,     // every byte is delayed by `LinkFault::delay`
  kBlackhole,   // nothing is forwarded in either direction
  kForwardCut,  // nothing is forwarded from caller to target
  kReturnCut,   // nothing is forwarded from target to caller
  kRefused,     // open and new connections are reset
  kMaxValue = kRefused,
};

std::string_view LinkModeName(LinkMode mode);

struct LinkFault {
  LinkMode mode = LinkMode::kOpen;
  absl::Duration delay;
};

// TCP proxy on loopback that injects network faults on request. One thread
// serves all links. `SetFault` and `BlackholeOpenConnections` may be called on
// any thread.
class LoopbackProxy {
 public:
  LoopbackProxy() = default;
  ~LoopbackProxy() { Stop(); }
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  // Adds a link; to be called before `Start`. Returns the index of the link, or
  // nullopt with an error. `from_peers`: the callers are daemons, which name
  // their own link's address in the first bytes that they send.
  std::optional<size_t> AddLink(const std::string& target,
                                Error* error,
                                bool from_peers = false);
  // Returns the address on which the link accepts connections.
  const std::string& address(size_t link) const {
    return links_[link]->address;
  }
  void Start();
  void Stop();
  void SetFault(size_t link, const LinkFault& fault);
  // Stops forwarding on the currently open connections of the link for good,
  // without closing them; connections opened later work.
  void BlackholeOpenConnections(size_t link);
  // Puts the target of the link into a network partition, or takes it out.
  // Nothing is forwarded between a caller and a target that are not in the same
  // partitions; callers that are not daemons are in none. `partition` < 64.
  void SetPartition(size_t link, int partition, bool member);
  // Resets the callers' side of open connections. The targets notice nothing
  // before their partition ends.
  void ResetCallers(size_t link);

 private:
  struct Chunk {
    std::string bytes;
    size_t offset = 0;
    absl::Time due;
  };
  // One direction of a connection.
  struct Stream {
    std::deque<Chunk> chunks;
    size_t bytes = 0;
    bool end_received = false;   // the source has closed its sending side
    bool end_forwarded = false;  // the receiver's side was shut down
  };
  struct Link;
  struct Connection {
    internal::FileDescriptor caller;
    internal::FileDescriptor target;
    Stream to_target;
    Stream to_caller;
    bool blackholed = false;  // by `BlackholeOpenConnections`
    bool reset = false;  // both ends get a reset when the sockets are closed
    bool caller_reset = false;          // by `ResetCallers`
    const Link* caller_link = nullptr;  // of the daemon that is the caller
  };
  struct Link {
    internal::FileDescriptor listener;
    std::string address;
    std::string target;
    LinkFault requested_fault;  // set by `SetFault`
    bool blackhole_open_connections = false;
    bool reset_callers = false;
    bool from_peers = false;
    uint64_t requested_partitions = 0;  // bit set, by `SetPartition`
    uint64_t partitions = 0;            // copy used by the proxy's thread
    LinkFault applied_fault;            // copy used by the proxy's thread
    std::vector<std::unique_ptr<Connection>> connections;
  };

  void Run();
  void ApplyRequestedFault(Link& link);
  void ServeLink(Link& link);
  static void Accept(Link& link);
  void IdentifyCaller(Connection& connection) const;
  // Returns true if bytes are forwarded in the direction that the mode `cut`
  // blocks.
  static bool IsDirectionOpen(const Link& link,
                              const Connection& connection,
                              LinkMode cut);
  static void ForwardBytes(Connection& connection,
                           Stream& stream,
                           int source,
                           int target,
                           absl::Duration delay);
  static void ResetOnClose(int fd);
  static void Reset(Connection& connection);

  std::mutex mutex_;  // guards the requested faults of links
  std::vector<std::unique_ptr<Link>> links_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_LOOPBACK_PROXY_H_
