// Sharding of metrics by thread, to avoid cache-line contention.

#pragma once

#include <cstddef>

namespace jujube::observe {

// Two cache lines of 64 bytes, because common processors prefetch them in
// pairs.
inline constexpr std::size_t kShardAlignmentBytes = 128;

// Entry daemons run 2 worker threads by default and few run more than 8;
// further threads share shards.
inline constexpr std::size_t kShardCount = 8;

// Shard of the current thread, from 0 up to kShardCount - 1. Shards are
// assigned round-robin, at the first call of each thread.
std::size_t ThreadShardIndex();

}  // namespace jujube::observe
