#include "entry/tenant_access.h"

#include <optional>
#include <utility>

#include "entry/caller_key.h"
#include "tenants/home_regions.h"

namespace jujube::entry {

tenants::AccessAnswer CheckTenantAccess(const std::vector<Header>& headers,
                                        const tenants::TenantTable& table,
                                        const AccessState& state,
                                        Route& route) {
  route.m_has_tenants = !table.empty();
  route.m_tenant.reset();
  route.m_priority = route.m_rule_priority;
  route.m_allowed_regions = route.m_rule_regions;
  if (!route.m_has_tenants)
    return tenants::AccessAnswer::kOpen;
  const tenants::Credential credential = ReadCallerKey(headers);
  const std::optional<tenants::TenantIndex> index =
      table.FindByKey(credential.m_key);
  const Tenant* tenant = index ? &table.At(*index) : nullptr;
  std::optional<std::vector<RegionId>> regions =
      tenant == nullptr ? route.m_rule_regions
                        : tenants::CommonRegions(route.m_rule_regions,
                                                 tenant->m_allowed_regions);
  const tenants::AccessAnswer answer = tenants::DecideAccess(
      {.m_has_tenants = true,
       .m_allows_anonymous = route.m_allows_anonymous,
       .m_credential = credential.m_state,
       .m_is_key_known = tenant != nullptr,
       .m_may_be_outdated = state.m_may_be_outdated,
       .m_is_lease_expired = MonoClock::now() >= state.m_lease_end,
       .m_has_region = regions.has_value()});
  // Also of a refused request, whose log line names its tenant.
  if (tenant != nullptr)
    route.m_tenant = tenant->m_name;
  if (answer != tenants::AccessAnswer::kTenant)
    return answer;
  if (tenant->m_priority)
    route.m_priority = tenant->m_priority;
  route.m_allowed_regions = *std::move(regions);
  return answer;
}

}  // namespace jujube::entry
