// RoomMetrics: metrics of the requests that wait for room.

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "observe/counter.h"
#include "observe/gauge.h"
#include "observe/histogram.h"
#include "overload/room_policy.h"

namespace jujube::entry {

// Label of jujube_requests_waited_total. Empty: the caller left.
std::string_view WaitOutcomeText(
    const std::optional<overload::RoomAnswer>& answer);

class RoomMetrics {
 public:
  RoomMetrics();

  void OnWaitStarted() { m_waiting.Add(1); }
  void OnWaitEnded(std::uint8_t priority,
                   const std::optional<overload::RoomAnswer>& answer,
                   std::chrono::nanoseconds waited);

 private:
  observe::Gauge& m_waiting;
  std::array<observe::Histogram*, overload::kHighestPriority + 1> m_seconds{};
};

}  // namespace jujube::entry
