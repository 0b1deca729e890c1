#include "observe/histogram.h"

#include <algorithm>

namespace jujube::observe {

std::size_t ThreadShard() {
  static std::atomic<std::size_t> next = 0;
  thread_local const std::size_t shard =
      next.fetch_add(1, std::memory_order_relaxed) % kShards;
  return shard;
}

void Histogram::Observe(double seconds) {
  const double* bound = std::lower_bound(kHistogramBounds.begin(),
                                         kHistogramBounds.end(), seconds);
  const auto bucket =
      static_cast<std::size_t>(bound - kHistogramBounds.begin());
  Shard& shard = m_shards[ThreadShard()];
  shard.m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
  shard.m_sum_ns.fetch_add(static_cast<std::int64_t>(seconds * 1e9),
                           std::memory_order_relaxed);
}

Histogram::Totals Histogram::Collect() const {
  Totals totals;
  std::int64_t sum_ns = 0;
  for (const Shard& shard : m_shards) {
    for (std::size_t i = 0; i < kHistogramBuckets; ++i)
      totals.m_counts[i] += shard.m_counts[i].load(std::memory_order_relaxed);
    sum_ns += shard.m_sum_ns.load(std::memory_order_relaxed);
  }
  // The count is the sum of the buckets, so that a collection in the middle of
  // Observe still yields a consistent histogram.
  for (const std::uint64_t count : totals.m_counts)
    totals.m_count += count;
  totals.m_sum_seconds = static_cast<double>(sum_ns) / 1e9;
  return totals;
}

}  // namespace jujube::observe
