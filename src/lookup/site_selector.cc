#include "lookup/site_selector.h"

#include "core/hash.h"
#include "steering/shift_state.h"

namespace jujube::lookup {

SiteShift::SiteShift(const Deployment& deployment, const ShiftState& shift)
    : m_plan(steering::ToShiftPlan(shift)) {
  std::map<AvailabilityZoneId, RegionId> regions;
  for (const AvailabilityZone& zone : deployment.m_availability_zones)
    regions.emplace(zone.m_name, zone.m_region);
  for (std::size_t i = 0; i < deployment.m_sites.size(); ++i) {
    const RegionId& region = regions[deployment.m_sites[i].m_availability_zone];
    m_region_of_site.push_back(region);
    m_sites_of_region[region].push_back(i);
  }
}

std::size_t SiteShift::SiteFor(std::size_t home,
                               std::string_view prefix) const {
  if (m_plan.m_sources.empty())
    return home;
  const RegionId& region = m_region_of_site[home];
  const RegionId target = steering::RegionForBlock(m_plan, region, prefix);
  const auto sites = m_sites_of_region.find(target);
  if (target == region || sites == m_sites_of_region.end())
    return home;
  return sites->second[Hash64(prefix) % sites->second.size()];
}

}  // namespace jujube::lookup
