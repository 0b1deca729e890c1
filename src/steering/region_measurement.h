// RegionMeasurement: load of a region, as the entry hosts exchange it.

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::steering {

struct RegionMeasurement {
  RegionId m_region;
  UnixMillis m_from{0};             // start of the interval that was measured
  std::uint32_t m_in_progress = 0;  // average over the interval
  std::uint32_t m_usable = 0;       // slots that may be used there
  std::uint32_t m_refused = 0;      // requests refused for lack of slots

  // modernize-use-nullptr raises a false alarm on a default.
  friend auto operator<=>(const RegionMeasurement&,
                          const RegionMeasurement&) = default;  // NOLINT
};

}  // namespace jujube::steering
