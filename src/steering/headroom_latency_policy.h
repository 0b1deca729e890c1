// HeadroomLatencyPolicy: the default policy, which weighs free capacity against
// latency.

#pragma once

#include <span>

#include "steering/selection_policy.h"

namespace jujube::steering {

// Considers the nearest tier (zone, then region, then remote) with a candidate
// whose utilization is below the spill threshold, and all nearer tiers. The
// threshold falls as the weight of headroom grows. Among the candidates
// considered, the one with the lowest cost is selected:
//
//   (headroom * utilization + latency * excess latency) / (headroom + latency)
//     + 4 * (utilization above the spill threshold) + failures + slow start
//
// all in permille. Utilization is EstimateUtilization, excess latency is
// 1 - best / latency. Ties are broken at random.
class HeadroomLatencyPolicy {
 public:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& weights,
                   FastRandom& random);
};

static_assert(SelectionPolicy<HeadroomLatencyPolicy>);

}  // namespace jujube::steering
