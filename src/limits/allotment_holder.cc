#include "limits/allotment_holder.h"

#include <algorithm>
#include <utility>

namespace jujube::limits {

namespace {

// Requests that may still be answered; a lease of an older one has expired.
constexpr std::size_t kMaxSent = 64;

}  // namespace

AllotmentHolder::AllotmentHolder(HostId host, std::uint64_t incarnation)
    : m_host(std::move(host)),
      m_incarnation(incarnation),
      m_table(std::make_shared<const LimitTable>()) {}

void AllotmentHolder::Track(const TrackedLimit& limit) {
  const auto [at, added] = m_tracked.try_emplace(limit.m_limit);
  Tracked& tracked = at->second;
  tracked.m_limit = limit;
  tracked.m_forgotten = false;
  if (!added)
    return;
  tracked.m_cell = std::make_shared<LimitCell>();
  RebuildTable();
}

void AllotmentHolder::Forget(const LimitId& limit) {
  const auto at = m_tracked.find(limit);
  if (at == m_tracked.end())
    return;
  // Readers of an older table must not acquire units that nobody reports.
  at->second.m_cell->Adopt(Grant{});
  at->second.m_forgotten = true;
}

void AllotmentHolder::DropForgotten() {
  const std::size_t dropped = std::erase_if(m_tracked, [](const auto& entry) {
    const Tracked& tracked = entry.second;
    return tracked.m_forgotten && tracked.m_cell->InUse() == 0;
  });
  if (dropped > 0)
    RebuildTable();
}

void AllotmentHolder::RebuildTable() {
  LimitTable::Cells cells;
  for (const auto& [limit, tracked] : m_tracked)
    cells.emplace(limit, tracked.m_cell);
  m_table = std::make_shared<const LimitTable>(std::move(cells));
}

AllotmentRequest AllotmentHolder::NextRequest(std::uint64_t index_in_force,
                                              MonoTime now) {
  DropForgotten();
  ++m_sequence;
  m_sent.emplace(m_sequence, now);
  if (m_sent.size() > kMaxSent)
    m_sent.erase(m_sent.begin());
  AllotmentRequest request{.m_host = m_host,
                           .m_incarnation = m_incarnation,
                           .m_sequence = m_sequence,
                           .m_adopted = m_adopted,
                           .m_index_in_force = index_in_force};
  const MonoClock::duration elapsed = now - m_last_report;
  for (const auto& [limit, tracked] : m_tracked)
    request.m_demands.push_back(MakeDemand(tracked, elapsed));
  m_last_report = now;
  return request;
}

AllotmentDemand AllotmentHolder::MakeDemand(const Tracked& tracked,
                                            MonoClock::duration elapsed) const {
  const LimitKind kind = tracked.m_limit.m_limit.m_kind;
  const bool rate = kind == LimitKind::kLink;
  const Usage usage = rate ? tracked.m_cell->TakeRateUsage(elapsed)
                           : tracked.m_cell->TakeUnitUsage();
  return {.m_limit = tracked.m_limit.m_limit,
          .m_cap = tracked.m_limit.m_cap,
          .m_availability_zone = tracked.m_limit.m_zone,
          .m_in_use = usage.m_in_use,
          .m_wanted = tracked.m_forgotten
                          ? 0
                          : std::max(usage.m_wanted, tracked.m_limit.m_floor)};
}

bool AllotmentHolder::OnReply(const AllotmentReply& reply) {
  const auto sent = m_sent.find(reply.m_sequence);
  if (reply.m_leader || sent == m_sent.end() || reply.m_sequence <= m_adopted)
    return false;
  const MonoTime expires = sent->second + reply.m_lease;
  std::map<LimitId, Grant> grants;
  for (const Allotment& allotment : reply.m_allotments) {
    grants[allotment.m_limit] = {.m_safe = allotment.m_safe,
                                 .m_leased = allotment.m_leased,
                                 .m_expires = expires};
  }
  for (const auto& [limit, tracked] : m_tracked) {
    if (!tracked.m_forgotten)
      tracked.m_cell->Adopt(grants[limit]);
  }
  m_adopted = reply.m_sequence;
  m_lease_end = expires;
  m_sent.erase(m_sent.begin(), std::next(sent));
  return true;
}

}  // namespace jujube::limits
