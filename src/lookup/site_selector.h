// SiteSelector: chooses the site whose host lists a caller block uses. During a
// traffic shift between regions that may be a site of another region.
//
//   const SiteSelector selector(deployment, shift);
//   selector.SelectSite(home_site, "192.0.2.0/24");

#pragma once

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "gen/deployment.h"
#include "gen/shift.h"
#include "steering/shift_plan.h"

namespace jujube::lookup {

class SiteSelector {
 public:
  SiteSelector(const Deployment& deployment, const ShiftState& shift);

  // Returns the home site, or a site of the region to which the shift moves the
  // block. Sites are positions in Deployment::m_sites.
  std::size_t SelectSite(std::size_t home_site, std::string_view prefix) const;

 private:
  steering::ShiftPlan m_plan;
  std::vector<RegionId> m_region_of_site;
  std::map<RegionId, std::vector<std::size_t>> m_sites_of_region;
};

}  // namespace jujube::lookup
