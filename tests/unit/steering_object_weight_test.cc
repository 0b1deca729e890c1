#include <map>
#include <string>

#include <gtest/gtest.h>

#include "core/hash.h"
#include "steering/affinity_policy.h"
#include "steering/object_weight.h"
#include "steering/selector.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

constexpr int kObjects = 2000;

// Share of the objects that each zone gets from callers in luz-a, with
// `instances` instances of `slots` slots in each zone.
std::map<std::string, double> ShareByZone(int instances, std::uint16_t slots) {
  std::vector<membership::Member> members;
  for (const std::string zone : {"luz-a", "luz-b", "min-a", "vis-a"}) {
    for (int i = 0; i < instances; ++i) {
      members.push_back(SampleMember(zone + "-" + std::to_string(i), zone));
      members.back().m_announcement.m_slots = slots;
    }
  }
  CounterTable counters;
  const UpstreamView view = SampleView(members, counters);
  Selector<AffinityPolicy> selector(1);
  std::map<std::string, double> share_by_zone;
  for (int object = 0; object < kObjects; ++object) {
    const auto selection = selector.Select(
        view.m_services[0],
        {.m_now = At(10), .m_object = Hash64(std::to_string(object)) | 1U});
    if (!selection)
      continue;
    const std::string& name = selection->m_instance.m_value;
    share_by_zone[name.substr(0, name.rfind('-'))] += 1.0 / kObjects;
  }
  return share_by_zone;
}

// Load pattern: a zone with hundreds of slots, and traffic between zones that
// costs money. Guards against objects that leave a zone with enough capacity
// for them.
TEST(ObjectWeight, ALargeZoneKeepsMostOfItsObjects) {
  const auto share_by_zone = ShareByZone(50, 9);
  EXPECT_GT(share_by_zone.at("luz-a"), 0.75);
}

// Load pattern: a few slots in each zone. Guards against a copy of each object
// in each zone: most copies would be evicted before the next request.
TEST(ObjectWeight, SmallZonesOfARegionShareTheirObjects) {
  const auto share_by_zone = ShareByZone(3, 3);
  const double own_zone = share_by_zone.at("luz-a");
  const double neighbor_zone = share_by_zone.at("luz-b");
  EXPECT_NEAR(own_zone, neighbor_zone, 0.06);
  EXPECT_NEAR(own_zone + neighbor_zone, 0.8, 0.06);
}

// Guards against weights that depend on the load: a change of the load would
// move callers between regions.
TEST(ObjectWeight, DependsOnTierAndSlotsOnly) {
  EXPECT_EQ(ObjectWeight(Tier::kRemote, 0), ObjectWeight(Tier::kRemote, 900));
  EXPECT_EQ(ObjectWeight(Tier::kRegion, 0), ObjectWeight(Tier::kRegion, 900));
  EXPECT_GT(ObjectWeight(Tier::kZone, 900), ObjectWeight(Tier::kZone, 90));
  EXPECT_EQ(ObjectWeight(Tier::kZone, 0), ObjectWeight(Tier::kRegion, 0));
}

}  // namespace
}  // namespace jujube::steering
