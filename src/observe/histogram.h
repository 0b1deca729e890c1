// Histogram of durations with fixed buckets.

#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "observe/shard.h"

namespace jujube::observe {

// Inclusive upper bounds in seconds, as in Prometheus. They separate the
// workloads' delays of 1 ms, 12 ms and 35 ms and end at the default deadline;
// one more bucket counts longer durations.
inline constexpr std::array<double, 16> kHistogramBoundsSeconds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.015, 0.025, 0.05,
    0.075,  0.1,   0.25,   0.5,   1.0,  2.5,   5.0,   10.0};

inline constexpr std::size_t kHistogramBuckets =
    kHistogramBoundsSeconds.size() + 1;

class Histogram {
 public:
  struct Snapshot {
    std::array<std::uint64_t, kHistogramBuckets>
        m_bucket_counts{};  // not cumulative
    std::uint64_t m_count = 0;
    double m_sum_seconds = 0;
  };

  // Adds one duration.
  void Observe(double seconds);
  Snapshot Collect() const;

 private:
  // The sum is an integer of nanoseconds, because an atomic addition of
  // integers is one instruction, whereas one of doubles is a compare-and-swap
  // loop.
  struct alignas(kShardAlignmentBytes) Shard {
    std::array<std::atomic<std::uint64_t>, kHistogramBuckets> m_bucket_counts{};
    std::atomic<std::int64_t> m_sum_ns = 0;
  };

  std::array<Shard, kShardCount> m_shards;
};

}  // namespace jujube::observe
