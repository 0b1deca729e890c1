// RegionHeadroom: load and free capacity of the regions during a step of a
// shift.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gen/types.h"
#include "steering/shift_inputs.h"
#include "steering/shift_limits.h"
#include "steering/shift_plan.h"

namespace jujube::steering {

// Loads are in thousandths of a request in progress, so that one permille of
// the callers of a source is an integer.
class RegionHeadroom {
 public:
  RegionHeadroom(const ShiftPlan& plan,
                 const ShiftInputs& inputs,
                 const ShiftLimits& limits,
                 UnixMillis settled_at);

  bool IsUnavailable(const RegionId& region) const;

  // True if there is a valid measurement: recent, not from the future, and
  // started after the last step took effect.
  bool HasMeasurement(const RegionId& region) const;

  // Load in permille of the usable slots. Precondition: HasMeasurement.
  std::uint32_t UtilizationOf(const RegionId& region) const;

  // Number of caller slots of the source that the region can receive without
  // exceeding a utilization of `max_utilization_permille`.
  std::uint32_t HeadroomFor(const RegionId& source,
                            const RegionId& region,
                            std::uint32_t max_utilization_permille) const;

  // Adds the load of caller slots that move to the region. The load of the
  // region that they leave is not reduced until it is measured again.
  void AddLoad(const RegionId& source,
               const RegionId& region,
               std::uint32_t slots);

 private:
  struct Load {
    std::uint64_t m_load = 0;    // thousandths of a request
    std::uint64_t m_usable = 0;  // thousandths of a slot
  };

  std::uint64_t LoadPerSlot(const RegionId& source) const;

  std::vector<RegionId> m_unavailable_regions;
  std::map<RegionId, Load> m_loads;
  std::map<RegionId, std::uint64_t> m_demand;
};

}  // namespace jujube::steering
