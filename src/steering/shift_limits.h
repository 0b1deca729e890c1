// ShiftLimits: thresholds of shifts between regions.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace jujube::steering {

// Use is in permille of the usable slots. The gaps between the thresholds keep
// a step from causing the opposite one: a region is left at m_high, filled to
// m_fill, and taken back only where home ends below m_return.
struct ShiftLimits {
  std::uint32_t m_high = 850;
  std::uint32_t m_fill = 750;
  std::uint32_t m_return = 650;

  // A measurement that began longer ago says nothing.
  std::chrono::milliseconds m_max_age{15000};

  // Home must have had room for this many look-up lifetimes before callers
  // return, so that a flapping region does not draw them back and forth.
  std::uint32_t m_calm_lifetimes = 3;

  friend auto operator<=>(const ShiftLimits&, const ShiftLimits&) = default;
};

}  // namespace jujube::steering
