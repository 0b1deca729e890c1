// The share of one cap that this entry host may use, shared by worker threads.
//
// One control thread adopts grants; any thread spends them without locks. The
// three values of a grant (safe, leased, expiry) must be read together: with
// the leased part of one grant and the expiry of another, a spender could use
// units after they expired. The values are therefore protected by a sequence
// lock, whose version is odd during a change. A reader that overlaps a change
// does not wait: after a few attempts it uses the safe share alone.
//
// Read `now` from the MonoClock immediately before each call: if the process
// was suspended after an earlier reading, the lease may have expired.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace jujube::limits {

// Units or kbit/s granted by a reply of the leader.
struct Grant {
  std::uint64_t m_safe = 0;    // does not expire
  std::uint64_t m_leased = 0;  // in addition, until m_expires
  MonoTime m_expires;          // time at which the request was sent + lease

  friend auto operator<=>(const Grant&, const Grant&) = default;
};

// Usage since the last report.
struct Usage {
  std::uint64_t m_in_use = 0;  // units in use now, or kbit/s spent
  std::uint64_t m_wanted = 0;  // peak in use + refused, or spent + refused

  friend auto operator<=>(const Usage&, const Usage&) = default;
};

struct SpendResult {
  bool m_allowed = false;
  MonoTime m_retry_at;  // when to retry, if not allowed

  friend auto operator<=>(const SpendResult&, const SpendResult&) = default;
};

class LimitCell {
 public:
  // Burst of a rate: the longest idle time for which tokens accumulate. Short
  // compared with the measurement interval of a link, long compared with the
  // timer resolution of an event loop.
  static constexpr std::chrono::milliseconds kBurstDuration{20};

  // When to retry while the rate is zero.
  static constexpr std::chrono::milliseconds kZeroRateRetryDelay{100};

  LimitCell() = default;
  LimitCell(const LimitCell&) = delete;
  LimitCell& operator=(const LimitCell&) = delete;

  // Replaces the current grant. Call from one thread at a time.
  void Adopt(const Grant& grant);

  // Units or kbit/s usable at this time, including units in use.
  std::uint64_t Usable(MonoTime now) const;

  // For requests in progress and connections. An acquired unit is held until
  // Release(), also after the lease has expired.
  bool TryAcquire(std::uint64_t units, MonoTime now);
  void Release(std::uint64_t units);
  std::uint64_t InUse() const { return m_in_use.load(); }

  // Token bucket, for rates in kbit/s. A chunk that is larger than the burst is
  // allowed once the bucket is full; the deficit is refilled before the next
  // chunk is allowed.
  SpendResult TrySpend(std::uint64_t bytes, MonoTime now);

  // Returns the usage and starts a new period. Call from one thread at a time.
  Usage TakeUnitUsage();
  Usage TakeRateUsage(std::chrono::nanoseconds elapsed);

 private:
  struct UsableSnapshot {
    std::uint64_t m_version = 0;
    std::uint64_t m_usable = 0;
  };

  UsableSnapshot ReadUsable(MonoTime now) const;

  std::atomic<std::uint64_t> m_version = 0;  // odd during Adopt()
  std::atomic<std::uint64_t> m_safe = 0;
  std::atomic<std::uint64_t> m_leased = 0;
  std::atomic<std::int64_t> m_expires_ns = 0;
  std::atomic<std::uint64_t> m_in_use = 0;
  std::atomic<std::uint64_t> m_peak_in_use = 0;
  std::atomic<std::uint64_t> m_refused_amount = 0;    // units or bytes
  std::atomic<std::uint64_t> m_spent_bytes = 0;       // of a rate
  std::atomic<std::int64_t> m_bucket_full_at_ns = 0;  // when the bucket is full
};

}  // namespace jujube::limits
