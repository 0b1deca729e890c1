// Upstream: one instance from the point of view of this entry host.

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
  membership::Member m_member;        // last announcement and its times
  RegionId m_region;                  // region of its availability zone
  Tier m_tier = Tier::kRemote;        // distance from this host
  std::chrono::milliseconds m_delay;  // one-way network delay
  SlotGrant m_grant;                  // slots that this host may use
  std::uint64_t m_instance_hash = 0;  // for rendezvous hashing
  double m_object_weight = 1;         // share of the objects, from ObjectWeight
  // Minimum interval between requests while the instance is cold; empty if this
  // host may send none.
  std::optional<std::chrono::nanoseconds> m_cold_request_interval =
      std::chrono::nanoseconds(0);
  bool m_is_draining = false;  // the instance, its zone or its region
  std::shared_ptr<InstanceCounters> m_counters;  // never null

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive
  friend auto operator<=>(const Upstream&, const Upstream&) = default;
};

// True if the instance may receive new requests. Ejection and slots are checked
// separately.
inline bool IsServing(const Upstream& upstream, MonoTime now) {
  return !upstream.m_is_draining &&
         upstream.m_member.m_announcement.m_state == UpstreamState::kServing &&
         now < upstream.m_member.m_expires;
}

}  // namespace jujube::steering
