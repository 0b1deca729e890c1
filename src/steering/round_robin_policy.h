// RoundRobinPolicy: candidates one after the other.

#pragma once

#include <algorithm>
#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

// Candidates are ordered by index, so the turn passes to the next larger index
// that is free.
struct RoundRobinPolicy {
  std::size_t m_next = 0;  // index whose turn it is

  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& /*weights*/,
                   FastRandom& /*random*/) {
    const auto found = std::find_if(
        candidates.begin(), candidates.end(),
        [this](const Candidate& c) { return c.m_index >= m_next; });
    const auto turn = found == candidates.end() ? candidates.begin() : found;
    m_next = turn->m_index + 1;
    return static_cast<std::size_t>(turn - candidates.begin());
  }
};

static_assert(SelectionPolicy<RoundRobinPolicy>);

}  // namespace jujube::steering
