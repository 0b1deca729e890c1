#include "steering/affinity_policy.h"

#include <algorithm>
#include <tuple>

namespace jujube::steering {
namespace {

// Requests of this host plus the reported requests of the other entry hosts.
std::uint32_t TotalInProgress(const Candidate& candidate) {
  return candidate.m_in_progress + candidate.m_others_in_progress;
}

bool IsBelowLoadBound(const Candidate& candidate) {
  return TotalInProgress(candidate) <
         candidate.m_slots * AffinityPolicy::kQueueFactor;
}

}  // namespace

std::size_t AffinityPolicy::PickLeastUtilized(
    std::span<const Candidate> candidates,
    FastRandom& random) {
  constexpr std::uint32_t kTieBreakRange = 1U << 20U;
  constexpr std::uint32_t kFullPermille = 1000;
  const auto rank = [&](const Candidate& candidate) {
    const std::uint32_t slots = std::max(candidate.m_slots, 1U);
    const std::uint32_t utilization =
        TotalInProgress(candidate) * kFullPermille / slots;
    const bool is_full = utilization >= kFullPermille;
    return std::tuple(is_full, candidate.m_tier, utilization,
                      random.UniformBelow(kTieBreakRange));
  };
  std::size_t best = candidates.size();
  decltype(rank(candidates[0])) best_rank;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!IsBelowLoadBound(candidates[i]))
      continue;
    const auto rank_of_candidate = rank(candidates[i]);
    if (best == candidates.size() || rank_of_candidate < best_rank) {
      best = i;
      best_rank = rank_of_candidate;
    }
  }
  return best;
}

std::size_t AffinityPolicy::Pick(std::span<const Candidate> candidates,
                                 const Weights& /*weights*/,
                                 FastRandom& random) {
  if (candidates[0].m_affinity_score == 0)
    return PickLeastUtilized(candidates, random);
  m_ranking.resize(candidates.size());
  for (std::size_t i = 0; i < m_ranking.size(); ++i)
    m_ranking[i] = i;
  const auto last =
      m_ranking.begin() + static_cast<std::ptrdiff_t>(std::min(
                              kMaxInstancesPerObject, m_ranking.size()));
  std::partial_sort(m_ranking.begin(), last, m_ranking.end(),
                    [&](std::size_t a, std::size_t b) {
                      return candidates[a].m_affinity_score >
                             candidates[b].m_affinity_score;
                    });
  const auto found = std::find_if(m_ranking.begin(), last, [&](std::size_t i) {
    return IsBelowLoadBound(candidates[i]);
  });
  return found == last ? candidates.size() : *found;
}

}  // namespace jujube::steering
