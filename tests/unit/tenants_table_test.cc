#include "tenants/tenant_table.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tenants/home_regions.h"

namespace jujube::tenants {
namespace {

Tenant MakeTenant(const std::string& name, std::vector<std::string> keys) {
  return {.m_name = {name}, .m_keys = std::move(keys)};
}

// Guards against a key that finds the tenant of a similar key.
TEST(TenantTable, AKeyFindsItsTenant) {
  const TenantTable table({MakeTenant("ferry", {"k-1", "k-11"}),
                           MakeTenant("island", {}),
                           MakeTenant("harbour", {"K-1"})});
  EXPECT_FALSE(table.empty());
  EXPECT_EQ(table.All().size(), 3U);
  EXPECT_EQ(table.At(table.FindByKey("k-1").value()).m_name.m_value, "ferry");
  EXPECT_EQ(table.At(table.FindByKey("k-11").value()).m_name.m_value, "ferry");
  EXPECT_EQ(table.At(table.FindByKey("K-1").value()).m_name.m_value, "harbour");
  for (const std::string unknown : {"", "k", "k-", "k-111", "k-2"})
    EXPECT_EQ(table.FindByKey(unknown), std::nullopt) << unknown;
}

// Guards against tenants without keys that count as a document without
// tenants, which would open all routes.
TEST(TenantTable, TenantsWithoutKeysAreTenants) {
  EXPECT_TRUE(TenantTable().empty());
  EXPECT_EQ(TenantTable().FindByKey("k-1"), std::nullopt);
  const TenantTable table({MakeTenant("ferry", {})});
  EXPECT_FALSE(table.empty());
  EXPECT_EQ(table.FindByKey(""), std::nullopt);
}

// Guards against a key that is found after the document that takes it away, or
// with the tenant that held it before.
TEST(TenantTable, ANewTableHasTheKeysOfItsDocument) {
  const TenantTable before(
      {MakeTenant("ferry", {"k-1", "k-2"}), MakeTenant("island", {"k-3"})});
  const TenantTable after({MakeTenant("ferry", {}),
                           MakeTenant("harbour", {"k-2"}),
                           MakeTenant("island", {"k-3"})});
  EXPECT_EQ(after.FindByKey("k-1"), std::nullopt);
  EXPECT_EQ(after.At(after.FindByKey("k-2").value()).m_name.m_value, "harbour");
  EXPECT_EQ(after.At(after.FindByKey("k-3").value()).m_name.m_value, "island");
  EXPECT_EQ(before.At(before.FindByKey("k-2").value()).m_name.m_value, "ferry");
}

std::vector<RegionId> Regions(const std::vector<std::string>& names) {
  std::vector<RegionId> regions;
  regions.reserve(names.size());
  for (const std::string& name : names)
    regions.push_back({name});
  return regions;
}

// Guards against a request that is served in a region that its route or its
// tenant excludes: an empty intersection must not become an empty list, which
// allows all regions.
TEST(TenantRegions, BothListsBind) {
  EXPECT_EQ(CommonRegions({}, {}), Regions({}));
  EXPECT_EQ(CommonRegions(Regions({"a", "b"}), {}), Regions({"a", "b"}));
  EXPECT_EQ(CommonRegions({}, Regions({"b"})), Regions({"b"}));
  EXPECT_EQ(CommonRegions(Regions({"a", "b", "c"}), Regions({"c", "b", "d"})),
            Regions({"b", "c"}));
  EXPECT_EQ(CommonRegions(Regions({"a"}), Regions({"b"})), std::nullopt);
}

}  // namespace
}  // namespace jujube::tenants
