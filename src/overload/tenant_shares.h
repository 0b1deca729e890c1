// TenantShares: requests of each tenant that started over the last seconds,
// by priority.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace jujube::overload {

class TenantShares {
 public:
  // Beyond it, the tenants with the fewest starts are forgotten. They then come
  // first, as they did before.
  static constexpr std::size_t kMaxTenants = 128;

  void OnStarted(std::uint8_t priority, std::uint64_t tenant, MonoTime now);
  double Started(std::uint8_t priority, std::uint64_t tenant) const;
  // Whether the tenant started more than twice as many requests as the mean
  // tenant of the priority.
  bool IsAboveShare(std::uint8_t priority, std::uint64_t tenant) const;

 private:
  struct Share {
    std::uint8_t m_priority = 0;
    std::uint64_t m_tenant = 0;
    double m_started = 0;
  };

  void Decay(MonoTime now);

  std::vector<Share> m_shares;
  MonoTime m_decayed_at{};
};

}  // namespace jujube::overload
