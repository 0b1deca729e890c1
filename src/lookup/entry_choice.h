// ChooseEntryHosts: which entry hosts a caller is told to use, for callers that
// pick one of an answer at random.
//
// Hosts of the caller's region, so that a request crosses no region before it
// is placed, and enough of them that the loss of one leaves another. With fewer
// than two in the region, all hosts are named.

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
