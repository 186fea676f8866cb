#include "radishrail/random.h"

#include <sys/random.h>

#include <cstdlib>

#include "absl/strings/str_cat.h"

namespace radishrail {

std::string Random::HexToken() {
  return absl::StrCat(absl::Hex(Next(), absl::kZeroPad16));
}

uint64_t SystemRandom::Next() {
  uint64_t n = 0;
  // Requests of up to 256 bytes are not interrupted once the kernel's generator
  // is seeded, so a short read means a broken system.
  if (getrandom(&n, sizeof(n), 0) != static_cast<ssize_t>(sizeof(n))) {
    std::abort();
  }
  return n;
}

}  // namespace radishrail
