// RandomPolicy: selects each candidate with the same probability.

#pragma once

#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

struct RandomPolicy {
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& /*weights*/,
                   FastRandom& random) {
    return random.UniformBelow(static_cast<std::uint32_t>(candidates.size()));
  }
};

static_assert(SelectionPolicy<RandomPolicy>);

}  // namespace jujube::steering
