// ChooseEntryHosts: which entry hosts a caller is told to use, for callers that
// pick one of an answer at random.
//
// Hosts of the caller's availability zone, so that a request crosses neither
// zone nor region before it is placed. With fewer than two in the zone those of
// the region are named, and with fewer than two there all hosts, so that the
// loss of one leaves another.

#pragma once

#include <compare>
#include <map>
#include <vector>

#include "gen/types.h"

namespace jujube::lookup {

struct EntryChoice {
  AvailabilityZoneId m_zone;
  Endpoint m_caller;  // listener for requests

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const EntryChoice&, const EntryChoice&) = default;
};

using ZoneRegions = std::map<AvailabilityZoneId, RegionId>;

// `ready` are live hosts that take requests; `zone` is the caller's.
std::vector<Endpoint> ChooseEntryHosts(const std::vector<EntryChoice>& ready,
                                       const ZoneRegions& regions,
                                       const AvailabilityZoneId& zone,
                                       const RegionId& region);

}  // namespace jujube::lookup
