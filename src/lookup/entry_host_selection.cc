#include "lookup/entry_host_selection.h"

#include <algorithm>

namespace jujube::lookup {
namespace {

// Bound of an answer.
constexpr std::size_t kMaxHosts = 64;
// With one host, its loss leaves the caller without any until the answer ends.
constexpr std::size_t kMinHosts = 2;

}  // namespace

std::vector<Endpoint> ChooseEntryHosts(const std::vector<EntryChoice>& ready,
                                       const ZoneRegions& regions,
                                       const AvailabilityZoneId& zone,
                                       const RegionId& region) {
  const auto own = regions.find(zone);
  const RegionId& caller_region = own == regions.end() ? region : own->second;
  std::vector<Endpoint> same_zone;
  std::vector<Endpoint> near;
  std::vector<Endpoint> all;
  for (const EntryChoice& host : ready) {
    if (host.m_zone == zone)
      same_zone.push_back(host.m_caller);
    const auto found = regions.find(host.m_zone);
    if (found != regions.end() && found->second == caller_region)
      near.push_back(host.m_caller);
    all.push_back(host.m_caller);
  }
  std::vector<Endpoint>& in_region = near.size() >= kMinHosts ? near : all;
  std::vector<Endpoint>& chosen =
      same_zone.size() >= kMinHosts ? same_zone : in_region;
  if (chosen.size() > kMaxHosts)
    chosen.resize(kMaxHosts);
  return chosen;
}

}  // namespace jujube::lookup
