#include "steering/priority_limiter.h"

#include <algorithm>
#include <cassert>

namespace jujube::steering {
namespace {

constexpr std::uint32_t kHighestPriority = 9;
constexpr std::uint64_t kReservedPermillePerLevel = 30;

}  // namespace

std::uint32_t CapForPriority(std::uint32_t cap, std::uint8_t priority) {
  const std::uint32_t higher_levels =
      kHighestPriority - std::min<std::uint32_t>(priority, kHighestPriority);
  const std::uint64_t reserved =
      (std::uint64_t{cap} * higher_levels * kReservedPermillePerLevel + 999) /
      1000;
  return std::max<std::uint32_t>(
      static_cast<std::uint32_t>(cap - std::min<std::uint64_t>(reserved, cap)),
      std::min<std::uint32_t>(cap, 1));
}

bool PriorityLimiter::TryAcquire(std::uint32_t cap, std::uint8_t priority) {
  const std::uint32_t usable = CapForPriority(cap, priority);
  std::uint32_t used = m_in_progress.load(std::memory_order_relaxed);
  while (used < usable) {
    if (m_in_progress.compare_exchange_weak(used, used + 1,
                                            std::memory_order_acq_rel))
      return true;
  }
  return false;
}

void PriorityLimiter::Release() {
  [[maybe_unused]] const std::uint32_t previous =
      m_in_progress.fetch_sub(1, std::memory_order_acq_rel);
  assert(previous > 0 && "Release without TryAcquire");
}

}  // namespace jujube::steering
