#ifndef RADISHRAIL_SRC_RUN_TIME_MODEL_H_
#define RADISHRAIL_SRC_RUN_TIME_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace radishrail::internal {

// Learned run times per kind of task, normalised to mean upstream speed. Kinds
// of different environments are learned separately.
class RunTimeModel {
 public:
  // Finds or adds a kind. Once the limit of kinds is reached, returns 0 for
  // those that were not added before.
  uint32_t KindNumber(const std::string& environment, const std::string& kind);
  // Zero until enough tasks of the kind have completed.
  absl::Duration Expected(uint32_t kind) const;
  // Adds a completed run; `speed` is that of the upstream that ran the task.
  void Learn(uint32_t kind, absl::Duration run, double speed);

 private:
  // Mean of logarithms, on which a run many times longer than the others has
  // little influence.
  struct Kind {
    double log_seconds = 0;
    int samples = 0;
  };

  absl::flat_hash_map<std::string, uint32_t> numbers_;
  std::vector<Kind> kinds_{1};  // number 0 is never learned
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_RUN_TIME_MODEL_H_
