// CheckTenantAccess: finds the tenant of a request and decides whether the
// request may be forwarded.
//
//   const tenants::AccessAnswer answer =
//       CheckTenantAccess(head.m_headers, *view.m_tenants, state, route);
//   if (tenants::IsRefused(answer))
//     ...
//
// May be called again for the same request, since its key may be taken away
// while it waits: each call replaces what an earlier one has set.

#pragma once

#include <vector>

#include "core/clock.h"
#include "entry/route.h"
#include "gen/http.h"
#include "tenants/access.h"
#include "tenants/tenant_table.h"

namespace jujube::entry {

// State of this host that the decision depends on.
struct AccessState {
  bool m_may_be_outdated = false;  // other hosts may have a newer document
  // Read before the table of tenants, since a later end may belong to a table
  // that no longer has the key.
  MonoTime m_lease_end;

  friend auto operator<=>(const AccessState&, const AccessState&) = default;
};

// Sets the tenant, the priority and the allowed regions of the route.
tenants::AccessAnswer CheckTenantAccess(const std::vector<Header>& headers,
                                        const tenants::TenantTable& table,
                                        const AccessState& state,
                                        Route& route);

}  // namespace jujube::entry
