// ReturnDelay: how long a refused caller is asked to wait (Retry-After).

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace jujube::overload {

struct ReturnInputs {
  std::chrono::nanoseconds m_remaining{0};      // until the deadline
  std::chrono::nanoseconds m_expected_room{0};  // 0: unknown
  // Time within which a request has to come back to be answered in time; not
  // positive if it can't be.
  std::chrono::nanoseconds m_until_latest_start{0};
  std::uint32_t m_ranks_above = 0;  // higher ranks that ask for room too
  std::uint64_t m_draw = 0;         // uniformly distributed over all values

  friend auto operator<=>(const ReturnInputs&, const ReturnInputs&) = default;
};

// At most a third of the remaining time, since callers follow no longer delay.
std::chrono::milliseconds ReturnDelay(const ReturnInputs& inputs);

}  // namespace jujube::overload
