#ifndef RADISHRAIL_RUN_FATE_H_
#define RADISHRAIL_RUN_FATE_H_

#include <cstdint>
#include <string>

namespace radishrail {

// What became of an upstream while it executed a run.
enum class UpstreamFate : uint32_t {
  kSilent,   // did not answer until the lease of the run had expired
  kCrashed,  // restarted, or another instance is at its address
  kAlive,    // answers again and has not restarted
  kMaxValue = kAlive,
};

struct RunFate {
  std::string job_key;
  std::string task_id;
  std::string vm;
  UpstreamFate fate = UpstreamFate::kSilent;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RUN_FATE_H_
