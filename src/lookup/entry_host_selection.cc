#include "lookup/entry_host_selection.h"

#include <algorithm>
#include <cstddef>

#include "core/hash.h"

namespace jujube::lookup {
namespace {

constexpr std::size_t kMaxSelectedHosts = 64;  // bounds the size of an answer
// If the only host of an answer fails, the caller has none until the answer
// expires.
constexpr std::size_t kMinSelectedHosts = 2;

// Hosts that may take callers of the zone: those of its region, or, if there
// are none, those of other regions.
std::vector<Endpoint> SpillReceivers(
    const std::vector<EntryHostCandidate>& candidates,
    const RegionByZone& region_by_zone,
    const AvailabilityZoneId& zone,
    const RegionId& region) {
  std::vector<Endpoint> of_region;
  std::vector<Endpoint> of_others;
  for (const EntryHostCandidate& host : candidates) {
    if (host.m_zone == zone || host.m_load_permille > kMaxReceiverLoadPermille)
      continue;
    const auto entry = region_by_zone.find(host.m_zone);
    const bool is_same_region =
        entry != region_by_zone.end() && entry->second == region;
    (is_same_region ? of_region : of_others).push_back(host.m_caller_listener);
  }
  return of_region.size() >= kMinSelectedHosts ? of_region : of_others;
}

// Adds as many receivers as give the share, a different choice for each zone,
// so that loaded zones do not all send their callers to the same hosts.
void AddSpillHosts(std::vector<Endpoint> receivers,
                   const AvailabilityZoneId& zone,
                   std::uint32_t spill_permille,
                   std::vector<Endpoint>& selected) {
  constexpr std::uint32_t kFullPermille = 1000;
  const std::size_t count =
      std::min(receivers.size(), (selected.size() * spill_permille +
                                  (kFullPermille - spill_permille) / 2) /
                                     (kFullPermille - spill_permille));
  const std::uint64_t zone_hash = Hash64(zone.m_value);
  const auto rank = [&](const Endpoint& host) {
    return MixHash(zone_hash, Hash64(host.m_address, host.m_port));
  };
  std::sort(
      receivers.begin(), receivers.end(),
      [&](const Endpoint& a, const Endpoint& b) { return rank(a) < rank(b); });
  selected.insert(selected.end(), receivers.begin(),
                  receivers.begin() + static_cast<std::ptrdiff_t>(count));
}

}  // namespace

ZoneLoads LoadsByZone(const std::vector<EntryHostCandidate>& candidates) {
  ZoneLoads loads;
  for (const EntryHostCandidate& host : candidates) {
    ZoneLoad& load = loads[host.m_zone];
    ++load.m_hosts;
    load.m_load_permille += host.m_load_permille;
  }
  for (auto& [zone, load] : loads)
    load.m_load_permille /= load.m_hosts;
  return loads;
}

std::vector<Endpoint> ChooseEntryHosts(
    const std::vector<EntryHostCandidate>& candidates,
    const RegionByZone& region_by_zone,
    const AvailabilityZoneId& caller_zone,
    const RegionId& fallback_region,
    std::uint32_t spill_permille) {
  const auto caller_zone_entry = region_by_zone.find(caller_zone);
  const RegionId& caller_region = caller_zone_entry == region_by_zone.end()
                                      ? fallback_region
                                      : caller_zone_entry->second;
  std::vector<Endpoint> same_zone;
  std::vector<Endpoint> same_region;
  std::vector<Endpoint> all;
  for (const EntryHostCandidate& host : candidates) {
    if (host.m_zone == caller_zone)
      same_zone.push_back(host.m_caller_listener);
    const auto host_zone_entry = region_by_zone.find(host.m_zone);
    if (host_zone_entry != region_by_zone.end() &&
        host_zone_entry->second == caller_region)
      same_region.push_back(host.m_caller_listener);
    all.push_back(host.m_caller_listener);
  }
  std::vector<Endpoint>& region_or_all =
      same_region.size() >= kMinSelectedHosts ? same_region : all;
  std::vector<Endpoint>& selected =
      same_zone.size() >= kMinSelectedHosts ? same_zone : region_or_all;
  if (&selected == &same_zone && spill_permille > 0) {
    AddSpillHosts(
        SpillReceivers(candidates, region_by_zone, caller_zone, caller_region),
        caller_zone, spill_permille, selected);
  }
  if (selected.size() > kMaxSelectedHosts)
    selected.resize(kMaxSelectedHosts);
  return selected;
}

}  // namespace jujube::lookup
