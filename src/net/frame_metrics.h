// FrameMetrics: passes the totals of FrameCounters on to the metrics.
//
//   net::FrameMetrics metrics;
//   metrics.Update(counters);      // about each second, on one thread

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
  static constexpr std::size_t kCounters = 8;

  struct Line {
    observe::Counter* m_counter = nullptr;
    const std::atomic<std::uint64_t> FrameCounters::*m_source = nullptr;
    std::uint64_t m_passed = 0;  // total at the last update
  };

  std::array<Line, kCounters> m_lines;
};

}  // namespace jujube::net
