// GrantedTokens: tokens of one tenant that one entry host may hold, as known to
// the leader.
//
// A grant that the host has not confirmed may have been lost or adopted, so the
// host may hold the largest of the limits that it was sent. Tokens are taken
// back by a lower limit, and are back only once the host has adopted it.

#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace jujube::quotas {

// Tokens that changed owner.
struct TokenChange {
  std::uint32_t m_spent = 0;     // spent by the host
  std::uint32_t m_returned = 0;  // given back by the host

  friend auto operator<=>(const TokenChange&, const TokenChange&) = default;
};

class GrantedTokens {
 public:
  GrantedTokens() = default;
  GrantedTokens(std::uint32_t spent, std::uint32_t limit)
      : m_spent(spent), m_confirmed_limit(limit) {}

  std::uint32_t Spent() const { return m_spent; }
  // Most tokens that the host may still spend.
  std::uint32_t Outstanding() const;
  // Limit that the host has after the last grant.
  std::uint32_t Limit() const;
  // True if the host has not confirmed the last grant of the tenant.
  bool IsPending() const { return !m_pending.empty(); }

  // Value of the counter of spent tokens in a new report.
  TokenChange OnSpent(std::uint32_t spent);
  // The host has adopted the grant with this sequence, and none after it.
  TokenChange OnAdopted(std::uint64_t sequence);
  // The host has adopted no grant of this leader and holds this limit.
  TokenChange OnRestated(std::uint32_t limit);
  // The limit is sent in the grant with this sequence.
  void OnGranted(std::uint64_t sequence, std::uint32_t limit);

 private:
  struct Pending {
    std::uint64_t m_sequence = 0;
    std::uint32_t m_limit = 0;
  };

  std::uint32_t m_spent = 0;
  std::uint32_t m_confirmed_limit = 0;
  std::vector<Pending> m_pending;  // by sequence
};

}  // namespace jujube::quotas
