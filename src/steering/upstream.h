// Upstream: one instance as this entry host sees it.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>

#include "membership/member.h"
#include "steering/instance_counters.h"
#include "steering/slot_grant.h"
#include "steering/tier.h"

namespace jujube::steering {

struct Upstream {
  membership::Member m_member;        // announcement and its times
  RegionId m_region;                  // of its availability zone
  Tier m_tier = Tier::kRemote;        // distance
  std::chrono::milliseconds m_delay;  // one way
  SlotGrant m_grant;                  // slots that this host may use
  std::uint64_t m_hash = 0;           // of its name, for rendezvous hashing
  double m_object_weight = 1;         // its part of the objects, ObjectWeight
  // Least time between requests while it is cold; absent: none may be sent.
  std::optional<std::chrono::nanoseconds> m_cold_spacing =
      std::chrono::nanoseconds(0);
  bool m_is_draining = false;  // itself, its zone or its region
  std::shared_ptr<InstanceCounters> m_counters;  // never null

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const Upstream&, const Upstream&) = default;
};

// Whether it may get new work at all. Ejection and slots are looked at
// separately.
inline bool MayServe(const Upstream& upstream, MonoTime now) {
  return !upstream.m_is_draining &&
         upstream.m_member.m_announcement.m_state == UpstreamState::kServing &&
         now < upstream.m_member.m_expires;
}

}  // namespace jujube::steering
