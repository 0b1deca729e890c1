#include "limits/allotment_holder.h"

#include <algorithm>
#include <utility>

namespace jujube::limits {

namespace {

// Maximum number of requests whose reply is awaited. At one request per second,
// the leases of older ones have expired.
constexpr std::size_t kMaxPendingRequests = 64;

}  // namespace

AllotmentHolder::AllotmentHolder(HostId host, std::uint64_t incarnation)
    : m_host(std::move(host)),
      m_incarnation(incarnation),
      m_table(std::make_shared<const LimitTable>()) {}

void AllotmentHolder::Track(const TrackedLimit& limit) {
  const auto [it, is_new] = m_entries.try_emplace(limit.m_limit);
  TrackedEntry& entry = it->second;
  entry.m_tracked_limit = limit;
  entry.m_is_untracked = false;
  if (!is_new)
    return;
  entry.m_cell = std::make_shared<LimitCell>();
  RebuildTable();
}

void AllotmentHolder::Untrack(const LimitId& limit) {
  const auto it = m_entries.find(limit);
  if (it == m_entries.end())
    return;
  // Workers may keep a table with this cell after the limit was removed; units
  // that they acquired there would not be reported.
  it->second.m_cell->Adopt(Grant{});
  it->second.m_is_untracked = true;
}

void AllotmentHolder::RemoveUntracked() {
  const std::size_t removed_count =
      std::erase_if(m_entries, [](const auto& item) {
        const TrackedEntry& entry = item.second;
        return entry.m_is_untracked && entry.m_cell->InUse() == 0;
      });
  if (removed_count > 0)
    RebuildTable();
}

void AllotmentHolder::RebuildTable() {
  LimitTable::Cells cells;
  for (const auto& [limit, entry] : m_entries)
    cells.emplace(limit, entry.m_cell);
  m_table = std::make_shared<const LimitTable>(std::move(cells));
}

AllotmentRequest AllotmentHolder::NextRequest(std::uint64_t index_in_force,
                                              MonoTime now) {
  RemoveUntracked();
  ++m_sequence;
  m_send_times.emplace(m_sequence, now);
  if (m_send_times.size() > kMaxPendingRequests)
    m_send_times.erase(m_send_times.begin());
  AllotmentRequest request{.m_host = m_host,
                           .m_incarnation = m_incarnation,
                           .m_sequence = m_sequence,
                           .m_adopted = m_adopted_sequence,
                           .m_index_in_force = index_in_force};
  const MonoClock::duration elapsed = now - m_last_report_time;
  for (const auto& [limit, entry] : m_entries)
    request.m_demands.push_back(MakeDemand(entry, elapsed));
  m_last_report_time = now;
  return request;
}

AllotmentDemand AllotmentHolder::MakeDemand(const TrackedEntry& entry,
                                            MonoClock::duration elapsed) const {
  const LimitKind kind = entry.m_tracked_limit.m_limit.m_kind;
  const bool is_rate = kind == LimitKind::kLink;
  const Usage usage = is_rate ? entry.m_cell->TakeRateUsage(elapsed)
                              : entry.m_cell->TakeUnitUsage();
  return {.m_limit = entry.m_tracked_limit.m_limit,
          .m_cap = entry.m_tracked_limit.m_cap,
          .m_availability_zone = entry.m_tracked_limit.m_zone,
          .m_in_use = usage.m_in_use,
          .m_wanted = entry.m_is_untracked
                          ? 0
                          : std::max(usage.m_wanted,
                                     entry.m_tracked_limit.m_min_demand)};
}

bool AllotmentHolder::OnReply(const AllotmentReply& reply) {
  const auto sent_at = m_send_times.find(reply.m_sequence);
  if (reply.m_leader || sent_at == m_send_times.end() ||
      reply.m_sequence <= m_adopted_sequence)
    return false;
  const MonoTime lease_end = sent_at->second + reply.m_lease;
  std::map<LimitId, Grant> grants;
  for (const Allotment& allotment : reply.m_allotments) {
    grants[allotment.m_limit] = {.m_safe = allotment.m_safe,
                                 .m_leased = allotment.m_leased,
                                 .m_expires = lease_end};
  }
  for (const auto& [limit, entry] : m_entries) {
    if (!entry.m_is_untracked)
      entry.m_cell->Adopt(grants[limit]);
  }
  m_adopted_sequence = reply.m_sequence;
  m_lease_end = lease_end;
  m_send_times.erase(m_send_times.begin(), std::next(sent_at));
  return true;
}

}  // namespace jujube::limits
