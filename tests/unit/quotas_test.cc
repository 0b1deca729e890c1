#include <gtest/gtest.h>

#include "quotas/quota_bound.h"
#include "quotas/quota_holder.h"
#include "quotas/quota_ledger.h"
#include "quotas/quota_timing.h"
#include "unit/quotas_simulation.h"

namespace jujube::quotas {
namespace {

using std::chrono::milliseconds;
using testing::LimitedTenant;
using testing::Simulation;

constexpr MonoTime kStart{std::chrono::seconds(1000)};
const AvailabilityZoneId zone{"luz-a"};

// Guards against a bucket that allows more than the quota, or nothing at all,
// for rates and bursts of all sizes.
TEST(QuotaBound, CapacityAndRefillKeepTheWindow) {
  const QuotaSettings exact{.m_overage_permille = 0, .m_slack = 0};
  for (const QuotaSettings& settings : {QuotaSettings{}, exact}) {
    for (const std::uint64_t per_1000s :
         {1ULL, 500ULL, 8000ULL, 1000000000000ULL}) {
      for (const std::uint64_t burst : {0ULL, 1ULL, 1000000000ULL}) {
        const Tenant tenant{.m_requests_per_1000s = per_1000s,
                            .m_burst = burst};
        const QuotaBound bound = MakeBound(tenant, settings);
        EXPECT_GE(bound.m_capacity, 1);
        const double most = MaxInWindow(tenant, settings);
        // A quota of less than one request in a window allows one.
        EXPECT_LE(bound.m_capacity + bound.m_per_s * 5,
                  std::max(1.0, most) + 1e-6);
      }
    }
  }
  EXPECT_FALSE(HasQuota({.m_burst = 10}));
}

// Guards against tokens that are spent while the leader counts them as
// returned.
TEST(GrantedTokens, TokensAreBackOnlyOnceTheLowerLimitIsAdopted) {
  GrantedTokens tokens;
  tokens.OnGranted(1, 10);
  EXPECT_EQ(tokens.OnAdopted(1).m_returned, 0U);
  tokens.OnGranted(2, 4);
  EXPECT_EQ(tokens.Outstanding(), 10U);  // the grant may be lost
  EXPECT_EQ(tokens.OnAdopted(1).m_returned, 0U);
  tokens.OnGranted(3, 6);
  EXPECT_EQ(tokens.OnSpent(5).m_spent, 5U);
  EXPECT_EQ(tokens.OnAdopted(2).m_returned, 4U);  // 6 may be adopted later
  EXPECT_EQ(tokens.Outstanding(), 1U);
  // The counters wrap around.
  GrantedTokens wrapped(UINT32_MAX - 1, 3);
  EXPECT_EQ(wrapped.Outstanding(), 5U);
  EXPECT_EQ(wrapped.OnSpent(2).m_spent, 4U);
}

// A ledger that has granted `count` tokens of the tenant to host e1.
struct Granted {
  QuotaLedger m_ledger{QuotaSettings{}};
  Tenant m_tenant = LimitedTenant("t", 10, 50);
  std::uint64_t m_key = TenantKey({"t"});
  std::uint32_t m_limit = 0;
  MonoTime m_now = kStart + kConfirmationBound + kGrantLeaseAtLeader;

