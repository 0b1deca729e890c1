// ShiftLimits: thresholds for shifting callers between regions.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace jujube::steering {

// Thresholds are in permille of the usable slots. Callers leave a region above
// m_overload_permille, move to regions that stay below m_fill_permille, and
// return home only if home stays below m_return_permille. The gaps between the
// thresholds prevent a step from triggering the opposite one.
struct ShiftLimits {
  std::uint32_t m_overload_permille = 850;
  std::uint32_t m_fill_permille = 750;
  std::uint32_t m_return_permille = 650;

  // Age, from the start of its interval, above which a measurement is ignored.
  std::chrono::milliseconds m_max_measurement_age{15000};

  // Number of look-up lifetimes for which the home region must have had
  // headroom before callers return, so that a flapping region does not move
  // them back and forth.
  std::uint32_t m_calm_lookup_lifetimes = 3;

  friend auto operator<=>(const ShiftLimits&, const ShiftLimits&) = default;
};

}  // namespace jujube::steering
