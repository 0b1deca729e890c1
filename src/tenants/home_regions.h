// Regions that may serve a request whose route and tenant both may limit them.

#pragma once

#include <optional>
#include <vector>

#include "gen/types.h"

namespace jujube::tenants {

// An empty list allows all regions. Returns nullopt if the lists have no region
// in common, so that none may serve the request.
std::optional<std::vector<RegionId>> CommonRegions(
    const std::vector<RegionId>& of_route,
    const std::vector<RegionId>& of_tenant);

}  // namespace jujube::tenants
