// BasicAtomicAverage: lock-free exponential moving average for several threads.

#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

namespace jujube::steering {

// Each sample has a weight of 1 / InverseWeight, so with 8 the average follows
// a change within about 20 samples. Samples must be between 0 and 2^50.
template <std::int64_t InverseWeight>
class BasicAtomicAverage {
 public:
  void Add(std::int64_t sample) {
    const std::int64_t scaled = sample * kScale;
    std::int64_t old = m_scaled.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
      next = old == kEmpty ? scaled : old + (scaled - old) / InverseWeight;
    } while (
        !m_scaled.compare_exchange_weak(old, next, std::memory_order_relaxed));
  }

  // Empty before the first sample.
  std::optional<std::int64_t> Value() const {
    const std::int64_t scaled = m_scaled.load(std::memory_order_relaxed);
    if (scaled == kEmpty)
      return std::nullopt;
    return scaled / kScale;
  }

  void Reset() { m_scaled.store(kEmpty, std::memory_order_relaxed); }

 private:
  static constexpr std::int64_t kEmpty = -1;
  static constexpr std::int64_t kScale = 256;  // keeps small samples exact

  std::atomic<std::int64_t> m_scaled = kEmpty;
};

using AtomicAverage = BasicAtomicAverage<8>;

}  // namespace jujube::steering
