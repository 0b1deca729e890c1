#include "steering/headroom_latency_policy.h"

#include <algorithm>
#include <limits>

namespace jujube::steering {
namespace {

constexpr std::int64_t kWhole = 1000;  // permille

// Use of the least used candidate of a tier from which on the next tier is
// considered too: kSpillHeadroom if only headroom counts,
// kSpillLatency if only latency counts. Chosen with bench/steering_bench, see
// docs/steering.md.
constexpr std::int64_t kSpillHeadroom = 500;
constexpr std::int64_t kSpillLatency = 550;

// Cost of each permille of use beyond the spill threshold. Without it, a high
// weight of latency keeps requests in a full zone: a trip to another region
// costs up to 1000, the last free slot of a zone only its part of headroom.
constexpr std::int64_t kSpillCost = 4;

// A cold or ejected-before instance ranks behind warm ones of the same use.
constexpr std::int64_t kColdCost = 300;

// Added to each latency before they are compared. Differences well below 1 ms
// are noise of the network and say nothing about an instance.
constexpr std::int64_t kLatencyFloorUs = 1000;

struct Shares {
  std::int64_t m_headroom = 0;  // permille
  std::int64_t m_latency = 0;   // permille
};

Shares SharesOf(const Weights& weights) {
  const std::int64_t sum = std::int64_t{weights.m_headroom} + weights.m_latency;
  if (sum == 0)
    return {.m_headroom = kWhole / 2, .m_latency = kWhole / 2};
  const std::int64_t headroom = weights.m_headroom * kWhole / sum;
  return {.m_headroom = headroom, .m_latency = kWhole - headroom};
}

std::int64_t SpillUse(const Shares& shares) {
  return (kSpillHeadroom * shares.m_headroom +
          kSpillLatency * shares.m_latency) /
         kWhole;
}

// The farthest tier that is considered.
Tier LastTier(std::span<const Candidate> candidates, std::int64_t spill) {
  Tier last = Tier::kRemote;
  for (const Candidate& candidate : candidates) {
    if (candidate.m_use_permille < spill)
      last = std::min(last, candidate.m_tier);
  }
  return last;
}

std::int64_t CostOf(const Candidate& candidate,
                    std::int64_t best_latency,
                    std::int64_t spill,
                    const Shares& shares) {
  const std::int64_t latency = candidate.m_latency_us + kLatencyFloorUs;
  const std::int64_t excess =
      kWhole - (best_latency + kLatencyFloorUs) * kWhole / latency;
  return (shares.m_headroom * candidate.m_use_permille +
          shares.m_latency * excess) /
             kWhole +
         std::max<std::int64_t>(0, candidate.m_use_permille - spill) *
             kSpillCost +
         candidate.m_failure_permille +
         (kWhole - candidate.m_ramp_permille) * kColdCost / kWhole;
}

}  // namespace

std::size_t HeadroomLatencyPolicy::Pick(std::span<const Candidate> candidates,
                                        const Weights& weights,
                                        FastRandom& random) {
  const Shares shares = SharesOf(weights);
  const std::int64_t spill = SpillUse(shares);
  const Tier last = LastTier(candidates, spill);
  std::int64_t best_latency = std::numeric_limits<std::int64_t>::max();
  for (const Candidate& candidate : candidates) {
    if (candidate.m_tier <= last)
      best_latency = std::min(best_latency, candidate.m_latency_us);
  }
  std::size_t best = 0;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  std::uint32_t ties = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].m_tier > last)
      continue;
    const std::int64_t cost =
        CostOf(candidates[i], best_latency, spill, shares);
    if (cost < best_cost) {
      best = i;
      best_cost = cost;
      ties = 1;
    } else if (cost == best_cost && random.Below(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

}  // namespace jujube::steering
