// RegionMeasurement: load of a region, as exchanged between entry hosts.

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::steering {

struct RegionMeasurement {
  RegionId m_region;
  UnixMillis m_from{0};             // start of the measured interval
  std::uint32_t m_in_progress = 0;  // average over the interval
  std::uint32_t m_usable = 0;       // usable slots of the region
  std::uint32_t m_refused = 0;      // refusals for lack of slots

  // modernize-use-nullptr reports a false positive on a defaulted operator.
  friend auto operator<=>(const RegionMeasurement&,
                          const RegionMeasurement&) = default;  // NOLINT
};

}  // namespace jujube::steering
