// RecentDemand: requests per second of a tenant at a host, weighted by age.

#pragma once

#include <chrono>
#include <cmath>

#include "core/clock.h"

namespace jujube::quotas {

// Sum of impulses that decay exponentially.
class RecentDemand {
 public:
  // Long enough that a tenant of one request in a few seconds keeps its part.
  static constexpr std::chrono::seconds kDecay{5};

  void Add(double requests, MonoTime now) {
    m_per_s = PerSecond(now) +
              requests / std::chrono::duration<double>(kDecay).count();
    m_at = now;
  }
  double PerSecond(MonoTime now) const {
    return m_per_s * std::exp(-std::chrono::duration<double>(now - m_at) /
                              std::chrono::duration<double>(kDecay));
  }

 private:
  double m_per_s = 0;
  MonoTime m_at{};
};

}  // namespace jujube::quotas
