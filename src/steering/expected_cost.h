// EstimateCost: time until a request would be complete at an instance.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "core/clock.h"
#include "steering/reported_load.h"

namespace jujube::steering {

struct CostInputs {
  std::uint32_t m_slots = 1;                 // announced
  std::uint32_t m_in_progress = 0;           // requests of this host
  ReportedLoad m_load;                       // last report of the instance
  std::chrono::microseconds m_work{0};       // expected, at the usual speed
  std::chrono::microseconds m_mean_work{0};  // of the requests of the service
  std::uint32_t m_mean_queue_permille = 0;   // WorkEstimator
  std::uint32_t m_mean_work_time_permille = kUsualWorkTimePermille;
  std::uint32_t m_failure_permille = 0;  // recent failures
  std::chrono::microseconds m_round_trip{0};

  friend auto operator<=>(const CostInputs&, const CostInputs&) = default;
};

struct Cost {
  std::chrono::microseconds m_wait{0};  // in the queue of the instance
  // Part of the wait that the mean of the service explains, so that it says
  // nothing about this instance.
  std::chrono::microseconds m_usual_wait{0};
  std::chrono::microseconds m_work{0};  // on its machine as it is now
  std::chrono::microseconds m_rest{0};  // network and repeated failures

  std::chrono::microseconds Total() const { return m_wait + m_work + m_rest; }

  friend auto operator<=>(const Cost&, const Cost&) = default;
};

// The report counts in full while it is fresh and then fades into the means of
// the service; the requests of this host always count. A report from the future
// counts as fresh.
Cost EstimateCost(const CostInputs& inputs, MonoTime now);

}  // namespace jujube::steering
