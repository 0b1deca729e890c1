#include "net/frame_metrics.h"

#include "observe/metrics.h"

namespace jujube::net {

namespace {

observe::Counter* MetricCounter(Metric metric) {
  return &observe::CounterOf(metric);
}

}  // namespace

FrameMetrics::FrameMetrics()
    : m_bindings{{
          {MetricCounter(Metric::kFramesSent), &FrameCounters::m_frames_sent},
          {MetricCounter(Metric::kFramesReceived),
           &FrameCounters::m_frames_received},
          {MetricCounter(Metric::kFrameBytesSent),
           &FrameCounters::m_bytes_sent},
          {MetricCounter(Metric::kFrameBytesReceived),
           &FrameCounters::m_bytes_received},
          {MetricCounter(Metric::kFramesRefused),
           &FrameCounters::m_frames_refused},
          {MetricCounter(Metric::kHandshakesFailed),
           &FrameCounters::m_handshakes_failed},
          {MetricCounter(Metric::kLateReplies), &FrameCounters::m_late_replies},
          {MetricCounter(Metric::kFrameQueueFull),
           &FrameCounters::m_queue_full},
      }} {}

void FrameMetrics::Update(const FrameCounters& counters) {
  for (CounterBinding& binding : m_bindings) {
    const std::uint64_t total =
        (counters.*binding.m_source).load(std::memory_order_relaxed);
    binding.m_counter->Add(total - binding.m_last_total);
    binding.m_last_total = total;
  }
}

}  // namespace jujube::net
