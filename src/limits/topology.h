// What planning needs from a document: the entry hosts with their places, and
// the caps that the document names.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gen/deployment.h"
#include "limits/ledger.h"

namespace jujube::limits {

struct HostPlace {
  HostId m_host;
  AvailabilityZoneId m_zone;
  RegionId m_region;

  friend auto operator<=>(const HostPlace&, const HostPlace&) = default;
};

struct Topology {
  std::vector<HostPlace> m_hosts;  // sorted by host
  std::map<AvailabilityZoneId, RegionId> m_zones;
  std::vector<Cap> m_caps;  // links in both directions, regions, shifts

  friend bool operator==(const Topology&, const Topology&) = default;
};

Topology MakeTopology(const Deployment& deployment);

// Place of a host, or nullptr if the document has no such host.
const HostPlace* FindPlace(const Topology& topology, const HostId& host);

// Limits as they are named in messages.
LimitId LinkLimit(const RegionId& from, const RegionId& to);
LimitId RegionLimit(const RegionId& region);
LimitId ShiftLimit(const SiteId& site);
LimitId SlotLimit(const ServiceId& service, const InstanceId& instance);
LimitId ConnectionLimit(const ServiceId& service, const InstanceId& instance);

}  // namespace jujube::limits
