#ifndef RADISHRAIL_SRC_KEY_TABLE_H_
#define RADISHRAIL_SRC_KEY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "radishrail/peer_message.h"

namespace radishrail::internal {

// A remembered key. Kept small, since a daemon remembers millions.
struct KeyRecord {
  std::string key;
  std::string answer_json;  // empty: in progress, or unknown after an import
  uint64_t body_hash = 0;
  uint64_t job = 0;  // 0: not in progress here
  int64_t accepted_unix_ms = 0;
  uint32_t environment = 0;
};

// Remembered keys and their expiry. Addresses of records are stable.
class KeyTable {
 public:
  // Null if the key is not remembered.
  KeyRecord* Find(std::string_view key) const;
  // The key must not be in the table.
  KeyRecord* Add(const std::string& key,
                 const std::string& environment,
                 uint64_t body_hash,
                 int64_t accepted_unix_ms);
  // Removes a record that was not passed to `Retain`.
  void Remove(const KeyRecord& record);
  // Keeps a record until the resubmission window after `now` has passed. Call
  // it once per record, with times that do not decrease.
  void Retain(KeyRecord& record, absl::Time now);
  // Removes expired records, a bounded number per call.
  void RemoveExpired(absl::Time now);

  const std::string& EnvironmentName(const KeyRecord& record) const;

  // The range-bound keys for which `predicate` is true, for a handover.
  std::vector<RememberedKey> Export(
      const std::function<bool(std::string_view)>& predicate) const;
  void Import(const std::vector<RememberedKey>& keys, absl::Time now);

  size_t size() const { return records_.size(); }

 private:
  uint32_t EnvironmentNumber(const std::string& name);

  // The map keys are views of `KeyRecord::key`.
  absl::flat_hash_map<absl::string_view, std::unique_ptr<KeyRecord>> records_;
  std::deque<std::pair<absl::Time, KeyRecord*>> expiry_queue_;
  absl::flat_hash_map<std::string, uint32_t> environment_numbers_;
  std::vector<std::string> environment_names_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_KEY_TABLE_H_
