// FastRandom: splitmix64 generator, a uniform random bit generator.

#pragma once

#include <cstdint>
#include <limits>

namespace jujube::steering {

// Not cryptographically secure. The same seed gives the same sequence on every
// host.
class FastRandom {
 public:
  using result_type = std::uint64_t;

  explicit FastRandom(std::uint64_t seed) : m_state(seed) {}

  static constexpr result_type min() { return 0; }  // NOLINT
  static constexpr result_type max() {              // NOLINT
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()() {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t x = m_state;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }

  // Uniform in [0, bound); `bound` is at least 1. The bias is below bound /
  // 2^32.
  std::uint32_t UniformBelow(std::uint32_t bound) {
    return static_cast<std::uint32_t>(((*this)() >> 32) * bound >> 32);
  }

 private:
  std::uint64_t m_state;
};

}  // namespace jujube::steering
