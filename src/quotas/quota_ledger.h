// QuotaLedger: grants the requests that entry hosts may accept; at the leader
// of the control hosts.
//
//   ledger.StartTerm(now + kConfirmationBound);      // elected
//   ledger.SetTenants(document.m_tenants, now);      // each document
//   if (auto grant = ledger.OnReport(report, zone, now))
//     ...send it...                                  // only while confirmed
//   ledger.EndTerm();
//
// One token bucket for each tenant (TenantBucket). Entry hosts hold tokens in
// advance; the parts follow the recent demand at each host, then in its zone,
// and the rest is equal. The ledger is in memory only: a new leader learns from
// the reports what hosts hold, and takes the rest to be with hosts that it
// cannot hear until their leases have run out.
//
// Not thread-safe.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "gen/deployment.h"
#include "gen/quotas.h"
#include "gen/settings.h"
#include "gen/types.h"
#include "quotas/granted_tokens.h"
#include "quotas/recent_demand.h"
#include "quotas/tenant_bucket.h"

namespace jujube::quotas {

// Key of a tenant in messages.
std::uint64_t TenantKey(const TenantId& tenant);

class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaSettings& settings) : m_settings(settings) {}

  // From `grants_from` on, no earlier leader grants any more.
  void StartTerm(MonoTime grants_from);
  void EndTerm();

  void SetTenants(const std::vector<Tenant>& tenants, MonoTime now);

  // Empty if this host does not grant yet, or if the report is older than one
  // that was answered. The caller must have confirmed within
  // kConfirmationBound that this host leads.
  std::optional<QuotaGrant> OnReport(const QuotaReport& report,
                                     const AvailabilityZoneId& zone,
                                     MonoTime now);

  // For tests and status: tokens at the leader, and with the entry hosts.
  double Level(std::uint64_t tenant) const;
  std::uint64_t Outstanding(std::uint64_t tenant) const;

 private:
  struct Part {
    GrantedTokens m_tokens;
    std::uint32_t m_refused = 0;  // counter of the last report
    bool m_is_lacking = false;    // a request found no token
    RecentDemand m_demand;
  };
  struct Host {
    AvailabilityZoneId m_zone;
    std::uint64_t m_sequence = 0;  // of the last report
    MonoTime m_lease_end;          // of the last grant
    MonoTime m_swept_at{};
    std::size_t m_next_tenant = 0;  // position in m_keys to look at next
    std::unordered_map<std::uint64_t, Part> m_parts;
  };
  struct Demand {
    double m_total = 0;  // requests per second
    std::map<AvailabilityZoneId, double> m_by_zone;
    MonoTime m_computed_at{};
  };
  struct TenantState {
    TenantBucket m_bucket;
    bool m_is_listed = true;  // in the document in force
    Demand m_demand;
    MonoTime m_short_until{};  // a host lacks tokens that others may hold
  };
  // Processes of entry hosts. An earlier process of a host may still hold
  // tokens, so its part is kept until its lease ends.
  using HostKey = std::pair<HostId, std::uint64_t>;

  bool IsGranting(MonoTime now) const {
    return m_grants_from && now >= *m_grants_from;
  }
  bool IsListed(std::uint64_t tenant) const;
  void ExpireLeases(MonoTime now);
  void OnUse(Host& host, const QuotaUse& use, bool is_new, MonoTime now);
  void OnComplete(Host& host, const QuotaReport& report, bool is_new);
  void Apply(std::uint64_t tenant, const TokenChange& change);
  void UpdateDemand(std::uint64_t key, TenantState& tenant, MonoTime now);
  double FairPart(const TenantState& tenant,
                  const Host& host,
                  double demand) const;
  // Limit for the next grant; nullopt if it need not be stated.
  std::optional<std::uint32_t> NextLimit(std::uint64_t key,
                                         Host& host,
                                         bool is_reported,
                                         MonoTime now);
  static std::uint32_t Raise(TenantState& tenant,
                             const Part& part,
                             double fair,
                             double demand,
                             bool is_reported);
  static std::optional<std::uint32_t> Reduce(const TenantState& tenant,
                                             const Part& part,
                                             double fair,
                                             double demand,
                                             MonoTime now);

  const QuotaSettings m_settings;
  std::optional<MonoTime> m_grants_from;
  bool m_may_have_unaccounted = false;  // tokens of an earlier leader
  std::map<HostKey, Host> m_hosts;
  std::map<AvailabilityZoneId, std::size_t> m_hosts_by_zone;
  std::unordered_map<std::uint64_t, TenantState> m_tenants;
  std::vector<std::uint64_t> m_keys;  // listed tenants
};

}  // namespace jujube::quotas
