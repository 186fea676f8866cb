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

// What a link does with its connections. Bytes that are not passed on stay in
// the kernel's buffers, as behind a partition, and arrive when the link heals.
enum class LinkMode {
  kOpen,
  kDelayed,     // each byte arrives `LinkFault::delay` later
  kSilent,      // neither direction passes
  kForwardCut,  // from the caller to the target nothing passes
  kReturnCut,   // from the target to the caller nothing passes
  kRefused,     // connections are reset, new ones too
  kMaxValue = kRefused,
};

std::string_view LinkModeName(LinkMode mode);

struct LinkFault {
  LinkMode mode = LinkMode::kOpen;
  absl::Duration delay;
};

// Passes TCP connections on to targets on loopback and harms them on request.
// One thread serves all links; the other functions may be called from any.
class LoopbackProxy {
 public:
  LoopbackProxy() = default;
  ~LoopbackProxy() { Stop(); }
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  // Adds a link before `Start`; returns its number, or nullopt.
  std::optional<size_t> AddLink(const std::string& target, Error* error);
  // The address on which the link accepts connections.
  const std::string& address(size_t link) const {
    return links_[link]->address;
  }
  void Start();
  void Stop();
  void SetFault(size_t link, const LinkFault& fault);
  // The link's present connections pass nothing any more and are not closed;
  // new ones work.
  void SilenceConnections(size_t link);

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
    bool ended = false;       // the source has closed its side
    bool end_passed = false;  // the target was told
  };
  struct Connection {
    internal::FileDescriptor caller;
    internal::FileDescriptor target;
    Stream forward;
    Stream back;
    bool silent = false;
    bool broken = false;
  };
  struct Link {
    internal::FileDescriptor listener;
    std::string address;
    std::string target;
    LinkFault fault;  // as asked for
    bool silence_present = false;
    LinkFault present;  // as the thread carries it out
    std::vector<std::unique_ptr<Connection>> connections;
  };

  void Run();
  void TakeFault(Link& link);
  void Serve(Link& link);
  static void Accept(Link& link);
  // True if the direction that `cut` stands for passes bytes.
  static bool Passes(const Link& link,
                     const Connection& connection,
                     LinkMode cut);
  static void Pass(Connection& connection,
                   Stream& stream,
                   int source,
                   int target,
                   absl::Duration delay);
  static void Reset(Connection& connection);

  std::mutex mutex_;  // guards the faults of links
  std::vector<std::unique_ptr<Link>> links_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_TOOLS_SOAK_LOOPBACK_PROXY_H_
