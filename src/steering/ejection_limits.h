// EjectionLimits: when an instance counts as failing, and for how long it
// rests.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace jujube::steering {

struct EjectionLimits {
  std::uint32_t m_failures_in_row = 5;  // more than one unlucky batch of slots
  std::uint32_t m_failure_permille = 500;           // of the moving average
  std::uint32_t m_min_outcomes = 20;                // before the average counts
  std::chrono::milliseconds m_backoff{5000};        // first one
  std::chrono::milliseconds m_max_backoff{300000};  // after six in a row

  friend auto operator<=>(const EjectionLimits&,
                          const EjectionLimits&) = default;
};

}  // namespace jujube::steering
