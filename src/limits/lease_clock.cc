#include "limits/lease_clock.h"

namespace jujube::limits {

void LeaseClock::OnElected(std::uint64_t last_log_index, MonoTime now) {
  m_grants.clear();
  m_expired_index = 0;
  m_grants.push_back({.m_index = last_log_index, .m_start_time = now});
}

void LeaseClock::OnCommitted(std::uint64_t log_index, MonoTime now) {
  // An entry of an earlier term that commits after the election is covered by
  // the grant that starts at the election.
  if (!m_grants.empty() && log_index <= m_grants.back().m_index)
    return;
  m_grants.push_back({.m_index = log_index, .m_start_time = now});
}

std::uint64_t LeaseClock::ExpiredThrough(MonoTime now) {
  while (!m_grants.empty() &&
         now - m_grants.front().m_start_time >= kGrantorLease) {
    m_expired_index = m_grants.front().m_index;
    m_grants.pop_front();
  }
  return m_expired_index;
}

}  // namespace jujube::limits
