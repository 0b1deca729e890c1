// SiteShift: the site whose lists a block of callers gets while a shift between
// regions is under way.

#pragma once

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "gen/deployment.h"
#include "gen/shift.h"
#include "steering/shift_plan.h"

namespace jujube::lookup {

class SiteShift {
 public:
  SiteShift(const Deployment& deployment, const ShiftState& shift);

  // The home site itself, or a site of the region to which the block is
  // steered. Sites are positions in Deployment::m_sites.
  std::size_t SiteFor(std::size_t home, std::string_view prefix) const;

 private:
  steering::ShiftPlan m_plan;
  std::vector<RegionId> m_region_of_site;
  std::map<RegionId, std::vector<std::size_t>> m_sites_of_region;
};

}  // namespace jujube::lookup
