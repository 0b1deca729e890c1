// Estimate of the utilization of an instance.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace jujube::steering {

struct LoadInputs {
  std::uint32_t m_slots = 1;            // announced slots, at least 1
  std::uint32_t m_own_in_progress = 0;  // requests of this host
  std::optional<std::uint32_t> m_reported_in_progress;  // requests of all hosts
  std::chrono::nanoseconds m_report_age{0};   // time since the report was sent
  std::uint32_t m_shed_permille = 0;          // refusals seen by this host
  std::chrono::nanoseconds m_outcome_age{0};  // time since the last outcome

  friend auto operator<=>(const LoadInputs&, const LoadInputs&) = default;
};

// Utilization of the slots in permille, at most 1000.
//
// - The requests of this host are a lower bound.
// - A report adds the requests of other hosts at a reduced weight, so it can
//   rank instances but not override what this host observes.
// - A stale report decays towards full. A missing one counts as full, because
//   unknown load must not be taken for no load.
// - Refusals observed by this host are a lower bound that decays over time, so
//   that the instance is tried again.
std::uint32_t EstimateUtilization(const LoadInputs& inputs);

}  // namespace jujube::steering
