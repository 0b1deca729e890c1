// TenantTable: finds the tenant of a request by the key of its caller.
//
//   const TenantTable table(document.m_tenants);    // when tenants changed
//   std::optional<TenantIndex> tenant = table.FindByKey("k-17");
//   if (tenant)
//     ...table.At(*tenant).m_priority...
//
// Immutable; all threads read the published table. FindByKey takes no lock and
// allocates no memory.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gen/deployment.h"

namespace jujube::tenants {

// Position of a tenant in its table. Tables of other documents differ.
using TenantIndex = std::uint32_t;

class TenantTable {
 public:
  TenantTable() = default;
  explicit TenantTable(std::vector<Tenant> tenants);

  // Empty if no tenant holds the key.
  std::optional<TenantIndex> FindByKey(std::string_view key) const;

  const Tenant& At(TenantIndex index) const { return m_tenants[index]; }
  const std::vector<Tenant>& All() const { return m_tenants; }
  bool empty() const { return m_tenants.empty(); }

 private:
  struct KeyHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const;
  };

  std::vector<Tenant> m_tenants;
  std::unordered_map<std::string, TenantIndex, KeyHash, std::equal_to<>>
      m_tenant_by_key;
};

}  // namespace jujube::tenants
