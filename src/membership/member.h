// Member: an instance with its newest announcement, and times on the monotonic
// clock of this host.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "gen/membership.h"
#include "membership/instance_key.h"

namespace jujube::membership {

struct Member {
  Announcement m_announcement;  // newest accepted announcement
  MonoTime m_sent_at;           // time of receipt minus the stated age
  MonoTime m_expires;           // end of the lease; no new work from here on
  MonoTime m_serving_since;     // m_sent_at minus the announced uptime
  MonoTime m_cold_until;        // m_sent_at plus the announced cold time

  // Newest load report of this incarnation. Announcements without a report keep
  // it, so its age grows.
  std::optional<std::uint16_t> m_reported_in_progress;
  MonoTime m_reported_at;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive for = default
  friend auto operator<=>(const Member&, const Member&) = default;
};

inline InstanceKey KeyOf(const Announcement& announcement) {
  return {.m_service = announcement.m_service,
          .m_instance = announcement.m_instance};
}

}  // namespace jujube::membership
