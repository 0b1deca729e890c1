#include "limits/planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jujube::limits {

namespace {

// Bound of HostRenewal.lines and AllotmentReply.allotments in the schema.
constexpr std::size_t kMaxLines = 8192;

bool IsEmpty(const OfferedLine& line) {
  return line.m_safe == 0 && line.m_leased == 0 && line.m_in_use == 0;
}

// The division of one cap: what each host is to get.
struct LinePlan {
  std::uint64_t m_cap = 0;
  std::map<HostId, OfferedLine> m_offers;
};

std::uint64_t RecordedSafe(const LedgerHolder& holder) {
  std::uint64_t safe = 0;
  for (const LedgerOffer& offer : holder.m_offers)
    safe = std::max(safe, offer.m_safe);
  return safe;
}

std::uint64_t SubtractOrZero(std::uint64_t from, std::uint64_t amount) {
  return from - std::min(from, amount);
}

}  // namespace

bool Planner::OnRequest(const AllotmentRequest& request, MonoTime now) {
  const auto known = m_requests.find(request.m_host);
  if (known != m_requests.end()) {
    const AllotmentRequest& last = known->second.m_request;
    if (std::pair(request.m_incarnation, request.m_sequence) <=
        std::pair(last.m_incarnation, last.m_sequence)) {
      return false;
    }
  }
  Known entry{.m_request = request, .m_received = now};
  for (const AllotmentDemand& demand : request.m_demands)
    entry.m_demands.emplace(demand.m_limit, demand);
  m_requests.insert_or_assign(request.m_host, std::move(entry));
  return true;
}

Planner::Fresh Planner::FreshRequests(MonoTime now) const {
  Fresh fresh;
  for (const auto& [host, known] : m_requests) {
    if (now - known.m_received <= kDemandLifetime)
      fresh.push_back(&known);
  }
  return fresh;
}

namespace {

template <class Fresh>
class LinePlanner {
 public:
  LinePlanner(const LimitId& limit,
              const Fresh& fresh,
              const Topology& topology,
              const Ledger& ledger)
      : m_limit(limit), m_topology(topology), m_line(ledger.Find(limit)) {
    for (const auto* known : fresh) {
      const auto demand = known->m_demands.find(limit);
      const HostId& host = known->m_request.m_host;
      m_reporting.insert(host);
      if (demand != known->m_demands.end())
        m_demands.emplace(host, demand->second);
    }
  }

  LinePlan Run(std::uint64_t round) {
    const Cap cap{.m_limit = m_limit, .m_size = ChooseCap()};
    const AvailabilityZoneId zone = ChooseZone();
    for (const SafeShare& share : SafeShares(m_topology, cap, zone))
      m_safe.emplace(share.m_host, share.m_units);
    const std::vector<ShareRequest> requests = MakeRequests(zone);
    const std::vector<std::uint64_t> leased =
        DividePool(LeasablePool(cap.m_size), requests, round);
    return MakePlan(cap.m_size, requests, leased);
  }

 private:
  std::uint64_t ChooseCap() const {
    const std::uint64_t recorded = m_line == nullptr ? 0 : m_line->m_cap;
    if (!IsAnnounced(m_limit.m_kind))
      return recorded;
    std::uint64_t smallest = UINT64_MAX;
    for (const auto& [host, demand] : m_demands)
      smallest = std::min(smallest, demand.m_cap);
    if (SomeHolderIsSilent())
      smallest = std::min(smallest, recorded);
    return smallest == UINT64_MAX ? 0 : smallest;
  }

  bool SomeHolderIsSilent() const {
    return m_line != nullptr &&
           std::ranges::any_of(m_line->m_holders, [&](const auto& holder) {
             return !m_reporting.contains(holder.m_host);
           });
  }

  // Hosts agree on the zone of an instance; if not, the smallest name counts.
  AvailabilityZoneId ChooseZone() const {
    AvailabilityZoneId zone;
    for (const auto& [host, demand] : m_demands) {
      if (zone.m_value.empty() || demand.m_availability_zone < zone)
        zone = demand.m_availability_zone;
    }
    return zone;
  }

  std::vector<ShareRequest> MakeRequests(const AvailabilityZoneId& zone) const {
    std::vector<ShareRequest> requests;
    for (const auto& [host, demand] : m_demands) {
      const HostPlace* place = FindPlace(m_topology, host);
      if (place == nullptr)
        continue;
      requests.push_back(
          {.m_host = host,
           .m_need = SubtractOrZero(demand.m_wanted, SafeOf(host)),
           .m_local = !IsAnnounced(m_limit.m_kind) || place->m_zone == zone});
    }
    return requests;
  }

