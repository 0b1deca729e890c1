#include "observe/histogram.h"

#include <algorithm>

namespace jujube::observe {

std::size_t ThreadShardIndex() {
  static std::atomic<std::size_t> next = 0;
  thread_local const std::size_t shard =
      next.fetch_add(1, std::memory_order_relaxed) % kShardCount;
  return shard;
}

void Histogram::Observe(double seconds) {
  const double* bound = std::lower_bound(
      kHistogramBoundsSeconds.begin(), kHistogramBoundsSeconds.end(), seconds);
  const auto bucket =
      static_cast<std::size_t>(bound - kHistogramBoundsSeconds.begin());
  Shard& shard = m_shards[ThreadShardIndex()];
  shard.m_bucket_counts[bucket].fetch_add(1, std::memory_order_relaxed);
  shard.m_sum_ns.fetch_add(static_cast<std::int64_t>(seconds * 1e9),
                           std::memory_order_relaxed);
}

Histogram::Snapshot Histogram::Collect() const {
  Snapshot snapshot;
  std::int64_t sum_ns = 0;
  for (const Shard& shard : m_shards) {
    for (std::size_t i = 0; i < kHistogramBuckets; ++i)
      snapshot.m_bucket_counts[i] +=
          shard.m_bucket_counts[i].load(std::memory_order_relaxed);
    sum_ns += shard.m_sum_ns.load(std::memory_order_relaxed);
  }
  // The total is the sum of the buckets, so that it matches them even if
  // Observe runs at the same time.
  for (const std::uint64_t count : snapshot.m_bucket_counts)
    snapshot.m_count += count;
  snapshot.m_sum_seconds = static_cast<double>(sum_ns) / 1e9;
  return snapshot;
}

}  // namespace jujube::observe
