#include <gtest/gtest.h>

#include "controld/quota_service.h"
#include "quotas/quota_timing.h"
#include "unit/quotas_simulation.h"

namespace jujube::controld {
namespace {

using quotas::kConfirmationBound;
using quotas::testing::LimitedTenant;
using std::chrono::milliseconds;

// A control host whose role and confirmation the test sets.
struct ControlHost {
  MonoTime m_now = MonoClock::now();
  std::optional<MonoTime> m_leading_since;
  std::optional<MonoTime> m_confirmed_at;
  std::uint64_t m_sequence = 0;
  QuotaService m_service{
      {.m_leading_since = [this] { return m_leading_since; },
       .m_confirmed_at = [this] { return m_confirmed_at; },
       .m_zone_of = [](const HostId&) { return AvailabilityZoneId{"luz-a"}; }}};

  std::optional<QuotaGrant> Ask(std::uint64_t adopted) {
    return m_service.Answer(
        {.m_host = {"e1"}, .m_sequence = ++m_sequence, .m_adopted = adopted},
        m_now);
  }
  void Advance(milliseconds time) {
    m_now += time;
    m_confirmed_at = m_now;
  }
};

// Guards against two leaders that grant at a time: one that cannot confirm that
// it leads, or confirmed it in an earlier term, and one that was just elected.
TEST(QuotaService, GrantsOnlyWhileConfirmed) {
  ControlHost host;
  host.m_service.SetTenants({LimitedTenant("t", 10, 50)});
  host.Advance(milliseconds(1000));
  EXPECT_FALSE(host.Ask(0));  // does not lead
  host.m_leading_since = host.m_now + milliseconds(1);
  host.m_now += kConfirmationBound + milliseconds(1);
  EXPECT_FALSE(host.Ask(0));  // confirmed before its election
  host.m_confirmed_at = host.m_leading_since;
  EXPECT_FALSE(host.Ask(0));  // confirmed too long ago
  host.m_confirmed_at = host.m_now;
  EXPECT_TRUE(host.Ask(0));
  host.m_now += kConfirmationBound;  // as after a suspension
  EXPECT_FALSE(host.Ask(1));
}

// Guards against a ledger that outlives its term: another leader may have
// granted in between.
TEST(QuotaService, ANewTermStartsWithAnEmptyLedger) {
  ControlHost host;
  host.m_service.SetTenants({LimitedTenant("t", 10, 50)});
  host.m_leading_since = host.m_now;
  host.Advance(milliseconds(20000));
  const auto grant = host.Ask(0);
  ASSERT_TRUE(grant);
  EXPECT_FALSE(grant->m_shares.empty());
  host.m_leading_since = host.m_now;
  host.Advance(kConfirmationBound);
  // Asks for a complete report, and has no tokens yet.
  EXPECT_EQ(host.Ask(1).value().m_lease, milliseconds(0));
  EXPECT_TRUE(host.Ask(0).value().m_shares.empty());
}

}  // namespace
}  // namespace jujube::controld
