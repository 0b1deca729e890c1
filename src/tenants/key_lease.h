// KeyLease: until when this host may forward requests with keys.
//
// The leader of the control hosts states that no configuration above a feed
// index was accepted up to a point in time (ConfigLease). A key that the
// configuration at that index holds was valid then, so it may be used for the
// length of the lease: one that was taken away later is refused everywhere
// within that length of the acknowledgement.
//
//   KeyLease lease(settings.m_key_lease);
//   message.m_clock = KeyLease::ClockOf(MonoClock::now());   // each message
//   lease.OnStatement(reply.m_lease);                        // each reply
//   shared.m_key_lease_end = lease.EndAt(feed_index);
//
// The point in time is measured from the time at which this host sent the
// message that the statement echoes, on a clock that counts suspended time. A
// statement that was held up on its way, or at a leader that was suspended, is
// therefore as old as it really is.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "gen/membership.h"

namespace jujube::tenants {

class KeyLease {
 public:
  // Without a length, the lease never ends.
  explicit KeyLease(std::optional<std::chrono::milliseconds> length)
      : m_length(length) {}

  static std::uint64_t ClockOf(MonoTime now);

  // Returns the point in time, at the earliest; empty for a statement that is
  // not plausible.
  std::optional<MonoTime> OnStatement(const ConfigLease& statement,
                                      MonoTime now);

  // End of the lease of a host with this feed index in force; the epoch if it
  // has none.
  MonoTime EndAt(std::uint64_t feed_index);

 private:
  std::optional<std::chrono::milliseconds> m_length;
  MonoTime m_confirmed_at{};  // latest point in time, for the index in force
  // Latest point in time by feed index, for indexes not yet in force.
  std::map<std::uint64_t, MonoTime> m_pending;
};

}  // namespace jujube::tenants
