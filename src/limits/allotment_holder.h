// The control thread's side of the limits at an entry host.
//
//   AllotmentHolder holder(host, incarnation);
//   holder.Track({slot_limit, 3, zone});            // an instance was
//   announced AllotmentRequest request = holder.NextRequest(index_in_force,
//   clock.Now());
//   ... send; on a reply with m_leader set ask that host instead ...
//   holder.OnReply(reply);
//   table_cell.Publish(holder.Table());             // after each change of
//   limits
//
// A lease counts from when its request was sent, so that a slow reply cannot
// stretch it. A reply to an earlier request than the last adopted one is
// dropped, and so is one to a request that is unknown. A limit that a reply
// does not name becomes zero: a reply replaces all that is held.
//
// The requests tell the leader which reply is in force (adopted). The holder
// never goes back behind it, which lets the ledger give the difference to
// others. For that reason the units in use are read after `adopted`.
//
// Not thread-safe: one thread owns it. Worker threads use the LimitTable.

#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "gen/allotments.h"
#include "limits/limit_table.h"

namespace jujube::limits {

// A limit that the host wants to use, with what only upstreams know of it.
struct TrackedLimit {
  LimitId m_limit;
  std::uint64_t m_cap = 0;    // announced; 0 if the document names it
  AvailabilityZoneId m_zone;  // of the instance; empty for other limits
  // Units that are asked for without any use, so that a host has some before
  // its first request. A cap is divided by need, so this takes nothing from
  // hosts that use what they ask for beyond an equal share.
  std::uint64_t m_floor = 0;

  friend auto operator<=>(const TrackedLimit&, const TrackedLimit&) = default;
};

class AllotmentHolder {
 public:
  AllotmentHolder(HostId host, std::uint64_t incarnation);

  // Adds a limit or updates its announced cap.
  void Track(const TrackedLimit& limit);

  // Stops to use a limit. Its cell leaves the table once no unit is in use.
  void Forget(const LimitId& limit);

  // The next request, with the use since the one before.
  AllotmentRequest NextRequest(std::uint64_t index_in_force, MonoTime now);

  // Adopts the grants of a reply. False if it is late, unknown or no grant.
  bool OnReply(const AllotmentReply& reply);

  // The limits as of now. Changes only by Track() and NextRequest().
  std::shared_ptr<const LimitTable> Table() const { return m_table; }

  // When the leases in force run out; the past if there are none.
  MonoTime LeaseEnd() const { return m_lease_end; }

 private:
  struct Tracked {
    TrackedLimit m_limit;
    std::shared_ptr<LimitCell> m_cell;
    bool m_forgotten = false;
  };

  void DropForgotten();
  void RebuildTable();
  AllotmentDemand MakeDemand(const Tracked& tracked,
                             MonoClock::duration elapsed) const;

  HostId m_host;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_adopted = 0;
  MonoTime m_last_report;
  MonoTime m_lease_end;
  std::map<std::uint64_t, MonoTime> m_sent;  // sequence to time of sending
  std::map<LimitId, Tracked> m_tracked;
  std::shared_ptr<const LimitTable> m_table;
};

}  // namespace jujube::limits
