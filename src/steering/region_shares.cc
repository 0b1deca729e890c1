#include "steering/region_shares.h"

#include <algorithm>
#include <numeric>

namespace jujube::steering {
namespace {

struct RegionBalance {
  double m_demand = 0;    // part of the demand of all regions
  double m_capacity = 0;  // part of the slots of all regions
};

std::vector<RegionBalance> BalanceOf(std::span<const RegionCapacity> regions) {
  std::uint64_t slots = 0;
  std::uint64_t hosts = 0;
  for (const RegionCapacity& region : regions) {
    slots += region.m_slots;
    hosts += region.m_entry_hosts;
  }
  std::vector<RegionBalance> balance;
  balance.reserve(regions.size());
  for (const RegionCapacity& region : regions) {
    balance.push_back({
        .m_demand = hosts > 0
                        ? region.m_entry_hosts / static_cast<double>(hosts)
                        : 1.0 / static_cast<double>(regions.size()),
        .m_capacity =
            slots > 0 ? region.m_slots / static_cast<double>(slots) : 0,
    });
  }
  return balance;
}

}  // namespace

std::vector<double> PlanRegionShares(std::span<const RegionCapacity> regions,
                                     std::size_t own) {
  std::vector<double> shares(regions.size(), 0);
  if (own >= regions.size())
    return shares;
  const std::vector<RegionBalance> balance = BalanceOf(regions);
  const RegionBalance& home = balance[own];
  // A host whose region has no entry host in the plan yet steers as if its
  // region had a vanishing demand: all of it stays at home.
  const double kept = home.m_demand > 0
                          ? std::min(1.0, home.m_capacity / home.m_demand)
                          : (home.m_capacity > 0 ? 1.0 : 0.0);
  const auto spare_of = [](const RegionBalance& region) {
    return std::max(0.0, region.m_capacity - region.m_demand);
  };
  const double spare = std::accumulate(
      balance.begin(), balance.end(), 0.0,
      [&](double sum, const auto& region) { return sum + spare_of(region); });
  for (std::size_t i = 0; i < regions.size(); ++i) {
    if (i != own && spare > 0)
      shares[i] = (1 - kept) * spare_of(balance[i]) / spare;
  }
  shares[own] = kept;
  return shares;
}

}  // namespace jujube::steering
