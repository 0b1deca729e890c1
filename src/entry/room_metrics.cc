#include "entry/room_metrics.h"

#include <algorithm>
#include <string>

#include "observe/metrics.h"

namespace jujube::entry {

std::string_view WaitOutcomeText(
    const std::optional<overload::RoomAnswer>& answer) {
  return answer ? overload::ToString(*answer) : "caller_left";
}

RoomMetrics::RoomMetrics() : m_waiting(observe::GaugeOf(Metric::kWaiting)) {
  for (std::size_t priority = 0; priority < m_seconds.size(); ++priority) {
    m_seconds[priority] =
        &observe::HistogramOf(Metric::kWaitSeconds, std::to_string(priority));
  }
}

void RoomMetrics::OnWaitEnded(std::uint8_t priority,
                              const std::optional<overload::RoomAnswer>& answer,
                              std::chrono::nanoseconds waited) {
  m_waiting.Add(-1);
  // Waits are rare compared with requests, so the look-up is not cached.
  observe::CounterOf(Metric::kWaited, WaitOutcomeText(answer)).Add();
  m_seconds[std::min(priority, overload::kHighestPriority)]->Observe(
      std::chrono::duration<double>(waited).count());
}

}  // namespace jujube::entry
