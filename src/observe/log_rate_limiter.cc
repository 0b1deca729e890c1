#include "observe/log_rate_limiter.h"

#include <algorithm>

namespace jujube::observe {

namespace {

constexpr std::int64_t kLineIntervalNs = 1'000'000'000 / kLogLinesPerSecond;

}  // namespace

std::optional<std::uint64_t> LogRateLimiter::TryAcquire(MonoTime now) {
  const std::int64_t now_ns = now.time_since_epoch().count();
  std::int64_t next_arrival_ns =
      m_next_arrival_ns.load(std::memory_order_relaxed);
  for (;;) {
    const std::int64_t arrival_ns = std::max(next_arrival_ns, now_ns);
    if (arrival_ns - now_ns > (kLogBurst - 1) * kLineIntervalNs) {
      m_suppressed_count.fetch_add(1, std::memory_order_relaxed);
      return std::nullopt;
    }
    if (m_next_arrival_ns.compare_exchange_weak(next_arrival_ns,
                                                arrival_ns + kLineIntervalNs,
                                                std::memory_order_relaxed))
      return m_suppressed_count.exchange(0, std::memory_order_relaxed);
  }
}

}  // namespace jujube::observe
