// Rate bound of one log event.

#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jujube::observe {

// A flood shows its start; after that, one line each 100 ms is enough to see
// that it goes on and how large it is.
inline constexpr std::int64_t kLogBurst = 50;
inline constexpr std::int64_t kLogLinesPerSecond = 10;

// Generic cell rate algorithm on one atomic, so any thread may call it.
class LogBudget {
 public:
  // Takes a line from the budget. Returns how many lines were refused since
  // the last one that was granted, or nothing if this one is refused.
  std::optional<std::uint64_t> Take(MonoTime now);

 private:
  std::atomic<std::int64_t> m_next_ns = 0;  // time at which the budget is full
  std::atomic<std::uint64_t> m_refused = 0;
};

}  // namespace jujube::observe
