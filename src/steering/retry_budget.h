// RetryBudget: token bucket that bounds the retries of a service on this host.

#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace jujube::steering {

// Each request adds a part of a token, each retry takes a whole one. When an
// upstream fails every request, the load on it grows by that part only.
class RetryBudget {
 public:
  // Enough for the requests in progress at one failed instance of 9 slots.
  static constexpr std::uint32_t kDefaultBurst = 10;

  // Most retries that can be saved up, 1 at least.
  void SetBurst(std::uint32_t retries) {
    m_burst.store(kToken * std::max(retries, 1U), std::memory_order_relaxed);
  }

  // `permille` is Service::m_retry_budget_permille; 0 allows no retry at all.
  void OnRequest(std::uint16_t permille) {
    const std::int64_t burst = m_burst.load(std::memory_order_relaxed);
    std::int64_t old = m_millitokens.load(std::memory_order_relaxed);
    while (!m_millitokens.compare_exchange_weak(
        old, std::min<std::int64_t>(old + permille, burst),
        std::memory_order_relaxed)) {
    }
  }

  // Takes a token if there is one.
  bool TryWithdraw(std::uint16_t permille) {
    std::int64_t old = m_millitokens.load(std::memory_order_relaxed);
    while (permille > 0 && old >= kToken) {
      if (m_millitokens.compare_exchange_weak(old, old - kToken,
                                              std::memory_order_relaxed))
        return true;
    }
    return false;
  }

 private:
  static constexpr std::int64_t kToken = 1000;
  // A host that has just started can still retry a failed connect.
  static constexpr std::int64_t kInitial = 3 * kToken;

  std::atomic<std::int64_t> m_burst = kDefaultBurst * kToken;
  std::atomic<std::int64_t> m_millitokens = kInitial;
};

}  // namespace jujube::steering
