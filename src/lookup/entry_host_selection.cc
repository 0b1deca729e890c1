#include "lookup/entry_host_selection.h"

#include <algorithm>

namespace jujube::lookup {
namespace {

constexpr std::size_t kMaxSelectedHosts = 64;  // bounds the size of an answer
// If the only host of an answer fails, the caller has none until the answer
// expires.
constexpr std::size_t kMinSelectedHosts = 2;

}  // namespace

std::vector<Endpoint> ChooseEntryHosts(
    const std::vector<EntryHostCandidate>& candidates,
    const RegionByZone& region_by_zone,
    const AvailabilityZoneId& caller_zone,
    const RegionId& fallback_region) {
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
  if (selected.size() > kMaxSelectedHosts)
    selected.resize(kMaxSelectedHosts);
  return selected;
}

}  // namespace jujube::lookup
