// The limits of an entry host, as worker threads use them.
//
// The table is an immutable map from limits to shared cells. The control thread
// makes a new table when a limit appears or goes (see AllotmentHolder) and
// publishes it with an rcu::Cell; the cells, and with them the units in use,
// pass from table to table. A grant changes the cells, not the table.
//
//   // worker thread, inside a read section
//   Permit slot = table.TryAcquire(SlotLimit(service, instance), 1,
//   clock.Now()); if (!slot)
//     ...                        // try another instance, or refuse: not run
//   // the request carries `slot`; destroying it releases the unit
//
//   const SpendResult spent =
//       table.TrySpend(LinkLimit(from, to), bytes, clock.Now());
//   if (!spent.m_allowed)
//     ...                        // set a timer for spent.m_retry_at, try again
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

  // Acquires units of a cap on requests or connections. Empty if they are not
  // to be had now.
  Permit TryAcquire(const LimitId& limit,
                    std::uint64_t units,
                    MonoTime now) const {
    const auto at = m_cells.find(limit);
    if (at == m_cells.end() || !at->second->TryAcquire(units, now))
      return {};
    return {at->second, units};
  }

  // Spends bytes of a link's rate.
  SpendResult TrySpend(const LimitId& limit,
                       std::uint64_t bytes,
                       MonoTime now) const {
    const auto at = m_cells.find(limit);
    if (at == m_cells.end())
      return {.m_retry_at = now + LimitCell::kZeroRateWait};
    return at->second->TrySpend(bytes, now);
  }

  // Units or kbit/s that may be used now, the ones in use included.
  std::uint64_t Usable(const LimitId& limit, MonoTime now) const {
    const auto at = m_cells.find(limit);
    return at == m_cells.end() ? 0 : at->second->Usable(now);
  }

  const Cells& AllCells() const { return m_cells; }

 private:
  Cells m_cells;
};

}  // namespace jujube::limits
