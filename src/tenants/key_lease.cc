#include "tenants/key_lease.h"

#include <algorithm>

namespace jujube::tenants {
namespace {

// A host that lags behind more statements than this forgets the oldest, whose
// lease is about to end.
constexpr std::size_t kMaxPending = 64;

}  // namespace

std::uint64_t KeyLease::ClockOf(MonoTime now) {
  return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

std::optional<MonoTime> KeyLease::OnStatement(const ConfigLease& statement,
                                              MonoTime now) {
  const MonoTime sent_at{MonoClock::duration(
      static_cast<MonoClock::rep>(statement.m_echoed_clock))};
  // A clock that this process cannot have sent, or a negative age, would make
  // the lease longer than it is. A clock of 2^63 or more becomes negative.
  const bool is_plausible = sent_at > MonoTime{} && sent_at <= now &&
                            statement.m_age >= std::chrono::milliseconds(0) &&
                            statement.m_age < std::chrono::hours(24);
  if (!is_plausible)
    return std::nullopt;
  MonoTime& confirmed_at = m_pending[statement.m_feed_index];
  const MonoTime stated_at = sent_at - statement.m_age;
  confirmed_at = std::max(confirmed_at, stated_at);
  if (m_pending.size() > kMaxPending)
    m_pending.erase(m_pending.begin());
  return stated_at;
}

MonoTime KeyLease::EndAt(std::uint64_t feed_index) {
  if (!m_length)
    return MonoTime::max();
  const auto first_not_in_force = m_pending.upper_bound(feed_index);
  for (auto i = m_pending.begin(); i != first_not_in_force; ++i)
    m_confirmed_at = std::max(m_confirmed_at, i->second);
  m_pending.erase(m_pending.begin(), first_not_in_force);
  return m_confirmed_at == MonoTime{} ? MonoTime{} : m_confirmed_at + *m_length;
}

}  // namespace jujube::tenants
