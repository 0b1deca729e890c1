// Monotonic counter.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "observe/shard.h"

namespace jujube::observe {

// Sharded by thread, so that worker threads do not contend for a cache line.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    m_shards[ThreadShardIndex()].m_value.fetch_add(amount,
                                                   std::memory_order_relaxed);
  }

  std::uint64_t Value() const {
    std::uint64_t sum = 0;
    for (const Shard& shard : m_shards)
      sum += shard.m_value.load(std::memory_order_relaxed);
    return sum;
  }

 private:
  struct alignas(kShardAlignmentBytes) Shard {
    std::atomic<std::uint64_t> m_value = 0;
  };

  std::array<Shard, kShardCount> m_shards;
};

}  // namespace jujube::observe
