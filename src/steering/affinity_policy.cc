#include "steering/affinity_policy.h"

#include <algorithm>
#include <tuple>

namespace jujube::steering {
namespace {

// Requests here and of the other entry hosts, as far as they are known.
std::uint32_t LoadOf(const Candidate& candidate) {
  return candidate.m_in_progress + candidate.m_others;
}

bool HasRoom(const Candidate& candidate) {
  return LoadOf(candidate) < candidate.m_slots * AffinityPolicy::kQueueFactor;
}

}  // namespace

std::size_t AffinityPolicy::LeastUsed(std::span<const Candidate> candidates,
                                      FastRandom& random) {
  constexpr std::uint32_t kTieRange = 1U << 20U;
  constexpr std::uint32_t kWhole = 1000;
  const auto order = [&](const Candidate& candidate) {
    const std::uint32_t slots = std::max(candidate.m_slots, 1U);
    const std::uint32_t use = LoadOf(candidate) * kWhole / slots;
    const bool is_full = use >= kWhole;
    return std::tuple(is_full, candidate.m_tier, use, random.Below(kTieRange));
  };
  std::size_t best = candidates.size();
  decltype(order(candidates[0])) best_order;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!HasRoom(candidates[i]))
      continue;
    const auto current = order(candidates[i]);
    if (best == candidates.size() || current < best_order) {
      best = i;
      best_order = current;
    }
  }
  return best;
}

std::size_t AffinityPolicy::Pick(std::span<const Candidate> candidates,
                                 const Weights& /*weights*/,
                                 FastRandom& random) {
  if (candidates[0].m_affinity == 0)
    return LeastUsed(candidates, random);
  m_order.resize(candidates.size());
  for (std::size_t i = 0; i < m_order.size(); ++i)
    m_order[i] = i;
  const auto last = m_order.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(kMaxRank, m_order.size()));
  std::partial_sort(
      m_order.begin(), last, m_order.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].m_affinity > candidates[b].m_affinity;
      });
  const auto found = std::find_if(m_order.begin(), last, [&](std::size_t i) {
    return HasRoom(candidates[i]);
  });
  return found == last ? candidates.size() : *found;
}

}  // namespace jujube::steering
