#ifndef RADISHRAIL_SRC_FORWARDED_JOBS_H_
#define RADISHRAIL_SRC_FORWARDED_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace radishrail::internal {

// The jobs that entry daemons have forwarded to this daemon and that it has not
// replied to. Of several requests of one entry daemon for a key, the last one
// counts.
class ForwardedJobs {
 public:
  struct Job {
    std::string address;   // of the entry daemon
    uint64_t request = 0;  // the entry daemon's number
    std::string key;
  };

  // Returns a number for `Take`.
  uint64_t Add(Job job);
  // Removes a job that is replied to; nullopt if it was removed before.
  std::optional<Job> Take(uint64_t number);
  // Removes the jobs of an entry daemon and returns their keys.
  std::vector<std::string> TakeAll(const std::string& address);

  // Request of the entry daemon for a key; zero if there is none.
  uint64_t RequestOf(const std::string& address, const std::string& key) const;
  // Keys of the entry daemon's requests with lower numbers.
  std::vector<std::string> KeysBefore(const std::string& address,
                                      uint64_t request) const;
  // Addresses of the entry daemons that have jobs here.
  std::vector<std::string> Entries() const;

 private:
  absl::flat_hash_map<uint64_t, Job> jobs_;
  // Numbers of the jobs, by address and key.
  std::map<std::string, std::map<std::string, uint64_t>> numbers_;
  uint64_t next_ = 1;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_FORWARDED_JOBS_H_
