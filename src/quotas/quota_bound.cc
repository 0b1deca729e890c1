#include "quotas/quota_bound.h"

#include <algorithm>
#include <chrono>

namespace jujube::quotas {
namespace {

constexpr double kPermille = 1000;
constexpr double kRateUnitSeconds = 1000;
// For rounding, and for the ends of a window.
constexpr double kMargin = 1;

double WindowSeconds(const QuotaSettings& settings) {
  return std::chrono::duration<double>(settings.m_window).count();
}

double PerSecond(const Tenant& tenant) {
  return static_cast<double>(tenant.m_requests_per_1000s) / kRateUnitSeconds;
}

}  // namespace

double MaxInWindow(const Tenant& tenant, const QuotaSettings& settings) {
  const double overage = settings.m_overage_permille / kPermille;
  return (PerSecond(tenant) * WindowSeconds(settings) +
          static_cast<double>(tenant.m_burst)) *
             (1 + overage) +
         settings.m_slack;
}

QuotaBound MakeBound(const Tenant& tenant, const QuotaSettings& settings) {
  const double window = WindowSeconds(settings);
  const double max_in_window = MaxInWindow(tenant, settings) - kMargin;
  const double per_s = PerSecond(tenant);
  const double capacity = max_in_window - per_s * window;
  if (capacity >= 1)
    return {.m_capacity = capacity, .m_per_s = per_s};
  // Neither burst nor overage nor slack: the rate gives way, since a bucket
  // that holds less than one token never allows a request.
  return {.m_capacity = 1,
          .m_per_s = std::max(0.0, (max_in_window - 1) / window)};
}

}  // namespace jujube::quotas
