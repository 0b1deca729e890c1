#include "tenants/home_regions.h"

#include <algorithm>
#include <iterator>

namespace jujube::tenants {

std::optional<std::vector<RegionId>> CommonRegions(
    const std::vector<RegionId>& of_route,
    const std::vector<RegionId>& of_tenant) {
  if (of_route.empty())
    return of_tenant;
  if (of_tenant.empty())
    return of_route;
  std::vector<RegionId> common;
  std::copy_if(of_route.begin(), of_route.end(), std::back_inserter(common),
               [&](const RegionId& region) {
                 return std::find(of_tenant.begin(), of_tenant.end(), region) !=
                        of_tenant.end();
               });
  if (common.empty())
    return std::nullopt;
  return common;
}

}  // namespace jujube::tenants
