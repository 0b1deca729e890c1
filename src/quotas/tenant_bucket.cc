#include "quotas/tenant_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jujube::quotas {

TenantBucket TenantBucket::Full(const QuotaBound& bound, MonoTime now) {
  TenantBucket bucket(bound, now);
  bucket.m_level = bound.m_capacity;
  return bucket;
}

TenantBucket TenantBucket::Unaccounted(const QuotaBound& bound, MonoTime now) {
  TenantBucket bucket(bound, now);
  bucket.m_unaccounted = bound.m_capacity;
  return bucket;
}

double TenantBucket::Room() const {
  return std::max(0.0, m_bound.m_capacity - static_cast<double>(m_outstanding) -
                           m_unaccounted);
}

void TenantBucket::SetBound(const QuotaBound& bound, MonoTime now) {
  Refill(now);
  m_bound = bound;
  m_level = std::min(m_level, Room());
}

void TenantBucket::Refill(MonoTime now) {
  if (now <= m_refilled_at)
    return;
  const double seconds =
      std::chrono::duration<double>(now - m_refilled_at).count();
  m_refilled_at = now;
  m_level = std::min(m_level + seconds * m_bound.m_per_s, Room());
}

std::uint32_t TenantBucket::Take(std::uint32_t wanted) {
  const auto whole = static_cast<std::uint64_t>(std::floor(m_level));
  const auto taken =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, whole));
  m_level -= taken;
  m_outstanding += taken;
  return taken;
}

void TenantBucket::OnSpent(std::uint32_t tokens) {
  m_outstanding -= std::min<std::uint64_t>(tokens, m_outstanding);
}

void TenantBucket::OnReturned(std::uint32_t tokens) {
  OnSpent(tokens);
  m_level = std::min(m_level + tokens, Room());
}

void TenantBucket::OnFound(std::uint32_t tokens) {
  m_outstanding += tokens;
  m_unaccounted = std::max(0.0, m_unaccounted - tokens);
  m_level = std::min(m_level, Room());
}

bool TenantBucket::IsFull() const {
  return m_outstanding == 0 && m_unaccounted == 0 &&
         m_level + 1 >= m_bound.m_capacity;
}

}  // namespace jujube::quotas
