// QuotaCell: tokens of one tenant at this entry host.
//
//   if (!cell->HasRoom(MonoClock::now()))          // before any other work
//     ...wait for a moment while cell->MayWait(now) holds, else refuse: 429...
//   ...admission...
//   if (!cell->TrySpend(MonoClock::now()))
//     return Refuse(429, cell->Refuse(random, now));
//
// A host may be out of tokens while its tenant is far below its quota, above
// all if the quota has hardly more tokens than there are hosts. A request then
// waits for one from the leader, unless one was refused lately: the tenant is
// then taken to be over its quota.
//
// Any thread spends tokens, without locks or allocations; the control thread
// adopts limits. Both counters are cumulative, so that lost and repeated
// messages do no harm, and they share one atomic word: a token is spent either
// before or after a change of the limit.

#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>

#include "core/clock.h"
#include "quotas/quota_lease.h"

namespace jujube::quotas {

// Counters modulo 2^32.
struct QuotaCount {
  std::uint32_t m_spent = 0;  // tokens spent since the start of the process
  std::uint32_t m_limit =
      0;  // value of m_spent up to which tokens may be spent

  // Tokens left; not positive if there are none.
  constexpr std::int32_t Left() const {
    return static_cast<std::int32_t>(m_limit - m_spent);
  }
  friend auto operator<=>(const QuotaCount&, const QuotaCount&) = default;
};

class QuotaCell {
 public:
  explicit QuotaCell(std::shared_ptr<QuotaLease> lease)
      : m_lease(std::move(lease)) {}
  QuotaCell(const QuotaCell&) = delete;
  QuotaCell& operator=(const QuotaCell&) = delete;

  // `now`: read immediately before the call, since the lease may have run out
  // while the process was suspended.
  bool HasRoom(MonoTime now) const;
  bool TrySpend(MonoTime now);

  // True if a request may wait for a token.
  bool MayWait(MonoTime now) const {
    return now >= m_no_wait_until.load(std::memory_order_relaxed);
  }
  // A request starts to wait. Asks the leader for tokens.
  void Want();
  // True if a request waited since the last call.
  bool TakeWanted() {
    return m_is_wanted.exchange(false, std::memory_order_relaxed);
  }
  bool IsWanted() const { return m_is_wanted.load(std::memory_order_relaxed); }

  // Counts a refusal. Returns the time after which the caller may find room;
  // `random` spreads callers that are refused together.
  std::chrono::milliseconds Refuse(std::uint64_t random, MonoTime now);

  QuotaCount Count() const;
  // Requests that found no token: they waited or were refused.
  std::uint32_t Lacked() const {
    return m_lacked.load(std::memory_order_relaxed);
  }
  std::uint32_t Refused() const {
    return m_refused.load(std::memory_order_relaxed);
  }

  // Called by the control thread.
  void SetLimit(std::uint32_t limit);
  // Gives up the tokens that are left.
  void DropTokens();
  // Expected time between tokens, from which Refuse() computes its answer.
  // Starts a new queue of refused callers.
  void SetInterval(std::chrono::nanoseconds interval);

 private:
  const std::shared_ptr<QuotaLease> m_lease;
  std::atomic<std::uint64_t> m_count = 0;  // limit in the upper 32 bits
  std::atomic<std::uint32_t> m_lacked = 0;
  std::atomic<std::uint32_t> m_refused = 0;
  std::atomic<std::uint32_t> m_refused_in_queue = 0;
  std::atomic<std::int64_t> m_interval_ns = 0;
  std::atomic<MonoTime> m_no_wait_until{MonoTime{}};
  std::atomic<bool> m_is_wanted = false;
};

}  // namespace jujube::quotas
