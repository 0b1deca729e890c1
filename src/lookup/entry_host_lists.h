// EntryHostLists: for each availability zone, the entry hosts that its callers
// are told to use (ChooseEntryHosts). Immutable; built when the entry hosts or
// the zones change, so that a look-up only finds a list.

#pragma once

#include <compare>
#include <map>
#include <vector>

#include "gen/types.h"
#include "lookup/entry_host_selection.h"

namespace jujube::lookup {

class EntryHostLists {
 public:
  EntryHostLists() = default;
  EntryHostLists(const std::vector<EntryHostCandidate>& candidates,
                 const RegionByZone& region_by_zone,
                 const SpillPlan& spill = {});

  // The hosts for callers of the zone; for an unknown zone those of the region,
  // and for an unknown region those of all regions. May be empty.
  const std::vector<Endpoint>& Find(const AvailabilityZoneId& zone,
                                    const RegionId& region) const;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  friend auto operator<=>(const EntryHostLists&,
                          const EntryHostLists&) = default;

 private:
  std::map<AvailabilityZoneId, std::vector<Endpoint>> m_by_zone;
  std::map<RegionId, std::vector<Endpoint>> m_by_region;
  std::vector<Endpoint> m_default;
};

}  // namespace jujube::lookup
