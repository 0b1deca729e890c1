// The leader's view of demand, and the division of caps that it proposes. Not
// replicated.
//
//   Planner planner;
//   planner.OnRequest(request, now);            // each AllotmentRequest
//   std::vector<HostRenewal> renewals = planner.Plan(
//       {"e1", "e2"}, topology, ledger, now);   // hosts with a pending request
//
// Plan() divides each cap by the latest demand of all hosts that reported
// within kDemandLifetime, not only of those with a pending request, so that a
// host that requests early does not get the units that others need. Hosts
// without such a report are silent: Plan() reads from the ledger the units
// that they may still be using. The ledger checks the plan when the
// command is applied: a plan made from an outdated state is reduced and never
// exceeds a cap.
//
// The cap of an instance is the smallest one that any host announced. The
// recorded cap counts as well while a recorded holder is silent, as after
// an election.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "gen/allotments.h"
#include "limits/shares.h"

namespace jujube::limits {

// The demand of a host counts for this long after its last request; hosts renew
// every second.
inline constexpr std::chrono::milliseconds kDemandLifetime{5000};

// Interval at which single units that cannot be divided rotate to the next
// host. Longer than a lease, so that a host can use its unit.
inline constexpr std::chrono::milliseconds kRoundDuration{10000};

class Planner {
 public:
  // Records the demand of a host. Returns false if the request is not newer
  // than the last one recorded; it must not be answered with a grant then.
  bool OnRequest(const AllotmentRequest& request, MonoTime now);

  // Removes all demand. Call when this replica gains or loses leadership.
  void Clear() { m_reports.clear(); }

  // Makes a renewal for each given host that has reported, in the given order.
  std::vector<HostRenewal> Plan(const std::vector<HostId>& hosts,
                                const Topology& topology,
                                const Ledger& ledger,
                                MonoTime now) const;

 private:
  struct HostReport {
    AllotmentRequest m_request;
    std::map<LimitId, AllotmentDemand> m_demands;
    MonoTime m_received_at;
  };
  using HostReports = std::vector<const HostReport*>;

  HostReports RecentReports(MonoTime now) const;

  std::map<HostId, HostReport> m_reports;
};

}  // namespace jujube::limits
