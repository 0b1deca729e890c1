// ServingView: immutable snapshot of the state that serves requests.
//
// The control thread publishes a new view when its state has changed; worker
// threads read it through RCU. The tables are shared, so a new view copies only
// pointers.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "gen/deployment.h"
#include "gen/types.h"
#include "limits/limit_table.h"
#include "lookup/table.h"
#include "quotas/quota_table.h"
#include "request/stop_window.h"
#include "steering/route_table.h"
#include "steering/upstream_view.h"
#include "tenants/tenant_table.h"

namespace jujube::entry {

struct ServingView {
  std::uint64_t m_index = 0;      // feed index of the configuration
  RegionId m_region;              // region of this host
  std::size_t m_entry_hosts = 1;  // hosts that send requests to the upstreams
  std::shared_ptr<const lookup::Table> m_lookup;              // never null
  std::shared_ptr<const steering::UpstreamView> m_upstreams;  // never null
  std::shared_ptr<const steering::RouteTable> m_routes;       // never null
  std::shared_ptr<const tenants::TenantTable> m_tenants;      // never null
  // Quotas by index of m_tenants. Null: no quotas.
  std::shared_ptr<const quotas::QuotaTable> m_quotas;
  std::shared_ptr<const limits::LimitTable> m_limits;  // null: no limits
  bool m_is_refusing_requests = false;  // planned stop refuses new requests
  std::optional<request::StopWindow> m_stop;  // during a planned stop
};

}  // namespace jujube::entry
