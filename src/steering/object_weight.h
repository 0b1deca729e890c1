// ObjectWeight: weight of an instance in the distribution of a service's
// objects.
//
// Load pattern: callers request objects that an instance serves several times
// faster if it handled them recently, the number of callers varies by region,
// and traffic between zones and regions costs money. Each group of instances
// that handles an object holds its own cached copy, and rarely requested copies
// are evicted. Therefore:
//
// - The instances of a region share its objects, so there is about one copy per
//   region. Some of the objects go to other regions, which balances peaks.
// - The more slots a zone has, the more of its objects it keeps to itself.
//
// The weights depend on locations and announced slots only, never on load, so
// the share of each region stays constant while the load changes.

#pragma once

#include <cstdint>

#include "steering/tier.h"

namespace jujube::steering {

// Relative to an instance in another region, which has a weight of 1.
// `zone_slots` are the announced slots of the service in the zone of the entry
// host.
double ObjectWeight(Tier tier, std::uint32_t zone_slots);

}  // namespace jujube::steering
