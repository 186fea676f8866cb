#ifndef RADISHRAIL_JOB_KEY_H_
#define RADISHRAIL_JOB_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/error.h"

namespace radishrail {

inline constexpr size_t kMaxKeyBytes = 128;
inline constexpr uint32_t kRangesPerFailureDomain = 64;

enum class KeyForm {
  kMinted,   // bound to one incarnation of one vm
  kStamped,  // chosen by the caller, with a timestamp
  kPlain,    // chosen by the caller
};

// A parsed job key.
struct JobKey {
  std::string text;
  KeyForm form = KeyForm::kPlain;
  std::string failure_domain;  // resolved, never empty
  std::string vm;              // kMinted only
  uint64_t incarnation = 0;    // kMinted only
  // kStamped: wall-clock time of the caller. kMinted: time of minting on the
  // monotonic clock of the minting incarnation.
  absl::Time stamp;
  uint32_t range = 0;  // kStamped and kPlain only
};

// Parses a key. A key that names no failure domain is hashed over
// `failure_domains`, which must be the same list on all daemons.
std::optional<JobKey> ParseJobKey(
    std::string_view text,
    const std::vector<std::string>& failure_domains,
    Error* error);

// Key range of a range-bound key; depends on the text only.
uint32_t KeyRange(std::string_view text);

// Builds "k1.<failure_domain>.<vm>.<incarnation>.<minted ms>-<random>".
// `minted` is a time of the monotonic clock. Without it, a key that is
// submitted again after the job table forgot it would be accepted twice.
std::string MintJobKey(std::string_view failure_domain,
                       std::string_view vm,
                       uint64_t incarnation,
                       absl::Time minted,
                       std::string_view random);

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_KEY_H_
