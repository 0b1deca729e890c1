// ServingView: all that a worker thread reads to serve a request.
//
// The control thread publishes a new view for each change. The parts are
// shared, so a new view copies pointers only.

#pragma once

#include <cstdint>
#include <memory>

#include "gen/deployment.h"
#include "gen/types.h"
#include "limits/limit_table.h"
#include "lookup/table.h"
#include "steering/route_table.h"
#include "steering/upstream_view.h"

namespace jujube::entry {

struct ServingView {
  std::uint64_t m_index = 0;                      // feed index in force
  RegionId m_region;                              // of this host
  std::shared_ptr<const lookup::Table> m_lookup;  // never null
  std::shared_ptr<const steering::UpstreamView> m_upstreams;  // never null
  std::shared_ptr<const steering::RouteTable> m_routes;       // never null
  std::shared_ptr<const limits::LimitTable> m_limits;  // null: none enforced
  std::uint32_t m_host_cap = 0;  // slots of all services that this host may use
  bool m_is_refusing = false;    // planned stop: new requests are refused
};

}  // namespace jujube::entry
