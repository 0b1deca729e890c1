#include "steering/object_weight.h"

namespace jujube::steering {
namespace {

// Keeps about two thirds of the objects in one of three equal regions.
constexpr double kRegionWeight = 4;

// Zone size, in slots, at which an instance of the zone weighs twice as much as
// the other instances of the region. With 150 requests in progress, the random
// variation is a twelfth.
constexpr double kZoneDoublingSlots = 150;

}  // namespace

double ObjectWeight(Tier tier, std::uint32_t zone_slots) {
  const double relative_size = zone_slots / kZoneDoublingSlots;
  switch (tier) {
    case Tier::kZone:
      return kRegionWeight * (1 + relative_size * relative_size);
    case Tier::kRegion:
      return kRegionWeight;
    case Tier::kRemote:
      break;
  }
  return 1;
}

}  // namespace jujube::steering
