#ifndef RADISHRAIL_SRC_KEY_PULL_H_
#define RADISHRAIL_SRC_KEY_PULL_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace radishrail::internal {

// The wait of a new owner for the cancelled keys that its peers remember. The
// pools that it has acquired accept no job until it is over.
class KeyPull {
 public:
  // Peers answer within milliseconds. One that does not is gone or cut off, and
  // is asked again when it is heard.
  static constexpr absl::Duration kMaxWait = absl::Milliseconds(400);

  // Adds a pool and starts the wait anew.
  void Begin(const std::string& pool, absl::Time now);
  // The peer was asked, and its answer is waited for.
  void Await(const std::string& address) { awaited_.insert(address); }
  // The peer has answered, or its connection broke.
  void Remove(const std::string& address) { awaited_.erase(address); }
  bool IsPulling(const std::string& pool) const {
    return pools_.contains(pool);
  }
  bool active() const { return !pools_.empty(); }
  // The pools whose wait is over. `peers_known`: false while there may be peers
  // that have not been asked.
  std::vector<std::string> TakeFinished(bool peers_known, absl::Time now);

 private:
  std::set<std::string> pools_;
  std::set<std::string> awaited_;  // addresses
  absl::Time deadline_ = absl::InfinitePast();
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_KEY_PULL_H_
