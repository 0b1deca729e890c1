#include "steering/headroom_latency_policy.h"

#include <algorithm>
#include <limits>

namespace jujube::steering {
namespace {

constexpr std::int64_t kFullPermille = 1000;

// Spill threshold in permille: when every candidate of a tier has at least this
// utilization, the next tier is considered as well. kHeadroomSpillPermille
// applies if only headroom has weight, kLatencySpillPermille if only latency
// has; other weights interpolate. docs/steering.md compares the results.
constexpr std::int64_t kHeadroomSpillPermille = 500;
constexpr std::int64_t kLatencySpillPermille = 550;

// Cost per permille of utilization above the spill threshold. Without it, a
// high latency weight keeps requests in a full zone: sending a request to
// another region costs up to 1000 permille, the last free slot of a zone only
// its fraction of the headroom.
constexpr std::int64_t kSpillCostFactor = 4;

// Cost of an instance at the beginning of its slow start, so that it ranks
// behind warm instances of the same utilization.
constexpr std::int64_t kColdCostPermille = 300;

// Added to each latency before the comparison, because differences well below 1
// ms are network noise.
constexpr std::int64_t kLatencyFloorUs = 1000;

struct NormalizedWeights {
  std::int64_t m_headroom = 0;  // permille
  std::int64_t m_latency = 0;   // permille
};

NormalizedWeights Normalize(const Weights& weights) {
  const std::int64_t sum = std::int64_t{weights.m_headroom} + weights.m_latency;
  if (sum == 0)
    return {.m_headroom = kFullPermille / 2, .m_latency = kFullPermille / 2};
  const std::int64_t headroom = weights.m_headroom * kFullPermille / sum;
  return {.m_headroom = headroom, .m_latency = kFullPermille - headroom};
}

std::int64_t SpillThreshold(const NormalizedWeights& normalized_weights) {
  return (kHeadroomSpillPermille * normalized_weights.m_headroom +
          kLatencySpillPermille * normalized_weights.m_latency) /
         kFullPermille;
}

// Farthest tier that is considered.
Tier FarthestTier(std::span<const Candidate> candidates,
                  std::int64_t spill_threshold) {
  Tier farthest_tier = Tier::kRemote;
  for (const Candidate& candidate : candidates) {
    if (candidate.m_utilization_permille < spill_threshold)
      farthest_tier = std::min(farthest_tier, candidate.m_tier);
  }
  return farthest_tier;
}

std::int64_t CostOf(const Candidate& candidate,
                    std::int64_t best_latency_us,
                    std::int64_t spill_threshold,
                    const NormalizedWeights& normalized_weights) {
  const std::int64_t latency_us = candidate.m_latency_us + kLatencyFloorUs;
  const std::int64_t excess_latency_permille =
      kFullPermille -
      (best_latency_us + kLatencyFloorUs) * kFullPermille / latency_us;
  return (normalized_weights.m_headroom * candidate.m_utilization_permille +
          normalized_weights.m_latency * excess_latency_permille) /
             kFullPermille +
         std::max<std::int64_t>(
             0, candidate.m_utilization_permille - spill_threshold) *
             kSpillCostFactor +
         candidate.m_failure_permille +
         (kFullPermille - candidate.m_ramp_permille) * kColdCostPermille /
             kFullPermille;
}

}  // namespace

std::size_t HeadroomLatencyPolicy::Pick(std::span<const Candidate> candidates,
                                        const Weights& weights,
                                        FastRandom& random) {
  const NormalizedWeights normalized_weights = Normalize(weights);
  const std::int64_t spill_threshold = SpillThreshold(normalized_weights);
  const Tier farthest_tier = FarthestTier(candidates, spill_threshold);
  std::int64_t best_latency_us = std::numeric_limits<std::int64_t>::max();
  for (const Candidate& candidate : candidates) {
    if (candidate.m_tier <= farthest_tier)
      best_latency_us = std::min(best_latency_us, candidate.m_latency_us);
  }
  std::size_t best = 0;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  std::uint32_t ties = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].m_tier > farthest_tier)
      continue;
    const std::int64_t cost = CostOf(candidates[i], best_latency_us,
                                     spill_threshold, normalized_weights);
    if (cost < best_cost) {
      best = i;
      best_cost = cost;
      ties = 1;
    } else if (cost == best_cost && random.UniformBelow(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

}  // namespace jujube::steering