  std::uint64_t SafeOf(const HostId& host) const {
    const auto share = m_safe.find(host);
    return share == m_safe.end() ? 0 : share->second;
  }

  // The cap without the safe shares, old and new ones, and without what silent
  // hosts may still be using.
  std::uint64_t LeasablePool(std::uint64_t cap) const {
    std::map<HostId, std::uint64_t> kept = m_safe;
    if (m_line != nullptr) {
      for (const LedgerHolder& holder : m_line->m_holders) {
        std::uint64_t used = RecordedSafe(holder);
        if (!m_reporting.contains(holder.m_host)) {
          for (const LedgerOffer& offer : holder.m_offers)
            used = std::max(used, offer.m_safe + offer.m_leased);
        }
        std::uint64_t& units = kept[holder.m_host];
        units = std::max(units, used);
      }
    }
    for (const auto& [host, units] : kept)
      cap = SubtractOrZero(cap, units);
    return cap;
  }

  LinePlan MakePlan(std::uint64_t cap,
                    const std::vector<ShareRequest>& requests,
                    const std::vector<std::uint64_t>& leased) const {
    LinePlan plan{.m_cap = cap};
    for (const auto& [host, units] : m_safe)
      Line(plan, host).m_safe = units;
    for (std::size_t i = 0; i < requests.size(); ++i)
      Line(plan, requests[i].m_host).m_leased = leased[i];
    for (const auto& [host, demand] : m_demands)
      Line(plan, host).m_in_use = demand.m_in_use;
    return plan;
  }

  OfferedLine& Line(LinePlan& plan, const HostId& host) const {
    return plan.m_offers
        .try_emplace(host, OfferedLine{.m_limit = m_limit, .m_cap = plan.m_cap})
        .first->second;
  }

  const LimitId& m_limit;
  const Topology& m_topology;
  const LedgerLine* m_line;
  std::set<HostId> m_reporting;
  std::map<HostId, AllotmentDemand> m_demands;
  std::map<HostId, std::uint64_t> m_safe;
};

}  // namespace

std::vector<HostRenewal> Planner::Plan(const std::vector<HostId>& hosts,
                                       const Topology& topology,
                                       const Ledger& ledger,
                                       MonoTime now) const {
  const Fresh fresh = FreshRequests(now);
  const auto round =
      static_cast<std::uint64_t>(now.time_since_epoch() / kRoundDuration);
  std::set<LimitId> limits;
  for (const Cap& cap : topology.m_caps)
    limits.insert(cap.m_limit);
  for (const HostId& host : hosts) {
    const auto known = m_requests.find(host);
    if (known == m_requests.end())
      continue;
    for (const auto& [limit, demand] : known->second.m_demands)
      limits.insert(limit);
  }
  std::map<HostId, HostRenewal> renewals;
  for (const HostId& host : hosts) {
    const auto known = m_requests.find(host);
    if (known == m_requests.end())
      continue;
    const AllotmentRequest& request = known->second.m_request;
    renewals[host] = {.m_host = host,
                      .m_incarnation = request.m_incarnation,
                      .m_sequence = request.m_sequence,
                      .m_adopted = request.m_adopted,
                      .m_index_in_force = request.m_index_in_force};
  }
  for (const LimitId& limit : limits) {
    const LinePlan plan =
        LinePlanner(limit, fresh, topology, ledger).Run(round);
    for (const auto& [host, offer] : plan.m_offers) {
      const auto renewal = renewals.find(host);
      if (renewal == renewals.end())
        continue;
      // The safe share of an instance is for hosts that know the instance.
      const bool demanded = m_requests.at(host).m_demands.contains(limit);
      const bool known = demanded || !IsAnnounced(limit.m_kind);
      std::vector<OfferedLine>& lines = renewal->second.m_lines;
      if (known && !IsEmpty(offer) && lines.size() < kMaxLines)
        lines.push_back(offer);
    }
  }
  std::vector<HostRenewal> ordered;
  for (const HostId& host : hosts) {
    const auto renewal = renewals.find(host);
    if (renewal != renewals.end())
      ordered.push_back(std::move(renewal->second));
  }
  return ordered;
}

}  // namespace jujube::limits
