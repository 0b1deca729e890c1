// CostChoice: result of a selection by cost.

#pragma once

#include <compare>
#include <cstddef>
#include <optional>

#include "steering/work_forecast.h"

namespace jujube::steering {

struct CostChoice {
  std::size_t m_position = 0;  // of a candidate; their number: none
  // Of the candidate; empty if it was not chosen by cost.
  std::optional<WorkForecast> m_forecast = {};
  // None was chosen because the response would come after the deadline.
  bool m_is_expected_late = false;

  friend auto operator<=>(const CostChoice&, const CostChoice&) = default;
};

}  // namespace jujube::steering
