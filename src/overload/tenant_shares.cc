#include "overload/tenant_shares.h"

#include <algorithm>

namespace jujube::overload {
namespace {

constexpr std::chrono::seconds kDecayInterval{1};
constexpr double kForgottenBelow = 0.2;
// Few requests of a tenant say nothing of its share.
constexpr double kMinStarted = 3;
constexpr double kShareFactor = 2;

}  // namespace

void TenantShares::Decay(MonoTime now) {
  if (now - m_decayed_at < kDecayInterval)
    return;
  m_decayed_at = now;
  for (Share& share : m_shares)
    share.m_started /= 2;
  std::erase_if(m_shares, [](const Share& share) {
    return share.m_started < kForgottenBelow;
  });
}

void TenantShares::OnStarted(std::uint8_t priority,
                             std::uint64_t tenant,
                             MonoTime now) {
  Decay(now);
  const auto is_tenant = [=](const Share& share) {
    return share.m_priority == priority && share.m_tenant == tenant;
  };
  const auto found = std::find_if(m_shares.begin(), m_shares.end(), is_tenant);
  if (found != m_shares.end()) {
    found->m_started += 1;
    return;
  }
  if (m_shares.size() >= kMaxTenants) {
    m_shares.erase(std::min_element(m_shares.begin(), m_shares.end(),
                                    [](const Share& a, const Share& b) {
                                      return a.m_started < b.m_started;
                                    }));
  }
  m_shares.push_back(
      {.m_priority = priority, .m_tenant = tenant, .m_started = 1});
}

double TenantShares::Started(std::uint8_t priority,
                             std::uint64_t tenant) const {
  for (const Share& share : m_shares) {
    if (share.m_priority == priority && share.m_tenant == tenant)
      return share.m_started;
  }
  return 0;
}

bool TenantShares::IsAboveShare(std::uint8_t priority,
                                std::uint64_t tenant) const {
  const double started = Started(priority, tenant);
  if (started < kMinStarted)
    return false;
  double total = 0;
  std::size_t tenants = 0;
  for (const Share& share : m_shares) {
    if (share.m_priority == priority) {
      total += share.m_started;
      ++tenants;
    }
  }
  return started * static_cast<double>(tenants) > total * kShareFactor;
}

}  // namespace jujube::overload
