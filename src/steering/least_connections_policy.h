// LeastConnectionsPolicy: selects the candidate with the fewest requests in
// progress of this host.

#pragma once

#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

// Ties are broken at random; otherwise all hosts would start with the same
// instance.
struct LeastConnectionsPolicy {
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& /*weights*/,
                   FastRandom& random) {
    std::size_t best = 0;
    std::uint32_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].m_in_progress < candidates[best].m_in_progress) {
        best = i;
        ties = 1;
      } else if (candidates[i].m_in_progress ==
                     candidates[best].m_in_progress &&
                 random.UniformBelow(++ties) == 0) {
        best = i;
      }
    }
    return best;
  }
};

static_assert(SelectionPolicy<LeastConnectionsPolicy>);

}  // namespace jujube::steering
