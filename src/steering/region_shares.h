// PlanRegionShares: the regions that the objects of one region's callers are
// spread over.
//
// Load pattern: a third of the demand starts in a region with a tenth of the
// slots. A spill that follows the load is late each time, so the part that has
// to run elsewhere does so from the first request on.
//
// The shares depend on slots and entry hosts only, never on load, so they stay
// constant while the load changes. The number of entry hosts in a region stands
// for the demand that starts there.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace jujube::steering {

struct RegionCapacity {
  std::uint32_t m_slots = 0;        // of the service, in the region
  std::uint32_t m_entry_hosts = 0;  // in the region

  friend auto operator<=>(const RegionCapacity&,
                          const RegionCapacity&) = default;
};

// Share of each region in the objects of the callers of region `own`; the sum
// is 1, or 0 without slots. The region keeps as much as its slots can take at
// the average utilization, and the rest goes to regions that have slots beyond
// their own demand, in proportion to these. Without entry hosts anywhere, each
// region counts as having the same demand.
std::vector<double> PlanRegionShares(std::span<const RegionCapacity> regions,
                                     std::size_t own);

}  // namespace jujube::steering
