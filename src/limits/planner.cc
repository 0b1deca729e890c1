#include "limits/planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jujube::limits {

namespace {

// Maximum size of HostRenewal.lines and AllotmentReply.allotments in the
// schema.
constexpr std::size_t kMaxLines = 8192;

bool IsEmpty(const OfferedLine& line) {
  return line.m_safe == 0 && line.m_leased == 0 && line.m_in_use == 0;
}

// The planned division of one cap among hosts.
struct CapPlan {
  std::uint64_t m_cap = 0;
  std::map<HostId, OfferedLine> m_offers;
};

std::uint64_t MaxRecordedSafe(const LedgerHolder& holder) {
  std::uint64_t safe = 0;
  for (const LedgerOffer& offer : holder.m_offers)
    safe = std::max(safe, offer.m_safe);
  return safe;
}

std::uint64_t SaturatingSubtract(std::uint64_t value, std::uint64_t amount) {
  return value - std::min(value, amount);
}

}  // namespace

bool Planner::OnRequest(const AllotmentRequest& request, MonoTime now) {
  const auto previous = m_reports.find(request.m_host);
  if (previous != m_reports.end()) {
    const AllotmentRequest& last = previous->second.m_request;
    if (std::pair(request.m_incarnation, request.m_sequence) <=
        std::pair(last.m_incarnation, last.m_sequence)) {
      return false;
    }
  }
  HostReport report{.m_request = request, .m_received_at = now};
  for (const AllotmentDemand& demand : request.m_demands)
    report.m_demands.emplace(demand.m_limit, demand);
  m_reports.insert_or_assign(request.m_host, std::move(report));
  return true;
}

Planner::HostReports Planner::RecentReports(MonoTime now) const {
  HostReports reports;
  for (const auto& [host, report] : m_reports) {
    if (now - report.m_received_at <= kDemandLifetime)
      reports.push_back(&report);
  }
  return reports;
}

namespace {

// A template because Planner::HostReports is private.
template <class HostReports>
class CapPlanner {
 public:
  CapPlanner(const LimitId& limit,
             const HostReports& reports,
             const Topology& topology,
             const Ledger& ledger)
      : m_limit(limit), m_topology(topology), m_line(ledger.Find(limit)) {
    for (const auto* report : reports) {
      const auto demand = report->m_demands.find(limit);
      const HostId& host = report->m_request.m_host;
      m_reporting_hosts.insert(host);
      if (demand != report->m_demands.end())
        m_demands.emplace(host, demand->second);
    }
  }

  CapPlan DivideCap(std::uint64_t round) {
    const Cap cap{.m_limit = m_limit, .m_size = ChooseCap()};
    const AvailabilityZoneId zone = ChooseZone();
    for (const SafeShare& share : ComputeSafeShares(m_topology, cap, zone))
      m_safe_units.emplace(share.m_host, share.m_units);
    const std::vector<ShareRequest> requests = MakeRequests(zone);
    const std::vector<std::uint64_t> leased =
        DividePool(LeasablePool(cap.m_size), requests, round);
    return MakePlan(cap.m_size, requests, leased);
  }

 private:
  std::uint64_t ChooseCap() const {
    const std::uint64_t recorded = m_line == nullptr ? 0 : m_line->m_cap;
    if (!HasAnnouncedCap(m_limit.m_kind))
      return recorded;
    std::uint64_t smallest = UINT64_MAX;
    for (const auto& [host, demand] : m_demands)
      smallest = std::min(smallest, demand.m_cap);
    if (HasSilentHolder())
      smallest = std::min(smallest, recorded);
    return smallest == UINT64_MAX ? 0 : smallest;
  }

  bool HasSilentHolder() const {
    return m_line != nullptr &&
           std::ranges::any_of(m_line->m_holders, [&](const auto& holder) {
             return !m_reporting_hosts.contains(holder.m_host);
           });
  }

