// TwoChoicesPolicy: power of two choices, selects the less utilized one of two
// random candidates.

#pragma once

#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

struct TwoChoicesPolicy {
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& /*weights*/,
                   FastRandom& random) {
    const auto count = static_cast<std::uint32_t>(candidates.size());
    if (count == 1)
      return 0;
    const std::uint32_t a = random.UniformBelow(count);
    const std::uint32_t b = (a + 1 + random.UniformBelow(count - 1)) % count;
    return candidates[b].m_utilization_permille <
                   candidates[a].m_utilization_permille
               ? b
               : a;
  }
};

static_assert(SelectionPolicy<TwoChoicesPolicy>);

}  // namespace jujube::steering
