#include "quotas/quota_holder.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "quotas/quota_bound.h"
#include "quotas/quota_ledger.h"
#include "quotas/quota_timing.h"

namespace jujube::quotas {
namespace {

using std::chrono::milliseconds;

// A tenant is at its limit until no request was refused for this long.
constexpr milliseconds kAtLimitTime{5000};
// Fraction of the tokens whose use is reported without delay.
constexpr std::uint32_t kReportedFraction = 4;

}  // namespace

QuotaHolder::QuotaHolder(HostId host, std::uint64_t incarnation)
    : m_host(std::move(host)),
      m_incarnation(incarnation),
      m_lease(std::make_shared<QuotaLease>()),
      m_table(std::make_shared<const QuotaTable>()) {}

QuotaHolder::Tokens& QuotaHolder::TokensOf(std::uint64_t tenant) {
  Tokens& tokens = m_tokens[tenant];
  if (!tokens.m_cell)
    tokens.m_cell = std::make_shared<QuotaCell>(m_lease);
  return tokens;
}

// A cell remains when its tenant vanishes, since its counters must not go back.
void QuotaHolder::SetTenants(const std::vector<Tenant>& tenants) {
  m_tenants = tenants;
  m_is_report_wanted = true;
  std::vector<std::shared_ptr<QuotaCell>> cells;
  cells.reserve(tenants.size());
  for (const Tenant& tenant : tenants) {
    cells.push_back(HasQuota(tenant) ? TokensOf(TenantKey(tenant.m_name)).m_cell
                                     : nullptr);
  }
  m_table = std::make_shared<const QuotaTable>(std::move(cells));
  std::erase_if(m_at_limit, [&](const auto& element) {
    return std::none_of(
        tenants.begin(), tenants.end(), [&](const Tenant& tenant) {
          return HasQuota(tenant) && tenant.m_name == element.first;
        });
  });
}

void QuotaHolder::OnLeader(const QuotaLeader& leader, MonoTime confirmed_at) {
  if (confirmed_at <= m_leader_confirmed_at)
    return;
  m_leader_confirmed_at = confirmed_at;
  if (m_leader == leader)
    return;
  m_leader = leader;
  m_sent_at.clear();  // grants of the earlier leader are ignored
  m_reported_at = MonoTime{};
  Restate();
}

void QuotaHolder::ExpireLease(MonoTime now) {
  if (m_lease->End() == MonoTime{} || now < m_lease->End())
    return;
  for (auto& [key, tokens] : m_tokens)
    tokens.m_cell->DropTokens();
  m_lease->SetEnd(MonoTime{});
  m_sent_at.clear();
  Restate();
}

// ---- Reports ---------------------------------------------------------------

bool QuotaHolder::IsUseDue(const Tokens& tokens, MonoTime now) const {
  const QuotaCount count = tokens.m_cell->Count();
  const std::uint32_t used = count.m_spent - tokens.m_reported_spent;
  if (tokens.m_cell->Lacked() != tokens.m_reported_lacked ||
      tokens.m_is_reduced)
    return true;
  if (used == 0)
    return false;
  const auto left =
      static_cast<std::uint32_t>(std::max<std::int32_t>(0, count.Left()));
  return used >= (left + used) / kReportedFraction ||
         now - tokens.m_reported_at >= kMaxUseAge;
}

bool QuotaHolder::IsReportDue(MonoTime now) {
  const MonoClock::duration elapsed = now - m_reported_at;
  if (!m_leader || elapsed < kUrgentReportInterval)
    return false;
  // Their grants would have run out on arrival.
  std::erase_if(m_sent_at, [&](const auto& element) {
    return now - element.second >= kGrantLease;
  });
  // Reports or answers were lost.
  if (!m_sent_at.empty() &&
      now - std::max(m_sent_at.begin()->second, m_answered_at) > kAnswerTimeout)
    Restate();
  const bool has_quotas =
      std::any_of(m_tenants.begin(), m_tenants.end(), HasQuota);
  if (m_is_report_wanted && has_quotas && elapsed >= kFirstReportInterval)
    return true;
  const bool is_in_flight =
      !m_sent_at.empty() && now - m_sent_at.rbegin()->second < kMaxRoundTrip;
  if (m_lease->IsWanted() && !is_in_flight)
    return true;
  if (elapsed >= kFirstReportInterval && has_quotas && m_adopted == 0)
    return true;
  if (now - m_use_reported_at < kReportInterval)
    return false;
  const bool is_renewal_due =
      has_quotas && m_lease->End() - now <= kRenewBefore;
  return is_renewal_due ||
         std::any_of(m_tokens.begin(), m_tokens.end(), [&](const auto& item) {
           return IsUseDue(item.second, now);
         });
}

std::optional<QuotaReport> QuotaHolder::NextReport(MonoTime now) {
  ExpireLease(now);
  if (!IsReportDue(now))
    return std::nullopt;
  return MakeReport(now);
}

QuotaReport QuotaHolder::MakeReport(MonoTime now) {
  QuotaReport report{.m_host = m_host,
                     .m_incarnation = m_incarnation,
                     .m_sequence = ++m_sequence,
                     .m_adopted = m_adopted};
  m_lease->ClearWanted();
  // An urgent report names only the tenants that need tokens.
  const bool is_urgent = now - m_use_reported_at < kReportInterval;
  if (!is_urgent)
    m_use_reported_at = now;
  for (auto& [key, tokens] : m_tokens) {
    const bool is_wanted = tokens.m_cell->TakeWanted();
    const QuotaCount count = tokens.m_cell->Count();
    const std::uint32_t lacked = tokens.m_cell->Lacked();
    const bool is_used = count != QuotaCount{} || lacked != 0;
    const bool is_due =
        m_adopted == 0
            ? is_used
            : tokens.m_is_reduced || (!is_urgent && IsUseDue(tokens, now));
    if (!is_due && !is_wanted)
      continue;
    UpdateInterval(tokens, count.m_spent - tokens.m_reported_spent, now);
    tokens.m_reported_spent = count.m_spent;
    tokens.m_reported_lacked = lacked;
    tokens.m_reported_at = now;
    tokens.m_is_reduced = false;
    report.m_uses.push_back({.m_tenant = key,
                             .m_spent = count.m_spent,
                             .m_limit = count.m_limit,
                             .m_refused = lacked});
  }
  m_sent_at[m_sequence] = now;
  m_reported_at = now;
  m_is_report_wanted = false;
  return report;
}

// Requests accepted lately show how often there is a token.
void QuotaHolder::UpdateInterval(const Tokens& tokens,
                                 std::uint32_t spent,
                                 MonoTime now) {
  const MonoClock::duration elapsed =
      std::min<MonoClock::duration>(now - tokens.m_reported_at, kMaxUseAge);
  tokens.m_cell->SetInterval(elapsed / (spent + 1));
}

// ---- Grants ----------------------------------------------------------------

bool QuotaHolder::OnGrant(const QuotaLeader& sender, const QuotaGrant& grant) {
  const auto sent_at = m_sent_at.find(grant.m_sequence);
  if (sender != m_leader || sent_at == m_sent_at.end())
    return false;
  m_answered_at = std::max(m_answered_at, sent_at->second);
  m_lease->SetAnsweredAt(m_answered_at);
  if (grant.m_lease <= milliseconds(0)) {
    m_sent_at.erase(m_sent_at.begin(), std::next(sent_at));
    Restate();
    return true;
  }
  if (grant.m_sequence <= m_last_adopted)
    return false;
  // Times only count forward: an earlier grant may have been answered late.
  const MonoTime lease_end =
      std::max(m_lease->End(), sent_at->second + grant.m_lease);
  m_sent_at.erase(m_sent_at.begin(), std::next(sent_at));
  for (const QuotaShare& share : grant.m_shares) {
    Tokens& tokens = TokensOf(share.m_tenant);
    const auto raised_by = static_cast<std::int32_t>(
        share.m_limit - tokens.m_cell->Count().m_limit);
    tokens.m_cell->SetLimit(share.m_limit);
    if (raised_by < 0) {
      tokens.m_is_reduced = true;
      m_is_report_wanted = true;
    }
  }
  m_adopted = grant.m_sequence;
  m_last_adopted = grant.m_sequence;
  // Only now, since the tokens of an earlier lease were dropped before.
  m_lease->SetEnd(lease_end);
  return true;
}

// ---- Tenants at their limit ------------------------------------------------

std::vector<LimitChange> QuotaHolder::TakeLimitChanges(MonoTime now) {
  std::vector<LimitChange> changes;
  for (const Tenant& tenant : m_tenants) {
    if (!HasQuota(tenant))
      continue;
    const std::uint32_t refused =
        TokensOf(TenantKey(tenant.m_name)).m_cell->Refused();
    std::uint32_t& checked = m_checked_refused[tenant.m_name];
    const std::uint32_t before = std::exchange(checked, refused);
    if (refused == before)
      continue;
    const auto [at_limit, is_new] = m_at_limit.try_emplace(
        tenant.m_name, AtLimit{.m_refused_before = before});
    at_limit->second.m_refused = refused;
    at_limit->second.m_refused_at = now;
    if (is_new) {
      changes.push_back({.m_tenant = tenant.m_name,
                         .m_is_at_limit = true,
                         .m_refused = refused - before});
    }
  }
  std::erase_if(m_at_limit, [&](const auto& element) {
    const AtLimit& state = element.second;
    if (now - state.m_refused_at < kAtLimitTime)
      return false;
    changes.push_back({.m_tenant = element.first,
                       .m_refused = state.m_refused - state.m_refused_before});
    return true;
  });
  return changes;
}

}  // namespace jujube::quotas
