// WaitQueue: requests that wait at this host for room at a service.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "overload/rank_shares.h"
#include "overload/tenant_shares.h"

namespace jujube::overload {

struct WaitEntry {
  std::uint64_t m_id = 0;
  std::uint8_t m_priority = 0;
  std::uint64_t m_tenant = 0;
  MonoTime m_latest_start;  // leaves the queue at this time

  friend auto operator<=>(const WaitEntry&, const WaitEntry&) = default;
};

class WaitQueue {
 public:
  // A linear search of so few entries takes less than a microsecond.
  static constexpr std::size_t kCapacity = 64;
  // Places of a rank that higher ranks do not take.
  static constexpr std::size_t kPlacesPerRank = 8;

  // Adds the entry. If the queue is full, returns the entry that has to leave
  // it, which may be the new one: of the lowest rank that has more than its
  // places, of the tenant with the most entries there, the one that could wait
  // longest.
  std::optional<WaitEntry> Push(const WaitEntry& entry);

  // The entry that is to start next: of a rank that is owed its least share,
  // else of the highest rank; of the tenant that started least; with the
  // earliest latest start.
  std::optional<WaitEntry> Next(const RankShares& ranks,
                                const TenantShares& tenants) const;

  // False if it is not in the queue.
  bool Remove(std::uint64_t id);

  // Removes an entry whose latest start has passed.
  std::optional<WaitEntry> TakeExpired(MonoTime now);
  std::optional<WaitEntry> TakeAny();

  // Entries of the same or a higher priority.
  std::uint32_t CountFrom(std::uint8_t priority) const;
  // Whether an entry of another priority is owed its least share.
  bool HasOtherOwed(std::uint8_t priority, const RankShares& ranks) const;

  std::size_t size() const { return m_entries.size(); }
  bool empty() const { return m_entries.empty(); }

 private:
  std::size_t CountOfRank(std::uint8_t priority) const;
  std::size_t CountOfTenant(const WaitEntry& entry) const;
  std::optional<WaitEntry> Take(std::vector<WaitEntry>::iterator position);

  std::vector<WaitEntry> m_entries;
};

}  // namespace jujube::overload
