#include "tenants/tenant_table.h"

#include <utility>

#include "core/hash.h"

namespace jujube::tenants {

TenantTable::TenantTable(std::vector<Tenant> tenants)
    : m_tenants(std::move(tenants)) {
  std::size_t key_count = 0;
  for (const Tenant& tenant : m_tenants)
    key_count += tenant.m_keys.size();
  m_tenant_by_key.reserve(key_count);
  for (std::size_t i = 0; i < m_tenants.size(); ++i) {
    for (const std::string& key : m_tenants[i].m_keys)
      m_tenant_by_key.emplace(key, static_cast<TenantIndex>(i));
  }
}

std::optional<TenantIndex> TenantTable::FindByKey(std::string_view key) const {
  const auto found = m_tenant_by_key.find(key);
  if (found == m_tenant_by_key.end())
    return std::nullopt;
  return found->second;
}

std::size_t TenantTable::KeyHash::operator()(std::string_view key) const {
  return Hash64(key);
}

}  // namespace jujube::tenants
