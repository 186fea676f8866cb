#ifndef RADISHRAIL_TESTS_ENVIRONMENT_NUMBER_H_
#define RADISHRAIL_TESTS_ENVIRONMENT_NUMBER_H_

#include <cstdint>
#include <cstdlib>

#include "absl/strings/numbers.h"

namespace radishrail {

// Reads a number from an environment variable, such as the seed range of a
// random test, which can be extended in a manual run.
inline uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* value = std::getenv(name);
  uint64_t n = 0;
  return value != nullptr && absl::SimpleAtoi(value, &n) ? n : fallback;
}

}  // namespace radishrail

#endif  // RADISHRAIL_TESTS_ENVIRONMENT_NUMBER_H_
