// QuotaBound: token bucket that keeps a tenant within its quota.
//
// In any window, at most the capacity and what is refilled during the window
// can be spent. The bucket of a tenant is chosen so that both together are at
// most (rate x window + burst) x (1 + overage) + slack.

#pragma once

#include <compare>

#include "gen/deployment.h"
#include "gen/settings.h"

namespace jujube::quotas {

struct QuotaBound {
  double m_capacity = 0;  // requests
  double m_per_s = 0;     // requests refilled per second

  friend auto operator<=>(const QuotaBound&, const QuotaBound&) = default;
};

// Without a rate, a tenant has no quota, whatever its burst.
constexpr bool HasQuota(const Tenant& tenant) {
  return tenant.m_requests_per_1000s > 0;
}

QuotaBound MakeBound(const Tenant& tenant, const QuotaSettings& settings);

// Most requests in a window.
double MaxInWindow(const Tenant& tenant, const QuotaSettings& settings);

}  // namespace jujube::quotas
