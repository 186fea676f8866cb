#ifndef RADISHRAIL_CANCELLED_KEYS_H_
#define RADISHRAIL_CANCELLED_KEYS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "radishrail/clock.h"
#include "radishrail/peer_message.h"

namespace radishrail {

// Keys of jobs that clients cancelled, each with the age of its cancellation,
// so that what a peer tells is not kept longer than by the peer itself.
class CancelledKeys {
 public:
  // Longer than clients repeat a job and daemons offer it.
  static constexpr absl::Duration kRetention = absl::Seconds(60);
  // About 10 MB; the oldest ones are dropped.
  static constexpr size_t kMaxKeys = 50000;

  explicit CancelledKeys(const Clock& clock) : clock_(clock) {}

  // Does not prolong the retention of a key that it contains.
  void Add(const std::string& key, absl::Duration age = absl::ZeroDuration());
  bool Contains(const std::string& key) const {
    return expiries_.contains(key);
  }
  void RemoveExpired();
  size_t size() const { return expiries_.size(); }

  // All keys, for a peer.
  std::vector<CancelledKey> Encode() const;
  void AddFromPeer(const std::vector<CancelledKey>& keys);

 private:
  void RemoveFirst();

  const Clock& clock_;
  absl::flat_hash_map<std::string, absl::Time> expiries_;
  std::multimap<absl::Time, std::string> by_expiry_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_CANCELLED_KEYS_H_
