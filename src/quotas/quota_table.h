// QuotaTable: the quota cells of the tenants of a document.
//
// Immutable, and published together with the table of tenants to whose indexes
// it belongs. The cells are shared with the tables before and after it.

#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "quotas/quota_cell.h"
#include "tenants/tenant_table.h"

namespace jujube::quotas {

class QuotaTable {
 public:
  QuotaTable() = default;
  explicit QuotaTable(std::vector<std::shared_ptr<QuotaCell>> cells)
      : m_cells(std::move(cells)) {}

  // Null if the tenant has no quota.
  std::shared_ptr<QuotaCell> CellOf(tenants::TenantIndex tenant) const {
    return tenant < m_cells.size() ? m_cells[tenant] : nullptr;
  }

 private:
  std::vector<std::shared_ptr<QuotaCell>> m_cells;  // by TenantIndex
};

}  // namespace jujube::quotas
