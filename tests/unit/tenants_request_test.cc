#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry/claim_digest.h"
#include "entry/send_lease.h"
#include "entry/tenant_access.h"
#include "rcu/thread.h"

namespace jujube::entry {
namespace {

using std::chrono::hours;
using tenants::AccessAnswer;
using tenants::TenantTable;

std::vector<Header> KeyField() {
  return {{"Authorization", "Bearer k-1"}};
}

// A lease that has not run out.
AccessState ValidState() {
  return {.m_lease_end = MonoClock::now() + hours(1)};
}

Tenant MakeTenant(const std::string& name, std::vector<std::string> keys) {
  return {.m_name = {name}, .m_keys = std::move(keys)};
}

std::unique_ptr<const ServingView> ViewOf(std::vector<Tenant> tenants) {
  return std::make_unique<const ServingView>(ServingView{
      .m_tenants = std::make_shared<const TenantTable>(std::move(tenants))});
}

// ---- CheckTenantAccess -----------------------------------------------------

// Guards against a priority or region of an earlier document that still binds
// when the access of a waiting request is checked again.
TEST(TenantRequest, EachCheckStartsFromTheRule) {
  Tenant tenant = MakeTenant("ferry", {"k-1"});
  tenant.m_priority = 7;
  tenant.m_allowed_regions = {{"a"}};
  Route route{.m_rule_priority = 3, .m_rule_regions = {{"a"}, {"b"}}};
  ASSERT_EQ(
      CheckTenantAccess(KeyField(), TenantTable({tenant}), ValidState(), route),
      AccessAnswer::kTenant);
  EXPECT_EQ(route.m_tenant, TenantId{"ferry"});
  EXPECT_EQ(route.m_priority, 7);
  EXPECT_EQ(route.m_allowed_regions, (std::vector<RegionId>{{"a"}}));
  tenant.m_priority.reset();
  tenant.m_allowed_regions = {{"b"}};
  ASSERT_EQ(
      CheckTenantAccess(KeyField(), TenantTable({tenant}), ValidState(), route),
      AccessAnswer::kTenant);
  EXPECT_EQ(route.m_priority, 3);
  EXPECT_EQ(route.m_allowed_regions, (std::vector<RegionId>{{"b"}}));
  ASSERT_EQ(CheckTenantAccess(KeyField(), TenantTable(), ValidState(), route),
            AccessAnswer::kOpen);
  EXPECT_FALSE(route.m_has_tenants);
  EXPECT_EQ(route.m_tenant, std::nullopt);
  EXPECT_EQ(route.m_priority, 3);
  EXPECT_EQ(route.m_allowed_regions, (std::vector<RegionId>{{"a"}, {"b"}}));
}

// Guards against a request that is served without a lease or in a region that
// its tenant excludes; the log line of the refusal names the tenant.
TEST(TenantRequest, RefusalsOfAKnownKeyNameTheTenant) {
  Tenant tenant = MakeTenant("ferry", {"k-1"});
  tenant.m_allowed_regions = {{"b"}};
  const TenantTable table({tenant});
  Route route{.m_rule_regions = {{"a"}}};
  EXPECT_EQ(CheckTenantAccess(KeyField(), table, ValidState(), route),
            AccessAnswer::kNoRegion);
  EXPECT_EQ(route.m_tenant, TenantId{"ferry"});
  EXPECT_EQ(CheckTenantAccess(KeyField(), table,
                              {.m_lease_end = MonoClock::now()}, route),
            AccessAnswer::kLeaseExpired);
  EXPECT_EQ(route.m_tenant, TenantId{"ferry"});
}

// Guards against an anonymous request that keeps the tenant of an earlier
// check.
TEST(TenantRequest, RequestsWithoutTenantHaveNone) {
  const TenantTable table({MakeTenant("ferry", {"k-1"})});
  Route route{.m_allows_anonymous = true, .m_tenant = TenantId{"ferry"}};
  EXPECT_EQ(CheckTenantAccess({}, table, ValidState(), route),
            AccessAnswer::kAnonymous);
  EXPECT_TRUE(route.m_has_tenants);
  EXPECT_EQ(route.m_tenant, std::nullopt);
  EXPECT_EQ(CheckTenantAccess({{"Authorization", "Bearer k-2"}}, table,
                              ValidState(), route),
            AccessAnswer::kUnknownKey);
  EXPECT_EQ(route.m_tenant, std::nullopt);
}

// ---- SendLease -------------------------------------------------------------

class SendLeaseTest : public ::testing::Test {
 protected:
  SendLease MakeLease(std::optional<TenantId> tenant = TenantId{
                          "ferry"}) const {
    return {m_view, m_end, "k-1", std::move(tenant)};
  }

  const rcu::ThreadRegistration m_registration;
  rcu::Cell<ServingView> m_view{ViewOf({MakeTenant("ferry", {"k-1"})})};
  std::atomic<MonoTime> m_end{MonoClock::now() + hours(1)};
};

TEST_F(SendLeaseTest, IsValidWhileTheTenantHoldsTheKey) {
  const SendLease lease = MakeLease();
  EXPECT_TRUE(lease.IsValid());
  m_view.Publish(ViewOf({MakeTenant("ferry", {"k-1", "k-2"})}));
  EXPECT_TRUE(lease.IsValid());
}

TEST_F(SendLeaseTest, EndsWithTheLease) {
  const SendLease lease = MakeLease();
  m_end = MonoClock::now();
  EXPECT_FALSE(lease.IsValid());
  m_end = MonoTime{};
  EXPECT_FALSE(lease.IsValid());
  EXPECT_TRUE(MakeLease(std::nullopt).IsValid());
}

// Guards against a request that is sent with a key which was taken away while
// the request waited for a connection or the process was suspended: the lease
// of the document without the key is as long as any other.
TEST_F(SendLeaseTest, EndsWithTheKeyAlthoughTheLeaseWasRenewed) {
  const SendLease lease = MakeLease();
  m_view.Publish(ViewOf({MakeTenant("ferry", {"k-2"})}));
  m_end = MonoClock::now() + hours(2);
  EXPECT_FALSE(lease.IsValid());
}

// Guards against a request that reaches the upstream under the name of a tenant
// that no longer holds the key.
TEST_F(SendLeaseTest, EndsWhenTheKeyMovesToAnotherTenant) {
  const SendLease lease = MakeLease();
  m_view.Publish(
      ViewOf({MakeTenant("ferry", {}), MakeTenant("island", {"k-1"})}));
  EXPECT_FALSE(lease.IsValid());
}

// ---- ClaimDigest -----------------------------------------------------------

// Guards against a stored response that is returned to another tenant which
// sends the same Idempotency-Key.
TEST(TenantRequest, ClaimsOfTenantsDiffer) {
  const RequestHead head{.m_method = "POST"};
  const Route anonymous{.m_target = "/x"};
  Route ferry = anonymous;
  ferry.m_tenant = TenantId{"ferry"};
  Route island = anonymous;
  island.m_tenant = TenantId{"island"};
  const std::string body = "litres=40";
  EXPECT_EQ(ClaimDigest(head, ferry, body), ClaimDigest(head, ferry, body));
  EXPECT_NE(ClaimDigest(head, ferry, body), ClaimDigest(head, island, body));
  EXPECT_NE(ClaimDigest(head, ferry, body), ClaimDigest(head, anonymous, body));
  EXPECT_NE(ClaimDigest(head, ferry, body), ClaimDigest(head, ferry, ""));
  EXPECT_EQ(ClaimDigest(head, ferry, body).size(), 32U);
}

}  // namespace
}  // namespace jujube::entry