  // Hosts normally report the same zone for an instance; if they differ, the
  // smallest name is used.
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
      const HostLocation* location = FindHostLocation(m_topology, host);
      if (location == nullptr)
        continue;
      requests.push_back(
          {.m_host = host,
           .m_need = SaturatingSubtract(demand.m_wanted, SafeUnitsOf(host)),
           .m_is_local =
               !HasAnnouncedCap(m_limit.m_kind) || location->m_zone == zone});
    }
    return requests;
  }

  std::uint64_t SafeUnitsOf(const HostId& host) const {
    const auto share = m_safe_units.find(host);
    return share == m_safe_units.end() ? 0 : share->second;
  }

  // The cap less, for each host, the larger of its new and its recorded safe
  // share; for a silent host at least its largest recorded offer.
  std::uint64_t LeasablePool(std::uint64_t cap) const {
    std::map<HostId, std::uint64_t> reserved = m_safe_units;
    if (m_line != nullptr) {
      for (const LedgerHolder& holder : m_line->m_holders) {
        std::uint64_t holder_units = MaxRecordedSafe(holder);
        if (!m_reporting_hosts.contains(holder.m_host)) {
          for (const LedgerOffer& offer : holder.m_offers)
            holder_units =
                std::max(holder_units, offer.m_safe + offer.m_leased);
        }
        std::uint64_t& units = reserved[holder.m_host];
        units = std::max(units, holder_units);
      }
    }
    for (const auto& [host, units] : reserved)
      cap = SaturatingSubtract(cap, units);
    return cap;
  }

  CapPlan MakePlan(std::uint64_t cap,
                   const std::vector<ShareRequest>& requests,
                   const std::vector<std::uint64_t>& leased) const {
    CapPlan plan{.m_cap = cap};
    for (const auto& [host, units] : m_safe_units)
      FindOrInsertOffer(plan, host).m_safe = units;
    for (std::size_t i = 0; i < requests.size(); ++i)
      FindOrInsertOffer(plan, requests[i].m_host).m_leased = leased[i];
    for (const auto& [host, demand] : m_demands)
      FindOrInsertOffer(plan, host).m_in_use = demand.m_in_use;
    return plan;
  }

  OfferedLine& FindOrInsertOffer(CapPlan& plan, const HostId& host) const {
    return plan.m_offers
        .try_emplace(host, OfferedLine{.m_limit = m_limit, .m_cap = plan.m_cap})
        .first->second;
  }

  const LimitId& m_limit;
  const Topology& m_topology;
  const LedgerLine* m_line;
  std::set<HostId> m_reporting_hosts;
  std::map<HostId, AllotmentDemand> m_demands;
  std::map<HostId, std::uint64_t> m_safe_units;
};

}  // namespace

std::vector<HostRenewal> Planner::Plan(const std::vector<HostId>& hosts,
                                       const Topology& topology,
                                       const Ledger& ledger,
                                       MonoTime now) const {
  const HostReports reports = RecentReports(now);
  const auto round =
      static_cast<std::uint64_t>(now.time_since_epoch() / kRoundDuration);
  std::set<LimitId> limits;
  for (const Cap& cap : topology.m_caps)
    limits.insert(cap.m_limit);
  for (const HostId& host : hosts) {
    const auto report = m_reports.find(host);
    if (report == m_reports.end())
      continue;
    for (const auto& [limit, demand] : report->second.m_demands)
      limits.insert(limit);
  }
  std::map<HostId, HostRenewal> renewals;
  for (const HostId& host : hosts) {
    const auto report = m_reports.find(host);
    if (report == m_reports.end())
      continue;
    const AllotmentRequest& request = report->second.m_request;
    renewals[host] = {.m_host = host,
                      .m_incarnation = request.m_incarnation,
                      .m_sequence = request.m_sequence,
                      .m_adopted = request.m_adopted,
                      .m_index_in_force = request.m_index_in_force};
  }
  for (const LimitId& limit : limits) {
    const CapPlan plan =
        CapPlanner(limit, reports, topology, ledger).DivideCap(round);
    for (const auto& [host, offer] : plan.m_offers) {
      const auto renewal = renewals.find(host);
      if (renewal == renewals.end())
        continue;
      // A safe share of an instance is offered only to hosts that reported the
      // instance.
      const bool is_demanded = m_reports.at(host).m_demands.contains(limit);
      const bool is_known_to_host =
          is_demanded || !HasAnnouncedCap(limit.m_kind);
      std::vector<OfferedLine>& lines = renewal->second.m_lines;
      if (is_known_to_host && !IsEmpty(offer) && lines.size() < kMaxLines)
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
