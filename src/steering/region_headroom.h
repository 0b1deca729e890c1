// RegionRoom: use of the regions while a step of a shift is computed.

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
// the callers of a source is a whole number.
class RegionRoom {
 public:
  RegionRoom(const ShiftPlan& plan,
             const ShiftInputs& inputs,
             const ShiftLimits& limits,
             UnixMillis settled_at);

  bool IsOut(const RegionId& region) const;

  // Whether a measurement counts: recent, not from the future, and begun after
  // the last step had its effect.
  bool IsKnown(const RegionId& region) const;

  // Permille of the usable slots. Precondition: IsKnown.
  std::uint32_t UseOf(const RegionId& region) const;

  // Slots of the source that fit into the region below `use_permille`.
  std::uint32_t RoomFor(const RegionId& source,
                        const RegionId& region,
                        std::uint32_t use_permille) const;

  // Accounts for slots of the source that move. The place that they leave
  // counts as taken until it was measured.
  void Add(const RegionId& source, const RegionId& region, std::uint32_t slots);

 private:
  struct Load {
    std::uint64_t m_load = 0;    // thousandths of a request
    std::uint64_t m_usable = 0;  // thousandths of a slot
  };

  std::uint64_t LoadOfSlot(const RegionId& source) const;

  std::vector<RegionId> m_out;
  std::map<RegionId, Load> m_known;
  std::map<RegionId, std::uint64_t> m_demand;
};

}  // namespace jujube::steering
