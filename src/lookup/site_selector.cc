#include "lookup/site_selector.h"

#include "core/hash.h"
#include "steering/shift_state.h"

namespace jujube::lookup {

SiteSelector::SiteSelector(const Deployment& deployment,
                           const ShiftState& shift)
    : m_plan(steering::ToShiftPlan(shift)) {
  std::map<AvailabilityZoneId, RegionId> region_by_zone;
  for (const AvailabilityZone& zone : deployment.m_availability_zones)
    region_by_zone.emplace(zone.m_name, zone.m_region);
  for (std::size_t i = 0; i < deployment.m_sites.size(); ++i) {
    const RegionId& region =
        region_by_zone[deployment.m_sites[i].m_availability_zone];
    m_region_of_site.push_back(region);
    m_sites_of_region[region].push_back(i);
  }
}

std::size_t SiteSelector::SelectSite(std::size_t home_site,
                                     std::string_view prefix) const {
  if (m_plan.m_sources.empty())
    return home_site;
  const RegionId& home_region = m_region_of_site[home_site];
  const RegionId target_region =
      steering::RegionForBlock(m_plan, home_region, prefix);
  const auto sites = m_sites_of_region.find(target_region);
  if (target_region == home_region || sites == m_sites_of_region.end())
    return home_site;
  return sites->second[Hash64(prefix) % sites->second.size()];
}

}  // namespace jujube::lookup
