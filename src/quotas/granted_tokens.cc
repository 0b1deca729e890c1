#include "quotas/granted_tokens.h"

#include <algorithm>

namespace jujube::quotas {
namespace {

// Tokens up to the limit; the counters wrap around.
std::uint32_t Left(std::uint32_t limit, std::uint32_t spent) {
  return static_cast<std::uint32_t>(
      std::max(0, static_cast<std::int32_t>(limit - spent)));
}

}  // namespace

std::uint32_t GrantedTokens::Outstanding() const {
  std::uint32_t most = Left(m_confirmed_limit, m_spent);
  for (const Pending& pending : m_pending)
    most = std::max(most, Left(pending.m_limit, m_spent));
  return most;
}

std::uint32_t GrantedTokens::Limit() const {
  return m_pending.empty() ? m_confirmed_limit : m_pending.back().m_limit;
}

TokenChange GrantedTokens::OnSpent(std::uint32_t spent) {
  const std::uint32_t before = Outstanding();
  m_spent = spent;
  return {.m_spent = before - std::min(before, Outstanding())};
}

TokenChange GrantedTokens::OnAdopted(std::uint64_t sequence) {
  const std::uint32_t before = Outstanding();
  const auto first_later = std::find_if(
      m_pending.begin(), m_pending.end(),
      [&](const Pending& item) { return item.m_sequence > sequence; });
  if (first_later == m_pending.begin())
    return {};
  m_confirmed_limit = std::prev(first_later)->m_limit;
  m_pending.erase(m_pending.begin(), first_later);
  return {.m_returned = before - std::min(before, Outstanding())};
}

TokenChange GrantedTokens::OnRestated(std::uint32_t limit) {
  const std::uint32_t before = Outstanding();
  // A report cannot raise what this leader has granted.
  m_confirmed_limit = m_spent + std::min(Left(limit, m_spent), before);
  // What the host dropped at the end of its lease counts as spent.
  return {.m_spent = before - std::min(before, Outstanding())};
}

void GrantedTokens::OnGranted(std::uint64_t sequence, std::uint32_t limit) {
  m_pending.push_back({.m_sequence = sequence, .m_limit = limit});
}

}  // namespace jujube::quotas
