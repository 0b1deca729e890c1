// ShiftInputs: measurements from which a shift is computed.

#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "gen/types.h"
#include "steering/region_measurement.h"

namespace jujube::steering {

// Requests in progress of the callers of a region, in whichever region they
// run.
struct SourceDemand {
  RegionId m_source;
  std::uint32_t m_in_progress = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive
  friend auto operator<=>(const SourceDemand&, const SourceDemand&) = default;
};

struct ShiftInputs {
  UnixMillis m_now{0};  // clock of the host that computes the plan
  std::vector<RegionMeasurement> m_regions;
  std::vector<SourceDemand> m_demand;
  // Drained regions, and regions whose registered entry hosts are all lost.
  std::vector<RegionId> m_out;

  friend auto operator<=>(const ShiftInputs&, const ShiftInputs&) = default;
};

}  // namespace jujube::steering
