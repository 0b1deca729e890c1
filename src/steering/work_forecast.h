// WorkForecast: what a selected instance was expected to cost a request.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "steering/acquaintance.h"
#include "steering/expected_cost.h"

namespace jujube::steering {

struct WorkForecast {
  Acquaintance m_acquaintance = Acquaintance::kStranger;
  std::uint64_t m_placement = 0;  // for PlacementMemory; 0: no object
  Cost m_cost;
  std::chrono::microseconds m_work{0};  // at the usual speed
  std::uint32_t m_slots = 1;            // announced by the instance

  friend auto operator<=>(const WorkForecast&, const WorkForecast&) = default;
};

}  // namespace jujube::steering
