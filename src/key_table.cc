#include "key_table.h"

#include "radishrail/job.h"

namespace radishrail::internal {

namespace {

// Covers keys with a timestamp up to 1 s in the future, which their owner
// accepts until the resubmission window after the timestamp has passed.
constexpr absl::Duration kRetentionMargin = absl::Seconds(5);
// Limits the work of one call. At one call per 10 ms, keys are removed 12 times
// as fast as 4,000 jobs/s add them.
constexpr size_t kRemovalsPerCall = 512;

constexpr std::string_view kMintedPrefix = "k1.";

absl::string_view Absl(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

KeyRecord* KeyTable::Find(std::string_view key) const {
  const auto it = records_.find(Absl(key));
  return it == records_.end() ? nullptr : it->second.get();
}

KeyRecord* KeyTable::Add(const std::string& key,
                         const std::string& environment,
                         uint64_t body_hash,
                         int64_t accepted_unix_ms) {
  auto record = std::make_unique<KeyRecord>();
  record->key = key;
  record->environment = EnvironmentNumber(environment);
  record->body_hash = body_hash;
  record->accepted_unix_ms = accepted_unix_ms;
  KeyRecord* result = record.get();
  records_.emplace(Absl(result->key), std::move(record));
  return result;
}

void KeyTable::Remove(const KeyRecord& record) {
  records_.erase(Absl(record.key));
}

// All keys are retained for the same time, so the queue is ordered by expiry.
void KeyTable::Retain(KeyRecord& record, absl::Time now) {
  expiry_queue_.emplace_back(now + kResubmissionWindow + kRetentionMargin,
                             &record);
}

void KeyTable::RemoveExpired(absl::Time now) {
  for (size_t n = 0; n < kRemovalsPerCall && !expiry_queue_.empty() &&
                     expiry_queue_.front().first <= now;
       ++n) {
    Remove(*expiry_queue_.front().second);
    expiry_queue_.pop_front();
  }
}

const std::string& KeyTable::EnvironmentName(const KeyRecord& record) const {
  return environment_names_[record.environment];
}

std::vector<RememberedKey> KeyTable::Export(
    const std::function<bool(std::string_view)>& predicate) const {
  std::vector<RememberedKey> out;
  for (const auto& [key, record] : records_) {
    if (!record->key.starts_with(kMintedPrefix) && predicate(record->key)) {
      out.push_back({record->key, EnvironmentName(*record), record->body_hash,
                     !record->answer_json.empty(), record->accepted_unix_ms,
                     record->answer_json});
    }
  }
  return out;
}

void KeyTable::Import(const std::vector<RememberedKey>& keys, absl::Time now) {
  for (const auto& it : keys) {
    // A minted key is bound to its incarnation and never changes its owner.
    if (it.key.starts_with(kMintedPrefix)) {
      continue;
    }
    KeyRecord* record = Find(it.key);
    if (record == nullptr) {
      record = Add(it.key, it.environment, it.body_hash, it.accepted_unix_ms);
      Retain(*record, now);
    }
    // An answer or a job in progress of this daemon takes precedence.
    if (it.finished && record->job == 0 && record->answer_json.empty()) {
      record->answer_json = it.answer_json;
    }
  }
}

uint32_t KeyTable::EnvironmentNumber(const std::string& name) {
  const auto [it, inserted] = environment_numbers_.emplace(
      name, static_cast<uint32_t>(environment_names_.size()));
  if (inserted) {
    environment_names_.push_back(name);
  }
  return it->second;
}

}  // namespace radishrail::internal
