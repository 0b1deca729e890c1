// FrameCounters: event counters of frame connections, shared by threads.

#pragma once

#include <atomic>
#include <cstdint>

namespace jujube::net {

// FrameMetrics copies them to the metrics of schema/metrics/net.json.
struct FrameCounters {
  std::atomic<std::uint64_t> m_frames_sent{0};
  std::atomic<std::uint64_t> m_frames_received{0};
  std::atomic<std::uint64_t> m_bytes_sent{0};      // head and payload
  std::atomic<std::uint64_t> m_bytes_received{0};  // head and payload
  std::atomic<std::uint64_t> m_frames_refused{0};
  std::atomic<std::uint64_t> m_handshakes_failed{0};
  std::atomic<std::uint64_t> m_late_replies{0};
  std::atomic<std::uint64_t> m_queue_full{0};
};

}  // namespace jujube::net
