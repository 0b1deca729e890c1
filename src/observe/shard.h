// Spreads the writers of a metric over cache lines.

#pragma once

#include <cstddef>

namespace jujube::observe {

// Two lines of 64 bytes: the prefetcher of common processors loads pairs.
inline constexpr std::size_t kCacheLineBytes = 128;

// Entry daemons run 2 worker threads by default and few run more than 8;
// further threads share shards.
inline constexpr std::size_t kShards = 8;

// Shard of the current thread, from 0 up to kShards - 1. Threads get shards in
// turn as they first ask.
std::size_t ThreadShard();

}  // namespace jujube::observe
