#include "lookup/entry_host_lists.h"

namespace jujube::lookup {

EntryHostLists::EntryHostLists(
    const std::vector<EntryHostCandidate>& candidates,
    const RegionByZone& region_by_zone,
    const SpillPlan& spill)
    : m_default(ChooseEntryHosts(candidates, region_by_zone, {}, {})) {
  for (const auto& [zone, region] : region_by_zone) {
    m_by_zone[zone] = ChooseEntryHosts(candidates, region_by_zone, zone, region,
                                       spill.ShareOf(zone));
    if (!m_by_region.contains(region)) {
      m_by_region[region] =
          ChooseEntryHosts(candidates, region_by_zone, {}, region);
    }
  }
}

const std::vector<Endpoint>& EntryHostLists::Find(
    const AvailabilityZoneId& zone,
    const RegionId& region) const {
  const auto of_zone = m_by_zone.find(zone);
  if (of_zone != m_by_zone.end())
    return of_zone->second;
  const auto of_region = m_by_region.find(region);
  return of_region != m_by_region.end() ? of_region->second : m_default;
}

}  // namespace jujube::lookup
