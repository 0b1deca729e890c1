// Member: an announcement in force, with its times on this host's clock.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "gen/membership.h"
#include "membership/instance_key.h"

namespace jujube::membership {

struct Member {
  Announcement m_announcement;  // the newest one that was accepted
  MonoTime m_sent;              // receipt minus the age that the relay stated
  MonoTime m_expires;           // no new work from this time on
  MonoTime m_serving_since;     // sent minus the announced uptime
  MonoTime m_cold_until;        // sent plus the announced cold time

  // Newest load report of the incarnation. It outlives announcements without
  // one, and its age then grows.
  std::optional<std::uint16_t> m_reported_in_progress;
  MonoTime m_reported_at;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const Member&, const Member&) = default;
};

inline InstanceKey KeyOf(const Announcement& announcement) {
  return {.m_service = announcement.m_service,
          .m_instance = announcement.m_instance};
}

}  // namespace jujube::membership
