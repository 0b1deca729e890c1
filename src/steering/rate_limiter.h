// RateLimiter: the part of this host in a rate limit that an instance states
// for all entry hosts together.
//
//   limiter.SetLimit(6400, now);  // requests per 1000 s; on each response
//   limiter.SetShare(0.25);       // control thread: part of this host
//   if (limiter.TryStart(now))
//     ...send a request
//
// All requests count, also those that the instance refuses. Unused requests
// accumulate for up to kBurstPeriod. Thread-safe and lock-free.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jujube::steering {

class RateLimiter {
 public:
  static constexpr std::chrono::nanoseconds kBurstPeriod =
      std::chrono::seconds(1);

  // Requests per 1000 s of all hosts; nullopt: no limit. A limit of less than
  // kMinRequestsPer1000s counts as this one. Returns true if it is another
  // limit than before.
  bool SetLimit(std::optional<std::uint64_t> requests_per_1000s, MonoTime now);
  static constexpr std::uint64_t kMinRequestsPer1000s = 500;

  // Part of the limit that this host uses, more than 0 and up to 1.
  void SetShare(double share) {
    m_share.store(share, std::memory_order_relaxed);
  }

  bool IsLimited() const {
    return m_limit.load(std::memory_order_relaxed) != kNoLimit;
  }

  bool MayStart(MonoTime now) const {
    return !IsLimited() ||
           m_next_request_at.load(std::memory_order_relaxed) <= now;
  }

  // Counts a request and returns true if the limit allows one now.
  bool TryStart(MonoTime now);

 private:
  static constexpr std::uint64_t kNoLimit = UINT64_MAX;

  std::atomic<std::uint64_t> m_limit = kNoLimit;  // as stated
  std::atomic<double> m_share = 1;
  std::atomic<MonoTime> m_next_request_at{MonoTime{}};
};

}  // namespace jujube::steering
