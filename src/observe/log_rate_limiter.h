// Rate limiter of one log event.

#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jujube::observe {

// The burst keeps the lines at the start of a flood. After it, one line every
// 100 ms is enough to see that the flood continues and how large it is.
inline constexpr std::int64_t kLogBurst = 50;
inline constexpr std::int64_t kLogLinesPerSecond = 10;

// Generic cell rate algorithm (GCRA) on atomics, so any thread may call it.
class LogRateLimiter {
 public:
  // Returns the number of lines suppressed since the last line that was
  // allowed, or nullopt if this line is suppressed as well.
  std::optional<std::uint64_t> TryAcquire(MonoTime now);

 private:
  // Theoretical arrival time of GCRA: the whole burst is available from then
  // on.
  std::atomic<std::int64_t> m_next_arrival_ns = 0;
  std::atomic<std::uint64_t> m_suppressed_count = 0;
};

}  // namespace jujube::observe
