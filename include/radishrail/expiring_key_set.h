#ifndef RADISHRAIL_EXPIRING_KEY_SET_H_
#define RADISHRAIL_EXPIRING_KEY_SET_H_

#include <cstddef>
#include <deque>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "radishrail/clock.h"

namespace radishrail {

// Keys that are forgotten after a fixed time, or earlier, oldest first, if
// there are too many.
class ExpiringKeySet {
 public:
  ExpiringKeySet(const Clock& clock, absl::Duration retention, size_t max_keys);

  // Does not prolong the retention of a key that it contains.
  void Add(const std::string& key);
  bool Contains(const std::string& key) const;
  void RemoveExpired();
  size_t size() const { return keys_.size(); }

 private:
  struct Entry {
    absl::Time expires;
    std::string key;
  };

  void RemoveOldest();

  const Clock& clock_;
  const absl::Duration retention_;
  const size_t max_keys_;
  std::deque<Entry> entries_;  // oldest first
  absl::flat_hash_set<std::string> keys_;
};

}  // namespace radishrail

#endif  // RADISHRAIL_EXPIRING_KEY_SET_H_
