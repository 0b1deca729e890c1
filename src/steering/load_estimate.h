// Estimate of how much of an instance is in use.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace jujube::steering {

struct LoadFacts {
  std::uint32_t m_slots = 1;            // announced slots, at least 1
  std::uint32_t m_own_in_progress = 0;  // requests of this host
  std::optional<std::uint32_t>
      m_reported;  // requests of all hosts, as reported
  std::chrono::nanoseconds m_report_age{0};   // time since it was sent
  std::uint32_t m_shed_permille = 0;          // refusals seen by this host
  std::chrono::nanoseconds m_outcome_age{0};  // time since the last outcome

  friend auto operator<=>(const LoadFacts&, const LoadFacts&) = default;
};

// Part of the slots in use, in permille, at most 1000.
//
// - The requests of this host are a lower bound.
// - A report adds the others' use at a part of its weight, so it can rank
//   instances but not hide or exceed what this host sees.
// - A stale report decays towards full. A missing one counts as full: unknown
//   is never idle.
// - Refusals seen by this host are a lower bound that fades over time, so that
//   the instance is tried again.
std::uint32_t EstimateUse(const LoadFacts& facts);

}  // namespace jujube::steering
