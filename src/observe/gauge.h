// A value that goes up and down.

#pragma once

#include <atomic>
#include <cstdint>

namespace jujube::observe {

// One atomic instead of shards, because Set must replace the whole value and
// Value must return it as it was at one instant.
class Gauge {
 public:
  void Set(std::int64_t value) {
    m_value.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    m_value.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> m_value = 0;
};

}  // namespace jujube::observe
