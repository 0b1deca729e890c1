// The parts of a document that planning needs: the locations of the entry
// hosts, and the caps that the document sets.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gen/deployment.h"
#include "limits/ledger.h"

namespace jujube::limits {

struct HostLocation {
  HostId m_host;
  AvailabilityZoneId m_zone;
  RegionId m_region;

  friend auto operator<=>(const HostLocation&, const HostLocation&) = default;
};

struct Topology {
  std::vector<HostLocation> m_hosts;  // sorted by host
  std::map<AvailabilityZoneId, RegionId> m_region_by_zone;
  std::vector<Cap> m_caps;  // links in both directions, regions, shifts

  friend bool operator==(const Topology&, const Topology&) = default;
};

Topology MakeTopology(const Deployment& deployment);

// Location of a host, or nullptr if the document does not name the host.
const HostLocation* FindHostLocation(const Topology& topology,
                                     const HostId& host);

// Identifiers of limits, as used in messages.
LimitId LinkLimit(const RegionId& from, const RegionId& to);
LimitId RegionLimit(const RegionId& region);
LimitId ShiftLimit(const SiteId& site);
LimitId SlotLimit(const ServiceId& service, const InstanceId& instance);
LimitId ConnectionLimit(const ServiceId& service, const InstanceId& instance);

}  // namespace jujube::limits
