#ifndef RADISHRAIL_RANDOM_H_
#define RADISHRAIL_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace radishrail {

// Source of random numbers. Implementations need not be thread-safe.
class Random {
 public:
  virtual ~Random() = default;
  virtual uint64_t Next() = 0;

  // Uniform in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }
  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  // 16 hexadecimal digits.
  std::string HexToken();
};

// Deterministic generator for tests and benchmarks.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

// Random numbers of the operating system; used for keys and incarnations.
class SystemRandom : public Random {
 public:
  uint64_t Next() override;
};

}  // namespace radishrail

#endif  // RADISHRAIL_RANDOM_H_
