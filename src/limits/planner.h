// The leader's view of demand, and the plan that it proposes. Not replicated.
//
//   Planner planner;
//   planner.OnRequest(request, now);            // each AllotmentRequest
//   std::vector<HostRenewal> renewals = planner.Plan(
//       {"e1", "e2"}, topology, ledger, now);   // those that wait for a reply
//
// Plan() divides every cap by the latest demand of all hosts that reported
// within kDemandLifetime, not only of those that wait, so that a host which
// asks early does not get what others need. It reads the ledger for what silent
// hosts may still be using. The ledger checks the plan when the command is
// applied; a plan made from an old state is reduced, never exceeded.
//
// The cap of an instance is the smallest one that a host announced. While a
// holder that is on record has not reported yet (after an election), the
// recorded cap counts as well.

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

// A host that renews each second and was silent this long has no demand.
inline constexpr std::chrono::milliseconds kDemandLifetime{5000};

// Time after which indivisible units pass to the next host. Longer than a
// lease, so that a host can use its turn.
inline constexpr std::chrono::milliseconds kRoundDuration{10000};

class Planner {
 public:
  // Records the demand of a host. False if it is older than what is known: the
  // request must not be answered with a grant.
  bool OnRequest(const AllotmentRequest& request, MonoTime now);

  // Forgets all demand, when this replica starts or stops to lead.
  void Clear() { m_requests.clear(); }

  // Renewals for those of the hosts that have reported, in the given order.
  std::vector<HostRenewal> Plan(const std::vector<HostId>& hosts,
                                const Topology& topology,
                                const Ledger& ledger,
                                MonoTime now) const;

 private:
  struct Known {
    AllotmentRequest m_request;
    std::map<LimitId, AllotmentDemand> m_demands;
    MonoTime m_received;
  };
  using Fresh = std::vector<const Known*>;

  Fresh FreshRequests(MonoTime now) const;

  std::map<HostId, Known> m_requests;
};

}  // namespace jujube::limits
