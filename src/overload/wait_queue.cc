#include "overload/wait_queue.h"

#include <algorithm>
#include <tuple>

namespace jujube::overload {

std::size_t WaitQueue::CountOfRank(std::uint8_t priority) const {
  return static_cast<std::size_t>(std::count_if(
      m_entries.begin(), m_entries.end(), [priority](const WaitEntry& entry) {
        return entry.m_priority == priority;
      }));
}

std::size_t WaitQueue::CountOfTenant(const WaitEntry& entry) const {
  return static_cast<std::size_t>(std::count_if(
      m_entries.begin(), m_entries.end(), [&entry](const WaitEntry& other) {
        return other.m_priority == entry.m_priority &&
               other.m_tenant == entry.m_tenant;
      }));
}

std::optional<WaitEntry> WaitQueue::Take(
    std::vector<WaitEntry>::iterator position) {
  if (position == m_entries.end())
    return std::nullopt;
  const WaitEntry entry = *position;
  m_entries.erase(position);
  return entry;
}

std::optional<WaitEntry> WaitQueue::Push(const WaitEntry& entry) {
  m_entries.push_back(entry);
  if (m_entries.size() <= kCapacity)
    return std::nullopt;
  const auto least_deserving = std::max_element(
      m_entries.begin(), m_entries.end(),
      [this](const WaitEntry& a, const WaitEntry& b) {
        const auto key = [this](const WaitEntry& candidate) {
          const bool has_spare_place =
              CountOfRank(candidate.m_priority) > kPlacesPerRank;
          return std::tuple(has_spare_place, -int{candidate.m_priority},
                            CountOfTenant(candidate), candidate.m_latest_start);
        };
        return key(a) < key(b);
      });
  return Take(least_deserving);
}

std::optional<WaitEntry> WaitQueue::Next(const RankShares& ranks,
                                         const TenantShares& tenants) const {
  const auto key = [&](const WaitEntry& entry) {
    return std::tuple(!ranks.IsOwed(entry.m_priority), -int{entry.m_priority},
                      tenants.Started(entry.m_priority, entry.m_tenant),
                      entry.m_latest_start, entry.m_id);
  };
  const auto next = std::min_element(
      m_entries.begin(), m_entries.end(),
      [&](const WaitEntry& a, const WaitEntry& b) { return key(a) < key(b); });
  return next == m_entries.end() ? std::nullopt : std::optional(*next);
}

bool WaitQueue::Remove(std::uint64_t id) {
  return std::erase_if(m_entries, [id](const WaitEntry& entry) {
           return entry.m_id == id;
         }) > 0;
}

std::optional<WaitEntry> WaitQueue::TakeExpired(MonoTime now) {
  return Take(std::find_if(
      m_entries.begin(), m_entries.end(),
      [now](const WaitEntry& entry) { return entry.m_latest_start <= now; }));
}

std::optional<WaitEntry> WaitQueue::TakeAny() {
  return Take(m_entries.begin());
}

std::uint32_t WaitQueue::CountFrom(std::uint8_t priority) const {
  return static_cast<std::uint32_t>(std::count_if(
      m_entries.begin(), m_entries.end(), [priority](const WaitEntry& entry) {
        return entry.m_priority >= priority;
      }));
}

bool WaitQueue::HasOtherOwed(std::uint8_t priority,
                             const RankShares& ranks) const {
  return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const WaitEntry& entry) {
        return entry.m_priority != priority && ranks.IsOwed(entry.m_priority);
      });
}

}  // namespace jujube::overload
