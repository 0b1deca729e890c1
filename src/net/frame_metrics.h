// FrameMetrics: copies FrameCounters to the metrics.
//
//   net::FrameMetrics metrics;
//   metrics.Update(counters);      // about once a second, on one thread

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "net/frame_counters.h"

namespace jujube::observe {
class Counter;
}

namespace jujube::net {

class FrameMetrics {
 public:
  FrameMetrics();

  void Update(const FrameCounters& counters);

 private:
  static constexpr std::size_t kCounterCount = 8;

  struct CounterBinding {
    observe::Counter* m_counter = nullptr;
    const std::atomic<std::uint64_t> FrameCounters::*m_source = nullptr;
    std::uint64_t m_last_total = 0;  // value at the last update
  };

  std::array<CounterBinding, kCounterCount> m_bindings;
};

}  // namespace jujube::net
