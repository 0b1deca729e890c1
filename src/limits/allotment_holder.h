// The entry host's side of the limits; runs on the control thread.
//
//   AllotmentHolder holder(host, incarnation);
//   holder.Track({slot_limit, 3, zone});   // when an instance is announced
//   AllotmentRequest request =
//       holder.NextRequest(index_in_force, clock.Now());
//   ... send it; if m_leader is set in the reply, ask that host instead ...
//   holder.OnReply(reply);
//   table_cell.Publish(holder.Table());    // after the set of limits changed
//
// The lease starts when its request was sent, so a slow reply does not extend
// it. A reply is ignored if its request is unknown or is not newer than that
// of the last adopted reply. Each reply replaces all earlier grants: a limit
// that it does not name gets zero units.
//
// Each request confirms the reply that was adopted last (`adopted`). The holder
// never returns to an earlier reply, so the ledger may then grant to other
// hosts what the last one took away. Units acquired under an earlier grant may
// still be in use: the request reads them after `adopted`, so that it reports
// them together with the confirmation.
//
// Not thread-safe. Worker threads use the LimitTable.

#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "gen/allotments.h"
#include "limits/limit_table.h"

namespace jujube::limits {

// A limit that the host uses, with what upstreams announced for it.
struct TrackedLimit {
  LimitId m_limit;
  std::uint64_t m_cap = 0;    // as announced; 0 if the document sets it
  AvailabilityZoneId m_zone;  // of the instance; empty for other limits
  // Minimum number of units to request, so that an idle host has units for its
  // first requests. Caps are divided max-min fair (limits/shares.h), so this
  // takes from a busy host only units beyond its equal share, and from hosts of
  // other zones only units beyond the remote reserve.
  std::uint64_t m_min_demand = 0;

  friend auto operator<=>(const TrackedLimit&, const TrackedLimit&) = default;
};

class AllotmentHolder {
 public:
  AllotmentHolder(HostId host, std::uint64_t incarnation);

  // Adds a limit or updates its announced cap.
  void Track(const TrackedLimit& limit);

  // Stops using a limit. Its cell is removed from the table by NextRequest()
  // once none of its units is in use.
  void Untrack(const LimitId& limit);

  // Makes the next request, which reports the usage since the previous one.
  // `index_in_force`: feed index of the configuration that this host runs.
  AllotmentRequest NextRequest(std::uint64_t index_in_force, MonoTime now);

  // Adopts the grants of a reply. Returns false if the reply is out of date,
  // its request is unknown, or it names another leader instead.
  bool OnReply(const AllotmentReply& reply);

  // The current table. Only Track() and NextRequest() replace it.
  std::shared_ptr<const LimitTable> Table() const { return m_table; }

  // Expiry of the current leases; a time in the past if there are none.
  MonoTime LeaseEnd() const { return m_lease_end; }

 private:
  struct TrackedEntry {
    TrackedLimit m_tracked_limit;
    std::shared_ptr<LimitCell> m_cell;
    bool m_is_untracked = false;  // kept until no unit is in use
  };

  void RemoveUntracked();
  void RebuildTable();
  AllotmentDemand MakeDemand(const TrackedEntry& entry,
                             MonoClock::duration elapsed) const;

  HostId m_host;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_adopted_sequence = 0;
  MonoTime m_last_report_time;
  MonoTime m_lease_end;
  std::map<std::uint64_t, MonoTime> m_send_times;  // by request sequence
  std::map<LimitId, TrackedEntry> m_entries;
  std::shared_ptr<const LimitTable> m_table;
};

}  // namespace jujube::limits
