#include "steering/object_weight.h"

namespace jujube::steering {
namespace {

// Keeps about two thirds of the objects in one of three equal regions.
constexpr double kRegionWeight = 4;

// Slots of a zone whose instances weigh twice as much as the others of the
// region. With 150 requests in progress their random variation is a twelfth.
constexpr double kDoublingSlots = 150;

}  // namespace

double ObjectWeight(Tier tier, std::uint32_t zone_slots) {
  const double pool = zone_slots / kDoublingSlots;
  switch (tier) {
    case Tier::kZone:
      return kRegionWeight * (1 + pool * pool);
    case Tier::kRegion:
      return kRegionWeight;
    case Tier::kRemote:
      break;
  }
  return 1;
}

}  // namespace jujube::steering