  Granted() {
    m_ledger.StartTerm(kStart + kConfirmationBound);
    m_ledger.SetTenants({m_tenant}, kStart);
    m_now += std::chrono::seconds(20);
    m_limit = Report(1, 0, {}).value().m_shares.at(0).m_limit;
  }
  std::optional<QuotaGrant> Report(std::uint64_t sequence,
                                   std::uint64_t adopted,
                                   std::vector<QuotaUse> uses,
                                   std::uint64_t incarnation = 7) {
    return m_ledger.OnReport({.m_host = {"e1"},
                              .m_incarnation = incarnation,
                              .m_sequence = sequence,
                              .m_adopted = adopted,
                              .m_uses = std::move(uses)},
                             zone, m_now);
  }
};

// Guards against tokens that return to the bucket without the host's count: it
// may have spent them.
TEST(QuotaLedger, TokensTakenBackWithoutTheCountAreSpent) {
  Granted granted;
  granted.m_now += milliseconds(1000);  // all tenants are looked at again
  // A lower limit makes the ledger take tokens back.
  granted.m_ledger.SetTenants({LimitedTenant("t", 1, 0)}, granted.m_now);
  const auto grant = granted.Report(2, 1, {});
  ASSERT_EQ(grant.value().m_shares.size(), 1U);
  EXPECT_LT(grant->m_shares[0].m_limit, granted.m_limit);
  EXPECT_EQ(granted.m_ledger.Outstanding(granted.m_key), granted.m_limit);
  const double before = granted.m_ledger.Level(granted.m_key);
  (void)granted.Report(3, 2, {});
  EXPECT_EQ(granted.m_ledger.Outstanding(granted.m_key),
            grant->m_shares[0].m_limit);
  EXPECT_EQ(granted.m_ledger.Level(granted.m_key), before);
}

// Guards against a host that is cut off and whose tokens are granted again
// while its lease lasts, or are never granted again.
TEST(QuotaLedger, TokensOfASilentHostAreKeptUntilItsLeaseEnds) {
  Granted granted;
  granted.m_now += kGrantLease;
  (void)granted.Report(1, 0, {}, 8);  // another process of the host
  EXPECT_GE(granted.m_ledger.Outstanding(granted.m_key), granted.m_limit);
  granted.m_now += kGrantLeaseAtLeader - kGrantLease;
  const std::uint64_t outstanding = granted.m_ledger.Outstanding(granted.m_key);
  (void)granted.Report(2, 0, {}, 8);
  EXPECT_LT(granted.m_ledger.Outstanding(granted.m_key), outstanding);
  // It has to state what it holds when it is back.
  EXPECT_EQ(granted.Report(2, 1, {}).value().m_lease, milliseconds(0));
  // An old message changes nothing.
  EXPECT_FALSE(granted.Report(1, 0, {}, 8));
}

// Guards against a tenant that gets a full bucket by vanishing for a moment.
TEST(QuotaLedger, ATenantThatReturnsHasTheLevelThatItHad) {
  Granted granted;
  (void)granted.Report(2, 1,
                       {{.m_tenant = granted.m_key,
                         .m_spent = granted.m_limit,
                         .m_limit = granted.m_limit}});
  granted.m_ledger.SetTenants({}, granted.m_now);
  granted.m_ledger.SetTenants({LimitedTenant("t", 100, 5000)}, granted.m_now);
  const QuotaBound before = MakeBound(granted.m_tenant, {});
  EXPECT_LE(
      granted.m_ledger.Level(granted.m_key) +
          static_cast<double>(granted.m_ledger.Outstanding(granted.m_key)),
      before.m_capacity);
}

// Guards against grants while an earlier leader may still grant.
TEST(QuotaLedger, ANewLeaderWaits) {
  QuotaLedger ledger{QuotaSettings{}};
  const QuotaReport report{.m_host = {"e1"}, .m_sequence = 1};
  EXPECT_FALSE(ledger.OnReport(report, zone, kStart));
  ledger.StartTerm(kStart + kConfirmationBound);
  ledger.SetTenants({LimitedTenant("t", 10, 50)}, kStart);
  EXPECT_FALSE(ledger.OnReport(report, zone, kStart + milliseconds(799)));
  const auto grant = ledger.OnReport(report, zone, kStart + kConfirmationBound);
  ASSERT_TRUE(grant);
  EXPECT_TRUE(grant->m_shares.empty());
}

// Guards against a resumed host that spends tokens which have run out.
TEST(QuotaHolder, TokensEndWithTheLease) {
  QuotaHolder holder({"e1"}, 7);
  holder.SetTenants({LimitedTenant("t", 10, 50), LimitedTenant("free", 0, 9)});
  EXPECT_EQ(holder.Table()->CellOf(1), nullptr);
  const auto cell = holder.Table()->CellOf(0);
  const QuotaLeader leader{.m_host = {"c1"}, .m_incarnation = 3};
  EXPECT_FALSE(holder.NextReport(kStart));
  holder.OnLeader(leader, kStart);
  const auto report = holder.NextReport(kStart);
  ASSERT_TRUE(report);
  const QuotaGrant grant{
      .m_sequence = report->m_sequence,
      .m_lease = kGrantLease,
      .m_shares = {{.m_tenant = TenantKey({"t"}), .m_limit = 5}}};
  // Not from the leader in office.
  EXPECT_FALSE(holder.OnGrant({.m_host = {"c2"}}, grant));
  EXPECT_TRUE(holder.OnGrant(leader, grant));
  EXPECT_FALSE(holder.OnGrant(leader, grant));  // twice
  EXPECT_TRUE(cell->TrySpend(kStart + kGrantLease - milliseconds(1)));
  EXPECT_FALSE(cell->TrySpend(kStart + kGrantLease));
  holder.ExpireLease(kStart + kGrantLease);
  EXPECT_EQ(cell->Count().Left(), 0);
  // An old statement of an earlier leader changes nothing.
  holder.OnLeader({.m_host = {"c2"}}, kStart);
  EXPECT_EQ(holder.Leader(), leader);
}

// Guards against refused callers that come back together, and against a line in
// the log for each refusal.
TEST(QuotaHolder, RefusalsAreSpreadAndReportedOnce) {
  QuotaHolder holder({"e1"}, 7);
  holder.SetTenants({LimitedTenant("t", 10, 50)});
  const auto cell = holder.Table()->CellOf(0);
  cell->SetInterval(milliseconds(100));
  milliseconds last{0};
  for (std::uint64_t i = 0; i < 40; ++i)
    last = cell->Refuse(i * 7919, kStart);
  EXPECT_GE(last, milliseconds(4000));
  EXPECT_LE(last, milliseconds(7500));
  EXPECT_FALSE(cell->HasRoom(kStart));
  const auto reached = holder.TakeLimitChanges(kStart);
  ASSERT_EQ(reached.size(), 1U);
  EXPECT_TRUE(reached[0].m_is_at_limit);
  EXPECT_EQ(holder.TenantsAtLimit(), 1U);
  EXPECT_TRUE(holder.TakeLimitChanges(kStart + milliseconds(1000)).empty());
  const auto left = holder.TakeLimitChanges(kStart + milliseconds(6000));
  ASSERT_EQ(left.size(), 1U);
  EXPECT_FALSE(left[0].m_is_at_limit);
  EXPECT_EQ(left[0].m_refused, 40U);
}

// Guards against tokens that lie idle at one host while another refuses: they
// move within 2.5 s, unless a request waits for them.
TEST(QuotaSimulation, IdleTokensReachAnotherHostInTime) {
  Simulation simulation(4, {LimitedTenant("t", 1, 200)});
  simulation.Run(milliseconds(260000));  // until the bucket is full
  // All hosts hold an equal part; one of them needs most of the tokens.
  std::uint64_t refused = 0;
  for (int i = 0; i < 3; ++i) {
    refused += simulation.Request(0, 0, 60).m_refused;
    refused += simulation.TakeWaited()[{"t"}].m_refused;
    simulation.Run(milliseconds(2500));
  }
  EXPECT_EQ(refused, 0U);
}

// Guards against a lower limit that binds only after the lease, and against a
// higher one that never does.
TEST(QuotaSimulation, ChangedLimitsBindSoon) {
  Simulation simulation(4, {LimitedTenant("t", 100, 400)});
  simulation.Run(milliseconds(10000));
  simulation.SetTenants({LimitedTenant("t", 1, 1)});
  simulation.Run(milliseconds(2000));
  EXPECT_LE(simulation.Usable({"t"}),
            MakeBound(LimitedTenant("t", 1, 1), {}).m_capacity);
  simulation.SetTenants({LimitedTenant("t", 100, 400)});
  simulation.Run(milliseconds(8000));
  EXPECT_GE(simulation.Usable({"t"}), 400);
}

}  // namespace
}  // namespace jujube::quotas
