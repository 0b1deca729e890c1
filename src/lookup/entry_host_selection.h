// ChooseEntryHosts: selects the entry hosts that are returned to a caller which
// picks one of them at random.
//
//   ChooseEntryHosts(ready_hosts, region_by_zone, {"zone-a"}, {"region-1"});
//
// The result holds the entry hosts of the caller's availability zone, so that a
// request leaves neither the zone nor the region before an upstream is chosen.
// If the zone has fewer than two, it holds the hosts of the region, and if the
// region has fewer than two, all hosts: the caller then has another host when
// one fails. At most the first 64 in the order of `candidates` are returned.
//
// With a spill, hosts of other zones are added, so that the caller picks one of
// them with the probability of the share: those of the region first, and only
// hosts that have room.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "gen/types.h"
#include "lookup/spill_plan.h"

namespace jujube::lookup {

struct EntryHostCandidate {
  AvailabilityZoneId m_zone;
  Endpoint m_caller_listener;         // where it accepts callers' requests
  std::uint32_t m_load_permille = 0;  // as EntryPresence

  // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const EntryHostCandidate&,
                          const EntryHostCandidate&) = default;
};

using RegionByZone = std::map<AvailabilityZoneId, RegionId>;

// `candidates` are the live hosts that accept requests. `fallback_region` is
// the caller's region if `region_by_zone` does not contain its zone.
std::vector<Endpoint> ChooseEntryHosts(
    const std::vector<EntryHostCandidate>& candidates,
    const RegionByZone& region_by_zone,
    const AvailabilityZoneId& caller_zone,
    const RegionId& fallback_region,
    std::uint32_t spill_permille = 0);

// Mean load of the hosts of each zone.
ZoneLoads LoadsByZone(const std::vector<EntryHostCandidate>& candidates);

}  // namespace jujube::lookup
