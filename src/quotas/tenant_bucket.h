// TenantBucket: tokens of one tenant at the leader.
//
//   bucket.Refill(now);
//   const std::uint32_t granted = bucket.Take(wanted);   // -> outstanding
//   bucket.OnSpent(...), bucket.OnReturned(...);
//
// Invariant: level + outstanding + unaccounted <= capacity, unless the capacity
// fell; then the level is zero until it holds again.
// - outstanding: tokens that entry hosts may hold, as granted or reported.
// - unaccounted: tokens of an earlier leader that no report has named yet. They
//   run out with the leases of that leader.

#pragma once

#include <cstdint>

#include "core/clock.h"
#include "quotas/quota_bound.h"

namespace jujube::quotas {

class TenantBucket {
 public:
  TenantBucket(const QuotaBound& bound, MonoTime now)
      : m_bound(bound), m_refilled_at(now) {}

  // A bucket of a tenant that has sent no requests.
  static TenantBucket Full(const QuotaBound& bound, MonoTime now);
  // A bucket of a tenant that may hold tokens of an earlier leader.
  static TenantBucket Unaccounted(const QuotaBound& bound, MonoTime now);

  void SetBound(const QuotaBound& bound, MonoTime now);
  void Refill(MonoTime now);
  // Grants up to `wanted` tokens.
  std::uint32_t Take(std::uint32_t wanted);
  void OnSpent(std::uint32_t tokens);
  void OnReturned(std::uint32_t tokens);
  // Tokens of a host that this leader hears of for the first time.
  void OnFound(std::uint32_t tokens);
  void OnEarlierLeasesExpired() { m_unaccounted = 0; }

  const QuotaBound& Bound() const { return m_bound; }
  double Level() const { return m_level; }
  std::uint64_t Outstanding() const { return m_outstanding; }
  // True if it equals a bucket of a tenant that has sent no requests.
  bool IsFull() const;

 private:
  double Room() const;  // for the level

  QuotaBound m_bound;
  double m_level = 0;
  std::uint64_t m_outstanding = 0;
  double m_unaccounted = 0;
  MonoTime m_refilled_at;
};

}  // namespace jujube::quotas
