#include "steering/affinity_policy.h"

#include <tuple>

namespace jujube::steering {
namespace {

// Requests here and of the other entry hosts, as far as they are known.
std::uint32_t LoadOf(const Candidate& candidate) {
  return candidate.m_in_progress + candidate.m_others;
}

bool HasRoom(const Candidate& candidate) {
  return LoadOf(candidate) < candidate.m_slots;
}

// Lower is better. Load is compared in permille of the slots.
auto Order(const Candidate& candidate, std::uint64_t tie) {
  constexpr std::uint32_t kWhole = 1000;
  const std::uint32_t use =
      candidate.m_slots == 0 ? kWhole
                             : LoadOf(candidate) * kWhole / candidate.m_slots;
  const bool is_full = !HasRoom(candidate);
  const bool has_object = candidate.m_affinity != 0;
  if (has_object && !is_full)
    return std::tuple(is_full, 0U, 0U, ~candidate.m_affinity);
  if (has_object)
    return std::tuple(is_full, 0U, use, ~candidate.m_affinity);
  return std::tuple(is_full, static_cast<unsigned>(candidate.m_tier), use, tie);
}

}  // namespace

std::size_t AffinityPolicy::Pick(std::span<const Candidate> candidates,
                                 const Weights& /*weights*/,
                                 FastRandom& random) {
  constexpr std::uint32_t kTieRange = 1U << 20U;
  std::size_t best = 0;
  auto best_order = Order(candidates[0], random.Below(kTieRange));
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const auto order = Order(candidates[i], random.Below(kTieRange));
    if (order < best_order) {
      best = i;
      best_order = order;
    }
  }
  return best;
}

}  // namespace jujube::steering
