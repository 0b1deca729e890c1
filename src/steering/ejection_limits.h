// EjectionLimits: thresholds and backoff of outlier ejection.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace jujube::steering {

struct EjectionLimits {
  // Tolerates one batch of concurrent failures.
  std::uint32_t m_consecutive_failures = 5;
  std::uint32_t m_failure_permille = 500;  // threshold of the moving average
  std::uint32_t m_min_outcomes = 20;       // before the average is used
  std::chrono::milliseconds m_initial_backoff{5000};
  std::chrono::milliseconds m_max_backoff{300000};  // after six ejections

  friend auto operator<=>(const EjectionLimits&,
                          const EjectionLimits&) = default;
};

}  // namespace jujube::steering
