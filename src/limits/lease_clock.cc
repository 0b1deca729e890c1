#include "limits/lease_clock.h"

namespace jujube::limits {

void LeaseClock::OnElected(std::uint64_t last_log_index, MonoTime now) {
  m_grants.clear();
  m_expired = 0;
  m_grants.push_back({.m_index = last_log_index, .m_started = now});
}

void LeaseClock::OnCommitted(std::uint64_t index, MonoTime now) {
  // Entries of earlier terms commit after the election; they count from it.
  if (!m_grants.empty() && index <= m_grants.back().m_index)
    return;
  m_grants.push_back({.m_index = index, .m_started = now});
}

std::uint64_t LeaseClock::ExpiredThrough(MonoTime now) {
  while (!m_grants.empty() &&
         now - m_grants.front().m_started >= kGrantorLease) {
    m_expired = m_grants.front().m_index;
    m_grants.pop_front();
  }
  return m_expired;
}

}  // namespace jujube::limits
