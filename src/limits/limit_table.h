// The limits of an entry host, as seen by worker threads.
//
// The table is an immutable map from limits to shared cells. When a limit is
// added or removed, the control thread builds a new table (see AllotmentHolder)
// and publishes it with an rcu::Cell. The new table shares the cells, and so
// the units in use, with the old one. A grant changes the cells, not the table.
//
//   // worker thread, inside a read-side critical section
//   Permit slot =
//       table.TryAcquire(SlotLimit(service, instance), 1, clock.Now());
//   if (!slot)
//     ...                        // try another instance, or refuse: not run
//   // the request owns `slot`; destroying it releases the unit
//
//   const SpendResult spent =
//       table.TrySpend(LinkLimit(from, to), bytes, clock.Now());
//   if (!spent.m_allowed)
//     ...                        // set a timer for spent.m_retry_at and retry
//
// A limit that is not in the table has no units: nothing was granted.

#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "gen/allotments.h"
#include "limits/limit_cell.h"
#include "limits/permit.h"

namespace jujube::limits {

class LimitTable {
 public:
  using Cells = std::map<LimitId, std::shared_ptr<LimitCell>>;

  LimitTable() = default;
  explicit LimitTable(Cells cells) : m_cells(std::move(cells)) {}

  // Acquires units of a cap on requests or connections. Returns an empty permit
  // if they are not available.
  Permit TryAcquire(const LimitId& limit,
                    std::uint64_t units,
                    MonoTime now) const {
    const auto it = m_cells.find(limit);
    if (it == m_cells.end() || !it->second->TryAcquire(units, now))
      return {};
    return {it->second, units};
  }

  // Spends bytes of a link's rate.
  SpendResult TrySpend(const LimitId& limit,
                       std::uint64_t bytes,
                       MonoTime now) const {
    const auto it = m_cells.find(limit);
    if (it == m_cells.end())
      return {.m_retry_at = now + LimitCell::kZeroRateRetryDelay};
    return it->second->TrySpend(bytes, now);
  }

  // Units or kbit/s usable now, including units in use.
  std::uint64_t Usable(const LimitId& limit, MonoTime now) const {
    const auto it = m_cells.find(limit);
    return it == m_cells.end() ? 0 : it->second->Usable(now);
  }

  const Cells& AllCells() const { return m_cells; }

 private:
  Cells m_cells;
};

}  // namespace jujube::limits
