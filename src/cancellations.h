#ifndef RADISHRAIL_SRC_CANCELLATIONS_H_
#define RADISHRAIL_SRC_CANCELLATIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/peer_message.h"
#include "radishrail/peer_transport.h"
#include "radishrail/pool_node.h"

namespace radishrail::internal {

// Who may have jobs of a pool at work, as far as this daemon knows.
struct PoolHolder {
  enum class Kind {
    kUnknown,  // no owner, or another daemon may still act as owner
    kSelf,
    kPeer,
  };
  Kind kind = Kind::kUnknown;
  std::string address;  // of the peer
};

// Spreads the cancellations that this daemon took from clients to the owners of
// all pools. A key that an owner has not confirmed is sent again until every
// pool has confirmed it, so that it reaches owners that are met later.
// Single-threaded.
class Cancellations {
 public:
  using Callback = std::function<void(CancelResult)>;

  // Request numbers begin at `first_request`.
  Cancellations(const Clock& clock,
                uint64_t first_request,
                PeerTransport& transport,
                std::function<std::vector<std::string>()> pools,
                std::function<PoolHolder(const std::string& pool)> holder)
      : clock_(clock),
        transport_(transport),
        pools_(std::move(pools)),
        holder_(std::move(holder)),
        next_request_(first_request) {}

  // `known`: the job was in progress at this daemon, which has cancelled it.
  void Cancel(const std::string& key, bool known, Callback callback);
  void OnReply(const PoolJobCancelReply& reply);
  void Tick();
  // Number of keys that some pool has not confirmed.
  size_t open() const { return open_.size(); }

 private:
  struct Waiter {
    Callback callback;
    absl::Time deadline;
  };
  struct Open {
    absl::Time requested;             // first, by a client
    std::set<std::string> confirmed;  // pools
    bool known = false;
    absl::Time next_send = absl::InfinitePast();
    std::vector<Waiter> waiters;
  };
  struct Sent {
    std::string key;
    std::set<std::string> pools;  // that the receiver owned
    absl::Time time;
  };

  void Send(const std::string& key, Open& open);
  bool IsConfirmed(const Open& open) const;
  // Answers the clients of a key that all pools have confirmed, and forgets it.
  void FinishIfConfirmed(const std::string& key);
  static void ExpireWaiters(Open& open, absl::Time now);
  void RemoveExpired(absl::Time now);

  const Clock& clock_;
  PeerTransport& transport_;
  // The names of all pools; one that has no owner stands for unknown ones.
  const std::function<std::vector<std::string>()> pools_;
  const std::function<PoolHolder(const std::string& pool)> holder_;
  std::map<std::string, Open> open_;  // by key
  std::map<uint64_t, Sent> sent_;     // by request
  uint64_t next_request_;
  absl::Time next_check_ = absl::InfinitePast();
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_CANCELLATIONS_H_
