// ObjectWeight: the part of a service's objects that an instance gets.
//
// Load pattern: callers ask for objects that an instance serves several times
// faster if it handled them lately, their number rises and falls by region, and
// bytes between zones and regions cost money. Each place that keeps an object
// apart makes a copy of it, and a copy that is asked for rarely is forgotten:
//
// - The instances of a region share its objects, so that there is about one
//   copy a region. Part of them goes to other regions, which evens out peaks.
// - A zone keeps its objects to itself as far as its pool of slots is large.
//
// The weights depend on places and announced slots only, never on load, so the
// part of each region stays the same while the load changes.

#pragma once

#include <cstdint>

#include "steering/tier.h"

namespace jujube::steering {

// Relative to an instance in another region, which has the weight 1.
// `zone_slots`: announced slots of the service in the zone of the entry host.
double ObjectWeight(Tier tier, std::uint32_t zone_slots);

}  // namespace jujube::steering
