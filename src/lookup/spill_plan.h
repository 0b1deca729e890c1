// SpillPlan: the part of the callers of each availability zone that look-ups
// send to entry hosts of other zones, because those of their own are loaded.
//
//   plan = NextSpillPlan(plan, zone_loads, now);   // each time lists are built
//   ...ChooseEntryHosts with plan.ShareOf(zone)...
//
// Load pattern: callers move into a zone, or send larger bodies, until the
// links of its entry hosts are full while others are idle. Callers keep an
// answer for some seconds, so the shares change in steps: a controller that
// reacts faster than the answers expire oscillates.

#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::lookup {

struct ZoneLoad {
  std::uint32_t m_hosts = 0;          // usable entry hosts of the zone
  std::uint32_t m_load_permille = 0;  // mean of their loads

  friend auto operator<=>(const ZoneLoad&, const ZoneLoad&) = default;
};

using ZoneLoads = std::map<AvailabilityZoneId, ZoneLoad>;

struct SpillPlan {
  std::map<AvailabilityZoneId, std::uint32_t> m_share_permille;
  MonoTime m_updated_at{};

  std::uint32_t ShareOf(const AvailabilityZoneId& zone) const;

  friend auto operator<=>(const SpillPlan&, const SpillPlan&) = default;
};

// Hosts below this load take callers of other zones.
inline constexpr std::uint32_t kMaxReceiverLoadPermille = 500;

// The load to announce, in steps of 125 permille: the one announced last as
// long as the measured load is within a step of it, so that small changes are
// not sent to all hosts.
std::uint16_t QuantizedLoad(std::uint16_t announced_permille,
                            std::uint32_t measured_permille);

// The share rises while the load of the zone is above a target and falls when
// the zone could carry its callers again. It never exceeds a half, so that most
// requests stay in their zone.
SpillPlan NextSpillPlan(const SpillPlan& plan,
                        const ZoneLoads& loads,
                        MonoTime now);

}  // namespace jujube::lookup
