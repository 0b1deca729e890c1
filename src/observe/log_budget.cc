#include "observe/log_budget.h"

#include <algorithm>

namespace jujube::observe {

namespace {

constexpr std::int64_t kLineNs = 1'000'000'000 / kLogLinesPerSecond;

}  // namespace

std::optional<std::uint64_t> LogBudget::Take(MonoTime now) {
  const std::int64_t now_ns = now.time_since_epoch().count();
  std::int64_t next = m_next_ns.load(std::memory_order_relaxed);
  for (;;) {
    const std::int64_t start = std::max(next, now_ns);
    if (start - now_ns > (kLogBurst - 1) * kLineNs) {
      m_refused.fetch_add(1, std::memory_order_relaxed);
      return std::nullopt;
    }
    if (m_next_ns.compare_exchange_weak(next, start + kLineNs,
                                        std::memory_order_relaxed))
      return m_refused.exchange(0, std::memory_order_relaxed);
  }
}

}  // namespace jujube::observe
