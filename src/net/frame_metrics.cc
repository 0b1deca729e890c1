#include "net/frame_metrics.h"

#include "observe/metrics.h"

namespace jujube::net {

namespace {

observe::Counter* Find(Metric metric) {
  return &observe::CounterOf(metric);
}

}  // namespace

FrameMetrics::FrameMetrics()
    : m_lines{{
          {Find(Metric::kFramesSent), &FrameCounters::m_frames_sent},
          {Find(Metric::kFramesReceived), &FrameCounters::m_frames_received},
          {Find(Metric::kFrameBytesSent), &FrameCounters::m_bytes_sent},
          {Find(Metric::kFrameBytesReceived), &FrameCounters::m_bytes_received},
          {Find(Metric::kFramesRefused), &FrameCounters::m_frames_refused},
          {Find(Metric::kHandshakesFailed),
           &FrameCounters::m_handshakes_failed},
          {Find(Metric::kLateReplies), &FrameCounters::m_late_replies},
          {Find(Metric::kFrameQueueFull), &FrameCounters::m_queue_full},
      }} {}

void FrameMetrics::Update(const FrameCounters& counters) {
  for (Line& line : m_lines) {
    const std::uint64_t total =
        (counters.*line.m_source).load(std::memory_order_relaxed);
    line.m_counter->Add(total - line.m_passed);
    line.m_passed = total;
  }
}

}  // namespace jujube::net
