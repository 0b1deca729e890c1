// QuotaHolder: quota tokens of an entry host.
//
//   holder.SetTenants(document.m_tenants);          // then publish Table()
//   holder.OnLeader(leader, confirmed_at);          // each ConfigLease
//   if (auto report = holder.NextReport(now))       // each tick
//     ...send it to holder.Leader()...
//   holder.OnGrant(leader, grant);
//
// Belongs to the control thread, which calls NextReport in each tick, and
// within 20 ms if IsReportWanted(). Workers spend the tokens of the cells.
//
// Tokens are valid until the end of the lease, which counts from the time at
// which the report was sent, on a clock that counts suspended time. They remain
// valid when the leader changes: the first report to a new leader names them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "gen/deployment.h"
#include "gen/quotas.h"
#include "gen/types.h"
#include "quotas/limit_change.h"
#include "quotas/quota_cell.h"
#include "quotas/quota_leader.h"
#include "quotas/quota_lease.h"
#include "quotas/quota_table.h"

namespace jujube::quotas {

class QuotaHolder {
 public:
  QuotaHolder(HostId host, std::uint64_t incarnation);

  // In the order of the tenants of a TenantTable.
  void SetTenants(const std::vector<Tenant>& tenants);
  std::shared_ptr<const QuotaTable> Table() const { return m_table; }

  // A process stated that it was the leader at this time. An older statement
  // than that of the leader in office is ignored.
  void OnLeader(const QuotaLeader& leader, MonoTime confirmed_at);
  const std::optional<QuotaLeader>& Leader() const { return m_leader; }

  // Gives up the tokens of an expired lease.
  void ExpireLease(MonoTime now);

  // As ExpireLease, while the leader is connected. Returns a report if one is
  // due; it has to be sent at once.
  std::optional<QuotaReport> NextReport(MonoTime now);

  // Returns false if the grant is ignored: it is not from the leader, or older
  // than the last one.
  bool OnGrant(const QuotaLeader& sender, const QuotaGrant& grant);

  // Tenants that reached their quota since the last call, and those of which no
  // request was refused for a while.
  std::vector<LimitChange> TakeLimitChanges(MonoTime now);
  std::size_t TenantsAtLimit() const { return m_at_limit.size(); }

  // True if a request waits for tokens. May be called on any thread.
  bool IsReportWanted() const { return m_lease->IsWanted(); }

  MonoTime LeaseEnd() const { return m_lease->End(); }

 private:
  struct Tokens {
    std::shared_ptr<QuotaCell> m_cell;
    std::uint32_t m_reported_spent = 0;
    std::uint32_t m_reported_lacked = 0;
    MonoTime m_reported_at{};
    // The leader must learn the count before it can use tokens taken back.
    bool m_is_reduced = false;
  };
  struct AtLimit {
    std::uint32_t m_refused_before = 0;  // counter when it reached the limit
    std::uint32_t m_refused = 0;         // last counter
    MonoTime m_refused_at;
  };

  Tokens& TokensOf(std::uint64_t tenant);
  // The next report names all tokens.
  void Restate() { m_adopted = 0; }
  bool IsUseDue(const Tokens& tokens, MonoTime now) const;
  bool IsReportDue(MonoTime now);
  QuotaReport MakeReport(MonoTime now);
  void UpdateInterval(const Tokens& tokens, std::uint32_t spent, MonoTime now);

  const HostId m_host;
  const std::uint64_t m_incarnation;
  const std::shared_ptr<QuotaLease> m_lease;
  std::vector<Tenant> m_tenants;
  std::shared_ptr<const QuotaTable> m_table;
  std::unordered_map<std::uint64_t, Tokens> m_tokens;

  std::optional<QuotaLeader> m_leader;
  MonoTime m_leader_confirmed_at{};
  std::uint64_t m_sequence = 0;      // of the last report
  std::uint64_t m_adopted = 0;       // as reported; 0 after Restate()
  std::uint64_t m_last_adopted = 0;  // no older grant may be adopted
  std::map<std::uint64_t, MonoTime> m_sent_at;  // of unanswered reports
  MonoTime m_reported_at{};
  MonoTime m_answered_at{};
  // A grant took tokens back, or the document has new quotas.
  bool m_is_report_wanted = false;
  MonoTime m_use_reported_at{};  // last report of all use that is due
  std::map<TenantId, AtLimit> m_at_limit;
  std::map<TenantId, std::uint32_t> m_checked_refused;
};

}  // namespace jujube::quotas
