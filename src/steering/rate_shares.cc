#include "steering/rate_shares.h"

#include <algorithm>

#include "steering/upstream_view.h"

namespace jujube::steering {

void SetEqualRateShares(const UpstreamView& view, std::size_t hosts) {
  const double share =
      1.0 / static_cast<double>(std::max<std::size_t>(hosts, 1));
  for (const ServiceUpstreams& service : view.m_services) {
    for (const Upstream& upstream : service.m_upstreams)
      upstream.m_counters->Limiter().SetShare(share);
  }
}

}  // namespace jujube::steering
