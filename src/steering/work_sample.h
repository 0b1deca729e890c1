// WorkSample: what a finished attempt says about the work of a request.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "steering/acquaintance.h"
#include "steering/reported_load.h"

namespace jujube::steering {

struct WorkSample {
  std::uint64_t m_route = 0;  // hash of the route
  Acquaintance m_acquaintance = Acquaintance::kStranger;
  // From sending to the response, without the network.
  std::chrono::microseconds m_elapsed{0};
  std::chrono::microseconds m_expected_wait{0};  // at the selection
  std::uint32_t m_work_time_permille = kUsualWorkTimePermille;
  // Given up before its response: the work was at least this much.
  bool m_is_lower_bound = false;

  friend auto operator<=>(const WorkSample&, const WorkSample&) = default;
};

// Work without the expected wait, at the usual speed of a machine. At least a
// quarter of the elapsed time, because the wait is only an estimate.
std::chrono::microseconds WorkOf(const WorkSample& sample);

}  // namespace jujube::steering
