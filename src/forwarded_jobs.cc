#include "forwarded_jobs.h"

#include <utility>

namespace radishrail::internal {

uint64_t ForwardedJobs::Add(Job job) {
  const uint64_t number = next_++;
  numbers_[job.address][job.key] = number;
  jobs_[number] = std::move(job);
  return number;
}

std::optional<ForwardedJobs::Job> ForwardedJobs::Take(uint64_t number) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) {
    return std::nullopt;
  }
  Job job = std::move(it->second);
  jobs_.erase(it);
  const auto entry = numbers_.find(job.address);
  if (entry != numbers_.end()) {
    const auto latest = entry->second.find(job.key);
    if (latest != entry->second.end() && latest->second == number) {
      entry->second.erase(latest);
    }
    if (entry->second.empty()) {
      numbers_.erase(entry);
    }
  }
  return job;
}

std::vector<std::string> ForwardedJobs::TakeAll(const std::string& address) {
  std::vector<std::string> keys;
  const auto entry = numbers_.find(address);
  if (entry == numbers_.end()) {
    return keys;
  }
  for (const auto& [key, number] : entry->second) {
    keys.push_back(key);
    jobs_.erase(number);
  }
  numbers_.erase(entry);
  return keys;
}

uint64_t ForwardedJobs::RequestOf(const std::string& address,
                                  const std::string& key) const {
  const auto entry = numbers_.find(address);
  if (entry == numbers_.end()) {
    return 0;
  }
  const auto it = entry->second.find(key);
  return it == entry->second.end() ? 0 : jobs_.at(it->second).request;
}

std::vector<std::string> ForwardedJobs::KeysBefore(const std::string& address,
                                                   uint64_t request) const {
  std::vector<std::string> keys;
  const auto entry = numbers_.find(address);
  if (entry == numbers_.end()) {
    return keys;
  }
  for (const auto& [key, number] : entry->second) {
    if (jobs_.at(number).request < request) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<std::string> ForwardedJobs::Entries() const {
  std::vector<std::string> addresses;
  addresses.reserve(numbers_.size());
  for (const auto& [address, numbers] : numbers_) {
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace radishrail::internal
