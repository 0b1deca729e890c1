#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/hash.h"
#include "steering/affinity_policy.h"
#include "steering/region_shares.h"
#include "steering/selector.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

// A third of the demand starts in the last region, which has a tenth of the
// slots.
constexpr std::array<RegionCapacity, 3> kUneven = {
    {{432, 36}, {516, 38}, {108, 35}}};

// Load pattern: uneven regions. Guards against a region that is sent more than
// its part of all slots, summed over the callers of all regions.
TEST(PlanRegionShares, EachRegionGetsItsPartOfTheSlots) {
  std::vector<double> load(kUneven.size(), 0);
  for (std::size_t own = 0; own < kUneven.size(); ++own) {
    const auto shares = PlanRegionShares(kUneven, own);
    EXPECT_NEAR(std::accumulate(shares.begin(), shares.end(), 0.0), 1, 1e-9);
    for (std::size_t i = 0; i < shares.size(); ++i)
      load[i] += shares[i] * kUneven[own].m_entry_hosts / 109;
  }
  for (std::size_t i = 0; i < load.size(); ++i)
    EXPECT_NEAR(load[i], kUneven[i].m_slots / 1056.0, 1e-9) << i;
}

// Guards against traffic between regions without need: a region with room for
// its own demand keeps all of it.
TEST(PlanRegionShares, ARegionWithRoomKeepsItsDemand) {
  EXPECT_DOUBLE_EQ(PlanRegionShares(kUneven, 0)[0], 1);
  EXPECT_DOUBLE_EQ(PlanRegionShares(kUneven, 1)[1], 1);
  EXPECT_LT(PlanRegionShares(kUneven, 2)[2], 0.35);
}

// Guards against more than 0.15 of a region's requests that change their region
// when one entry host or one instance comes or goes.
TEST(PlanRegionShares, OneHostOrInstanceMovesLittle) {
  for (std::size_t own = 0; own < kUneven.size(); ++own) {
    for (std::size_t changed = 0; changed < kUneven.size(); ++changed) {
      auto regions = kUneven;
      regions[changed].m_slots -= 6;
      regions[changed].m_entry_hosts += 1;
      const auto before = PlanRegionShares(kUneven, own);
      const auto after = PlanRegionShares(regions, own);
      double moved = 0;
      for (std::size_t i = 0; i < before.size(); ++i)
        moved += std::max(0.0, after[i] - before[i]);
      EXPECT_LT(moved, 0.05) << own << " " << changed;
    }
  }
}

// Guards against shares that are not numbers: no slots, no entry hosts, a
// region that is not in the plan.
TEST(PlanRegionShares, TakesEmptyRegions) {
  EXPECT_EQ(PlanRegionShares({}, 0), std::vector<double>());
  const std::vector<RegionCapacity> nothing(2);
  EXPECT_EQ(PlanRegionShares(nothing, 0), (std::vector<double>{0, 0}));
  EXPECT_EQ(PlanRegionShares(nothing, 2), (std::vector<double>{0, 0}));
  const std::vector<RegionCapacity> no_hosts = {{30, 0}, {10, 0}};
  EXPECT_EQ(PlanRegionShares(no_hosts, 1), (std::vector<double>{0.5, 0.5}));
  // All of the own region's instances are lost.
  const std::vector<RegionCapacity> lost = {{0, 5}, {60, 5}};
  EXPECT_EQ(PlanRegionShares(lost, 0), (std::vector<double>{0, 1}));
}

// Share of the objects by region, from callers in luz-a.
std::map<std::string, double> PlaceObjects(
    const std::vector<membership::Member>& members,
    const std::vector<Drain>& drains) {
  constexpr int kObjects = 3000;
  CounterTable counters;
  const Deployment deployment = SampleDeployment();
  const membership::RegistrySnapshot registry{.m_version = 1,
                                              .m_members = members};
  const UpstreamView view = BuildView(
      {.m_registry = registry,
       .m_deployment = deployment,
       .m_drains = drains,
       .m_zone = {"luz-a"},
       .m_entry_hosts_by_zone =
           std::map<AvailabilityZoneId, std::uint32_t>{
               {{"luz-a"}, 3}, {{"luz-b"}, 3}, {{"min-a"}, 6}, {{"vis-a"}, 6}},
       .m_grants = {}},
      counters);
  Selector<AffinityPolicy> selector(1);
  std::map<std::string, double> shares;
  for (int object = 0; object < kObjects; ++object) {
    const auto selection = selector.Select(
        view.m_services[0],
        {.m_now = At(10), .m_object = Hash64(std::to_string(object)) | 1U});
    if (selection)
      shares[selection->m_region.m_value] += 1.0 / kObjects;
  }
  return shares;
}

std::vector<membership::Member> UnevenMembers() {
  std::vector<membership::Member> members;
  for (const auto& [zone, count] : std::map<std::string, int>{
           {"luz-a", 2}, {"luz-b", 2}, {"min-a", 18}, {"vis-a", 18}}) {
    for (int i = 0; i < count; ++i)
      members.push_back(SampleMember(zone + "-" + std::to_string(i), zone));
  }
  return members;
}

// Load pattern: callers of a region without room. Guards against a spill that
// starts only once the region is full: the view places the objects from the
// first request on.
TEST(PlannedObjectWeight, PlacesObjectsByCapacity) {
  const auto shares = PlaceObjects(UnevenMembers(), {});
  EXPECT_NEAR(shares.at("luzon"), 0.3, 0.04);
  EXPECT_NEAR(shares.at("mindanao"), 0.35, 0.04);
  EXPECT_NEAR(shares.at("visayas"), 0.35, 0.04);
}

// Guards against a drained zone that still counts as capacity, and against a
// region that keeps its share on half of its instances.
TEST(PlannedObjectWeight, ADrainedZoneIsNoCapacity) {
  const std::vector<Drain> drains = {
      {.m_kind = DrainKind::kAvailabilityZone, .m_name = "luz-b"}};
  const auto shares = PlaceObjects(UnevenMembers(), drains);
  EXPECT_NEAR(shares.at("luzon"), 2.0 / 38 * 3, 0.04);
}

}  // namespace
}  // namespace jujube::steering
