// RoundRobinPolicy: selects the candidates in rotation.

#pragma once

#include <algorithm>
#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

// Candidates are sorted by index; the next one is the first whose index is at
// least m_next, or the first of all.
struct RoundRobinPolicy {
  std::size_t m_next = 0;  // minimum index of the next selection

  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& /*weights*/,
                   FastRandom& /*random*/) {
    const auto found = std::find_if(
        candidates.begin(), candidates.end(),
        [this](const Candidate& c) { return c.m_index >= m_next; });
    const auto selected =
        found == candidates.end() ? candidates.begin() : found;
    m_next = selected->m_index + 1;
    return static_cast<std::size_t>(selected - candidates.begin());
  }
};

static_assert(SelectionPolicy<RoundRobinPolicy>);

}  // namespace jujube::steering
