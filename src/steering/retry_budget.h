// RetryBudget: token bucket that limits the retries of a service on this host.

#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace jujube::steering {

// Each request adds a fraction of a token and each retry takes one token. When
// a service fails every request, retries increase its load by this fraction
// only.
class RetryBudget {
 public:
  // Covers the requests in progress at one failed instance with 9 slots.
  static constexpr std::uint32_t kDefaultBurst = 10;

  // Capacity of the bucket in retries, at least 1.
  void SetBurst(std::uint32_t retries) {
    m_burst_millitokens.store(kMillitokensPerToken * std::max(retries, 1U),
                              std::memory_order_relaxed);
  }

  // `permille` is Service::m_retry_budget_permille; 0 allows no retries.
  void OnRequest(std::uint16_t permille) {
    const std::int64_t burst_millitokens =
        m_burst_millitokens.load(std::memory_order_relaxed);
    std::int64_t old = m_millitokens.load(std::memory_order_relaxed);
    while (!m_millitokens.compare_exchange_weak(
        old, std::min<std::int64_t>(old + permille, burst_millitokens),
        std::memory_order_relaxed)) {
    }
  }

  // Takes a token if one is available.
  bool TryWithdraw(std::uint16_t permille) {
    std::int64_t old = m_millitokens.load(std::memory_order_relaxed);
    while (permille > 0 && old >= kMillitokensPerToken) {
      if (m_millitokens.compare_exchange_weak(old, old - kMillitokensPerToken,
                                              std::memory_order_relaxed))
        return true;
    }
    return false;
  }

 private:
  static constexpr std::int64_t kMillitokensPerToken = 1000;
  // Allows a host that has just started to retry failed connects.
  static constexpr std::int64_t kInitialMillitokens = 3 * kMillitokensPerToken;

  std::atomic<std::int64_t> m_burst_millitokens =
      kDefaultBurst * kMillitokensPerToken;
  std::atomic<std::int64_t> m_millitokens = kInitialMillitokens;
};

}  // namespace jujube::steering
