// The part of one cap that this entry host may use, shared by worker threads.
//
// One control thread adopts grants; any thread spends from them without locks.
// A grant has three numbers (safe, leased, expiry), which a spender must see
// together: the leased part of one grant with the expiry of another would be
// spent after it expired. A version counter that is odd during a change tells.
// A spender that meets a change does not wait: it tries a few times, then
// counts the safe share alone.
//
// `now` has to be read right before the call, on the MonoClock: the process may
// have been frozen since an earlier reading, and the lease be gone.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace jujube::limits {

// What a reply of the leader allows.
struct Grant {
  std::uint64_t m_safe = 0;    // without expiry
  std::uint64_t m_leased = 0;  // on top, until m_expires
  MonoTime m_expires;          // when the request was sent, plus the lease

  friend auto operator<=>(const Grant&, const Grant&) = default;
};

// Use since the last report.
struct Usage {
  std::uint64_t m_in_use = 0;  // units held now; kbit/s for a rate
  std::uint64_t m_wanted = 0;  // most units held, and those refused; or kbit/s

  friend auto operator<=>(const Usage&, const Usage&) = default;
};

struct SpendResult {
  bool m_allowed = false;
  MonoTime m_retry_at;  // when to try again, if not allowed

  friend auto operator<=>(const SpendResult&, const SpendResult&) = default;
};

class LimitCell {
 public:
  // Idle time that a rate may catch up on. Short against the measurements of a
  // link, long against the timer of an event loop.
  static constexpr std::chrono::milliseconds kBurst{20};

  // Wait of a spender while the rate is zero.
  static constexpr std::chrono::milliseconds kZeroRateWait{100};

  LimitCell() = default;
  LimitCell(const LimitCell&) = delete;
  LimitCell& operator=(const LimitCell&) = delete;

  // Puts a grant in force. One thread at a time.
  void Adopt(const Grant& grant);

  // Units or kbit/s that may be used at this time.
  std::uint64_t Usable(MonoTime now) const;

  // Units, for requests in progress and connections. A unit that was acquired
  // is held until Release(), also beyond the expiry of the lease.
  bool TryAcquire(std::uint64_t units, MonoTime now);
  void Release(std::uint64_t units);
  std::uint64_t InUse() const { return m_in_use.load(); }

  // Token bucket, for rates in kbit/s. A piece that is larger than the burst is
  // allowed once the bucket is full, and what it takes too much is paid back
  // before the next one.
  SpendResult TrySpend(std::uint64_t bytes, MonoTime now);

  // Reports and starts over. One thread at a time.
  Usage TakeUnitUsage();
  Usage TakeRateUsage(std::chrono::nanoseconds elapsed);

 private:
  struct View {
    std::uint64_t m_version = 0;
    std::uint64_t m_usable = 0;
  };

  View Look(MonoTime now) const;

  std::atomic<std::uint64_t> m_version = 0;  // odd while a grant changes
  std::atomic<std::uint64_t> m_safe = 0;
  std::atomic<std::uint64_t> m_leased = 0;
  std::atomic<std::int64_t> m_expires_ns = 0;
  std::atomic<std::uint64_t> m_in_use = 0;
  std::atomic<std::uint64_t> m_peak = 0;
  std::atomic<std::uint64_t> m_refused = 0;      // units, or bytes
  std::atomic<std::uint64_t> m_spent_bytes = 0;  // of a rate
  std::atomic<std::int64_t> m_full_at_ns = 0;    // when the bucket is full
};

}  // namespace jujube::limits
