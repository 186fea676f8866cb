#ifndef RADISHRAIL_RUN_FATE_H_
#define RADISHRAIL_RUN_FATE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrail {

// What became of an upstream while it executed a run.
enum class UpstreamFate : uint32_t {
  // Did not answer until the lease of the run had expired, or crashed without
  // having confirmed that it executes the run.
  kUncertain,
  kCrashed,  // restarted, or another instance is at its address
  kAlive,    // answers again and has not restarted
  kMaxValue = kAlive,
};

// Name in log lines.
std::string_view UpstreamFateName(UpstreamFate fate);

struct RunFate {
  std::string job_key;
  std::string task_id;
  std::string vm;
  int64_t incarnation = 0;  // of the upstream that was given the run
  UpstreamFate fate = UpstreamFate::kUncertain;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RUN_FATE_H_
