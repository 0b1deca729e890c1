// HeadroomLatencyPolicy: the product's own selection policy.

#pragma once

#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

// Takes the nearest tier (zone, then region, then the rest) that has a
// candidate with headroom; the part of a tier that may be in use before the
// next one is considered falls with the weight of headroom. Within the tiers
// considered, the lowest cost wins:
//
//   (headroom * use + latency * excess latency) / (headroom + latency)
//     + 4 * (use beyond the spill threshold) + failures + cold part
//
// all in permille. Use is EstimateUse, excess latency is 1 - best / latency.
// Ties are broken at random.
class HeadroomLatencyPolicy {
 public:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& weights,
                   FastRandom& random);
};

static_assert(SelectionPolicy<HeadroomLatencyPolicy>);

}  // namespace jujube::steering
