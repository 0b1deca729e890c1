#include "steering/rate_limiter.h"

#include <algorithm>

namespace jujube::steering {
namespace {

constexpr double kPeriodNanoseconds = 1e12;  // 1000 s

// Keeps the time of the next request in range if the share is tiny.
constexpr std::chrono::nanoseconds kMaxInterval = std::chrono::minutes(1);

std::chrono::nanoseconds IntervalOf(std::uint64_t limit, double share) {
  const double nanoseconds =
      kPeriodNanoseconds / (static_cast<double>(limit) * share);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      std::min(nanoseconds, static_cast<double>(kMaxInterval.count()))));
}

}  // namespace

bool RateLimiter::SetLimit(std::optional<std::uint64_t> requests_per_1000s,
                           MonoTime now) {
  const std::uint64_t limit = requests_per_1000s.value_or(kNoLimit);
  const std::uint64_t old = m_limit.exchange(limit, std::memory_order_relaxed);
  // Nothing has accumulated when a limit begins.
  if (old == kNoLimit && limit != kNoLimit)
    m_next_request_at.store(now, std::memory_order_relaxed);
  return old != limit;
}

bool RateLimiter::TryStart(MonoTime now) {
  const std::uint64_t limit = m_limit.load(std::memory_order_relaxed);
  if (limit == kNoLimit)
    return true;
  // A few requests are sent even if the instance takes none: only a response
  // can end the limit.
  const std::chrono::nanoseconds interval =
      IntervalOf(std::max(limit, kMinRequestsPer1000s),
                 m_share.load(std::memory_order_relaxed));
  MonoTime next = m_next_request_at.load(std::memory_order_relaxed);
  while (next <= now) {
    const MonoTime earliest = std::max(next, now - kBurstPeriod);
    if (m_next_request_at.compare_exchange_weak(next, earliest + interval,
                                                std::memory_order_relaxed))
      return true;
  }
  return false;
}

}  // namespace jujube::steering
