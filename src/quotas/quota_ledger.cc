#include "quotas/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "core/hash.h"
#include "quotas/quota_timing.h"

namespace jujube::quotas {
namespace {

using std::chrono::milliseconds;

// Part of the tokens of a tenant that is kept at the leader if all hosts have
// their fair part, for the first host that needs more.
constexpr double kReserve = 0.25;
// Part that is kept even then. A quota may have hardly more tokens than there
// are hosts: better a host waits for one than that all lie where they are not
// needed.
constexpr double kLastReserve = 0.15;
// Weights of the fair part of a host: the demand at the host itself, the demand
// in its zone, where callers move to other hosts, and all hosts equally, for
// callers that move to another zone.
constexpr double kOwnWeight = 0.6;
constexpr double kZoneWeight = 0.25;
constexpr double kEqualWeight = 1 - kOwnWeight - kZoneWeight;
// A demand below this many requests per second is none.
constexpr double kMinDemand = 1e-3;
// A host should hold tokens for this long: two report intervals and the time
// that an answer takes.
constexpr double kNeedSeconds = 1.2;
// Time for which other hosts return tokens after one had too few.
constexpr milliseconds kShortTime{2000};
// The sums over all hosts may be this old.
constexpr milliseconds kDemandAge{200};
// Tenants that are looked at in each report besides those that it names. All
// tenants of a small deployment; 10,000 tenants are looked at within 80 s.
constexpr std::size_t kTenantsPerReport = 128;
constexpr milliseconds kSweepInterval{1000};
// Counters are compared modulo 2^32, so a host must hold less than half of it.
constexpr double kMaxTokensPerHost = 1 << 30;

double Rounded(double tokens) {
  return std::floor(tokens + 0.5);
}

}  // namespace

std::uint64_t TenantKey(const TenantId& tenant) {
  return Hash64(tenant.m_value);
}

// ---- Terms and tenants -----------------------------------------------------

void QuotaLedger::StartTerm(MonoTime grants_from) {
  EndTerm();
  m_grants_from = grants_from;
  m_may_have_unaccounted = true;
}

void QuotaLedger::EndTerm() {
  m_grants_from.reset();
  m_hosts.clear();
  m_hosts_by_zone.clear();
  m_tenants.clear();
  m_keys.clear();
}

void QuotaLedger::SetTenants(const std::vector<Tenant>& tenants, MonoTime now) {
  if (!m_grants_from)
    return;
  ExpireLeases(now);
  for (auto& [key, tenant] : m_tenants)
    tenant.m_is_listed = false;
  m_keys.clear();
  for (const Tenant& tenant : tenants) {
    if (!HasQuota(tenant))
      continue;
    const std::uint64_t key = TenantKey(tenant.m_name);
    const QuotaBound bound = MakeBound(tenant, m_settings);
    auto found = m_tenants.find(key);
    if (found == m_tenants.end()) {
      // Under an earlier leader, the tenant may have had tokens.
      const MonoTime refilled_at = std::max(now, *m_grants_from);
      const TenantBucket bucket =
          m_may_have_unaccounted ? TenantBucket::Unaccounted(bound, refilled_at)
                                 : TenantBucket::Full(bound, refilled_at);
      found = m_tenants.emplace(key, TenantState{.m_bucket = bucket}).first;
      for (auto& [host_key, host] : m_hosts) {
        const auto part = host.m_parts.find(key);
        if (part != host.m_parts.end())
          found->second.m_bucket.OnFound(part->second.m_tokens.Outstanding());
      }
    } else if (found->second.m_bucket.Bound() != bound) {
      found->second.m_bucket.SetBound(bound, now);
    }
    m_keys.push_back(key);
    found->second.m_is_listed = true;
  }
  // A tenant that returns before its bucket is full again, also with another
  // rate, continues with the level that it had.
  for (auto& [key, tenant] : m_tenants)
    tenant.m_bucket.Refill(now);
  std::erase_if(m_tenants, [](const auto& element) {
    return !element.second.m_is_listed && element.second.m_bucket.IsFull();
  });
}

void QuotaLedger::ExpireLeases(MonoTime now) {
  if (m_may_have_unaccounted && m_grants_from &&
      now >= *m_grants_from + kGrantLeaseAtLeader) {
    m_may_have_unaccounted = false;
    for (auto& [key, tenant] : m_tenants)
      tenant.m_bucket.OnEarlierLeasesExpired();
  }
  const std::size_t removed = std::erase_if(m_hosts, [&](const auto& element) {
    if (now < element.second.m_lease_end)
      return false;
    for (const auto& [key, part] : element.second.m_parts)
      Apply(key, {.m_spent = part.m_tokens.Outstanding()});
    return true;
  });
  if (removed == 0)
    return;
  m_hosts_by_zone.clear();
  for (const auto& [key, host] : m_hosts)
    ++m_hosts_by_zone[host.m_zone];
}

bool QuotaLedger::IsListed(std::uint64_t tenant) const {
  const auto found = m_tenants.find(tenant);
  return found != m_tenants.end() && found->second.m_is_listed;
}

// ---- Reports ---------------------------------------------------------------

void QuotaLedger::Apply(std::uint64_t tenant, const TokenChange& change) {
  const auto found = m_tenants.find(tenant);
  if (found == m_tenants.end())
    return;
  TenantBucket& bucket = found->second.m_bucket;
  bucket.OnSpent(change.m_spent);
  bucket.OnReturned(change.m_returned);
}

void QuotaLedger::OnUse(Host& host,
                        const QuotaUse& use,
                        bool is_new,
                        MonoTime now) {
  const auto [found, is_new_part] = host.m_parts.try_emplace(use.m_tenant);
  Part& part = found->second;
  if (is_new) {
    // Requests that were counted before are no recent demand.
    part.m_tokens = GrantedTokens(use.m_spent, use.m_limit);
    part.m_refused = use.m_refused;
    const auto tenant = m_tenants.find(use.m_tenant);
    if (tenant != m_tenants.end())
      tenant->second.m_bucket.OnFound(part.m_tokens.Outstanding());
    return;
  }
  const std::uint32_t requests =
      (use.m_spent - part.m_tokens.Spent()) + (use.m_refused - part.m_refused);
  part.m_is_lacking = use.m_refused != part.m_refused;
  part.m_refused = use.m_refused;
  part.m_demand.Add(requests, now);
  Apply(use.m_tenant, part.m_tokens.OnSpent(use.m_spent));
}

// The report names all tenants of which the host holds tokens.
void QuotaLedger::OnComplete(Host& host,
                             const QuotaReport& report,
                             bool is_new) {
  if (is_new)
    return;
  std::unordered_map<std::uint64_t, std::uint32_t> limits;
  for (const QuotaUse& use : report.m_uses)
    limits[use.m_tenant] = use.m_limit;
  for (auto& [key, part] : host.m_parts) {
    const auto limit = limits.find(key);
    Apply(key, part.m_tokens.OnRestated(limit != limits.end()
                                            ? limit->second
                                            : part.m_tokens.Spent()));
  }
}

std::optional<QuotaGrant> QuotaLedger::OnReport(const QuotaReport& report,
                                                const AvailabilityZoneId& zone,
                                                MonoTime now) {
  if (!IsGranting(now))
    return std::nullopt;
  ExpireLeases(now);
  const HostKey host_key{report.m_host, report.m_incarnation};
  const auto existing = m_hosts.find(host_key);
  const bool is_new = existing == m_hosts.end();
  // Adopted from an earlier leader, or before the lease ran out here.
  if (is_new && report.m_adopted != 0)
    return QuotaGrant{.m_sequence = report.m_sequence};
  if (!is_new && report.m_sequence <= existing->second.m_sequence)
    return std::nullopt;
  Host& host = is_new ? m_hosts[host_key] : existing->second;
  if (is_new) {
    host.m_zone = zone;
    ++m_hosts_by_zone[zone];
  }
  host.m_sequence = report.m_sequence;
  host.m_lease_end = now + kGrantLeaseAtLeader;
  std::unordered_set<std::uint64_t> reported;
  for (const QuotaUse& use : report.m_uses) {
    if (reported.insert(use.m_tenant).second)
      OnUse(host, use, is_new, now);
  }
  if (report.m_adopted == 0)
    OnComplete(host, report, is_new);
  std::vector<std::uint64_t> pending;
  for (auto& [key, part] : host.m_parts) {
    TokenChange change = part.m_tokens.OnAdopted(report.m_adopted);
    // Without the host's count, some of the tokens may have been spent.
    if (!reported.contains(key))
      change = {.m_spent = change.m_returned};
    Apply(key, change);
    const bool is_stated = part.m_tokens.IsPending() ||
                           (part.m_tokens.Outstanding() > 0 && !IsListed(key));
    if (is_stated && !reported.contains(key))
      pending.push_back(key);
  }
  QuotaGrant grant{.m_sequence = report.m_sequence, .m_lease = kGrantLease};
  const auto add = [&](std::uint64_t key, bool is_reported) {
    const std::optional<std::uint32_t> limit =
        NextLimit(key, host, is_reported, now);
    if (!limit)
      return;
    host.m_parts[key].m_is_lacking = false;
    host.m_parts[key].m_tokens.OnGranted(report.m_sequence, *limit);
    grant.m_shares.push_back({.m_tenant = key, .m_limit = *limit});
  };
  for (const std::uint64_t key : reported)
    add(key, true);
  for (const std::uint64_t key : pending)
    add(key, false);
  reported.insert(pending.begin(), pending.end());
  // An urgent report follows others closely.
  const bool is_sweep_due = now - host.m_swept_at >= kSweepInterval;
  const std::size_t count =
      is_sweep_due ? std::min(kTenantsPerReport, m_keys.size()) : 0;
  if (is_sweep_due)
    host.m_swept_at = now;
  for (std::size_t i = 0; i < count; ++i) {
    host.m_next_tenant = (host.m_next_tenant + 1) % m_keys.size();
    const std::uint64_t key = m_keys[host.m_next_tenant];
    if (!reported.contains(key))
      add(key, false);
  }
  return grant;
}

// ---- Parts -----------------------------------------------------------------

void QuotaLedger::UpdateDemand(std::uint64_t key,
                               TenantState& tenant,
                               MonoTime now) {
  Demand& demand = tenant.m_demand;
  if (now - demand.m_computed_at < kDemandAge)
    return;
  demand = {.m_computed_at = now};
  for (const auto& [host_key, host] : m_hosts) {
    const auto part = host.m_parts.find(key);
    if (part == host.m_parts.end())
      continue;
    const double per_s = part->second.m_demand.PerSecond(now);
    demand.m_total += per_s;
    demand.m_by_zone[host.m_zone] += per_s;
  }
}

double QuotaLedger::FairPart(const TenantState& tenant,
                             const Host& host,
                             double demand) const {
  const TenantBucket& bucket = tenant.m_bucket;
  const double tokens =
      (1 - kReserve) *
      std::min(bucket.Level() + static_cast<double>(bucket.Outstanding()),
               bucket.Bound().m_capacity);
  const double equal = 1.0 / static_cast<double>(m_hosts.size());
  const double total = tenant.m_demand.m_total;
  if (total < kMinDemand)
    return tokens * equal;
  const auto zone = tenant.m_demand.m_by_zone.find(host.m_zone);
  const double zone_demand =
      zone != tenant.m_demand.m_by_zone.end() ? zone->second : 0;
  const auto zone_hosts = static_cast<double>(m_hosts_by_zone.at(host.m_zone));
  return tokens * (kOwnWeight * std::min(1.0, demand / total) +
                   kZoneWeight * zone_demand / total / zone_hosts +
                   kEqualWeight * equal);
}

std::uint32_t QuotaLedger::Raise(TenantState& tenant,
                                 const Part& part,
                                 double fair,
                                 double demand,
                                 bool is_reported) {
  // Hosts that do without leave the rest to those that lack tokens now.
  const double level =
      tenant.m_bucket.Level() -
      (part.m_is_lacking ? 0
                         : kLastReserve * tenant.m_bucket.Bound().m_capacity);
  if (level < 1)
    return 0;
  const double outstanding = part.m_tokens.Outstanding();
  double wanted = fair - outstanding;
  // Small changes are left until the tenant is reported, to save messages.
  if (!is_reported && wanted < std::max(2.0, outstanding / 2))
    wanted = 0;
  const double needed = demand * kNeedSeconds;
  if (is_reported && outstanding < needed) {
    // No host takes all that is left at once.
    wanted = std::max(wanted,
                      std::min(std::ceil(needed - outstanding), level / 2 + 1));
  }
  // A part that rounds to nothing would starve the host.
  if (outstanding == 0)
    wanted = std::max(wanted, 1.0);
  return static_cast<std::uint32_t>(
      std::clamp(wanted, 0.0, kMaxTokensPerHost - outstanding));
}

std::optional<std::uint32_t> QuotaLedger::Reduce(const TenantState& tenant,
                                                 const Part& part,
                                                 double fair,
                                                 double demand,
                                                 MonoTime now) {
  const TenantBucket& bucket = tenant.m_bucket;
  const bool is_needed =
      now < tenant.m_short_until ||
      static_cast<double>(bucket.Outstanding()) > bucket.Bound().m_capacity;
  if (part.m_tokens.IsPending() || !is_needed)
    return std::nullopt;
  const double outstanding = part.m_tokens.Outstanding();
  // What a host needs beyond its fair part would be missing elsewhere.
  const double keep =
      Rounded(std::max(fair, std::min(demand * kNeedSeconds, 2 * fair)));
  const double excess = outstanding - keep;
  // Half of the part at least, since each change costs two messages.
  if (excess < 1 || excess < outstanding / 2)
    return std::nullopt;
  return part.m_tokens.Spent() + static_cast<std::uint32_t>(keep);
}

std::optional<std::uint32_t> QuotaLedger::NextLimit(std::uint64_t key,
                                                    Host& host,
                                                    bool is_reported,
                                                    MonoTime now) {
  Part& part = host.m_parts[key];
  const auto restated = part.m_tokens.IsPending()
                            ? std::optional(part.m_tokens.Limit())
                            : std::nullopt;
  // The tokens of a tenant without a quota are taken back.
  if (!IsListed(key)) {
    return part.m_tokens.Outstanding() > 0
               ? std::optional(part.m_tokens.Spent())
               : restated;
  }
  const auto found = m_tenants.find(key);
  TenantState& tenant = found->second;
  tenant.m_bucket.Refill(now);
  UpdateDemand(key, tenant, now);
  const double demand = part.m_demand.PerSecond(now);
  const double fair = FairPart(tenant, host, demand);
  const std::uint32_t outstanding = part.m_tokens.Outstanding();
  const std::uint32_t taken =
      tenant.m_bucket.Take(Raise(tenant, part, fair, demand, is_reported));
  const double held = static_cast<double>(outstanding) + taken;
  if (is_reported && demand > kMinDemand &&
      held < std::max(1.0, demand * kNeedSeconds / 2))
    tenant.m_short_until = now + kShortTime;
  if (taken > 0)
    return part.m_tokens.Spent() + outstanding + taken;
  const std::optional<std::uint32_t> reduced =
      Reduce(tenant, part, fair, demand, now);
  return reduced ? reduced : restated;
}

// ---- Status ----------------------------------------------------------------

double QuotaLedger::Level(std::uint64_t tenant) const {
  const auto found = m_tenants.find(tenant);
  return found != m_tenants.end() ? found->second.m_bucket.Level() : 0;
}

std::uint64_t QuotaLedger::Outstanding(std::uint64_t tenant) const {
  const auto found = m_tenants.find(tenant);
  return found != m_tenants.end() ? found->second.m_bucket.Outstanding() : 0;
}

}  // namespace jujube::quotas
