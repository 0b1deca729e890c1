#include "limits/topology.h"

#include <algorithm>

namespace jujube::limits {

Topology MakeTopology(const Deployment& deployment) {
  Topology topology;
  for (const AvailabilityZone& zone : deployment.m_availability_zones)
    topology.m_region_by_zone.emplace(zone.m_name, zone.m_region);
  for (const EntryHost& host : deployment.m_entry_hosts) {
    topology.m_hosts.push_back(
        {.m_host = host.m_name,
         .m_zone = host.m_availability_zone,
         .m_region = topology.m_region_by_zone[host.m_availability_zone]});
  }
  std::ranges::sort(topology.m_hosts, {}, &HostLocation::m_host);
  for (const Link& link : deployment.m_links) {
    topology.m_caps.push_back(
        {LinkLimit(link.m_a, link.m_b), link.m_capacity_kbit_s});
    topology.m_caps.push_back(
        {LinkLimit(link.m_b, link.m_a), link.m_capacity_kbit_s});
  }
  for (const Region& region : deployment.m_regions) {
    topology.m_caps.push_back(
        {RegionLimit(region.m_name), region.m_max_in_progress});
  }
  for (const Site& site : deployment.m_sites) {
    topology.m_caps.push_back({ShiftLimit(site.m_name),
                               deployment.m_shift.m_max_permille_per_minute});
  }
  std::ranges::sort(topology.m_caps, {}, &Cap::m_limit);
  return topology;
}

const HostLocation* FindHostLocation(const Topology& topology,
                                     const HostId& host) {
  const auto it = std::ranges::lower_bound(topology.m_hosts, host, {},
                                           &HostLocation::m_host);
  return it != topology.m_hosts.end() && it->m_host == host ? &*it : nullptr;
}

LimitId LinkLimit(const RegionId& from, const RegionId& to) {
  return {.m_kind = LimitKind::kLink,
          .m_name = from.m_value + ">" + to.m_value};
}

LimitId RegionLimit(const RegionId& region) {
  return {.m_kind = LimitKind::kRegion, .m_name = region.m_value};
}

LimitId ShiftLimit(const SiteId& site) {
  return {.m_kind = LimitKind::kShift, .m_name = site.m_value};
}

LimitId SlotLimit(const ServiceId& service, const InstanceId& instance) {
  return {.m_kind = LimitKind::kInstanceSlots,
          .m_name = service.m_value + "/" + instance.m_value};
}

LimitId ConnectionLimit(const ServiceId& service, const InstanceId& instance) {
  return {.m_kind = LimitKind::kInstanceConnections,
          .m_name = service.m_value + "/" + instance.m_value};
}

}  // namespace jujube::limits
