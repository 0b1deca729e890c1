#include "lookup/spill_plan.h"

#include <algorithm>
#include <chrono>

namespace jujube::lookup {
namespace {

constexpr std::uint32_t kFullPermille = 1000;
// Load that the spill aims at. Above it, bodies queue on the links of the
// hosts.
constexpr std::uint32_t kTargetLoadPermille = 625;
// Load above which a spill begins.
constexpr std::uint32_t kMinLoadToSpillPermille = 750;
constexpr std::uint32_t kMaxSharePermille = 500;
// Callers keep an answer for up to 3 s, so a change shows after that.
constexpr std::uint32_t kMaxRisePermillePerSecond = 100;
constexpr std::uint32_t kMaxFallPermillePerSecond = 30;
// After a pause, for example of the process, one step is made.
constexpr std::chrono::milliseconds kMaxStep{1000};

std::uint32_t StepSize(std::uint32_t permille_per_second,
                       std::chrono::milliseconds elapsed) {
  return static_cast<std::uint32_t>(permille_per_second * elapsed.count() /
                                    1000);
}

// Share at which the hosts of the zone would be at the target load.
std::uint32_t DesiredShare(const ZoneLoad& load, std::uint32_t share) {
  const bool may_begin = load.m_load_permille >= kMinLoadToSpillPermille;
  if (share == 0 && !may_begin)
    return 0;
  // Load that all callers of the zone would cause here.
  const std::uint64_t whole_load = std::uint64_t{load.m_load_permille} *
                                   kFullPermille / (kFullPermille - share);
  if (whole_load <= kTargetLoadPermille)
    return 0;
  return std::min<std::uint32_t>(
      kMaxSharePermille,
      static_cast<std::uint32_t>(kFullPermille -
                                 std::uint64_t{kTargetLoadPermille} *
                                     kFullPermille / whole_load));
}

}  // namespace

std::uint32_t SpillPlan::ShareOf(const AvailabilityZoneId& zone) const {
  const auto found = m_share_permille.find(zone);
  return found == m_share_permille.end() ? 0 : found->second;
}

std::uint16_t QuantizedLoad(std::uint16_t announced_permille,
                            std::uint32_t measured_permille) {
  constexpr std::uint32_t kStepPermille = 125;
  constexpr std::uint32_t kMaxLoadPermille = 4000;
  const std::uint32_t measured = std::min(measured_permille, kMaxLoadPermille);
  const std::uint32_t difference = measured > announced_permille
                                       ? measured - announced_permille
                                       : announced_permille - measured;
  if (difference < kStepPermille)
    return announced_permille;
  return static_cast<std::uint16_t>((measured + kStepPermille / 2) /
                                    kStepPermille * kStepPermille);
}

SpillPlan NextSpillPlan(const SpillPlan& plan,
                        const ZoneLoads& loads,
                        MonoTime now) {
  const auto elapsed =
      std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(
                     now - plan.m_updated_at),
                 std::chrono::milliseconds(0), kMaxStep);
  SpillPlan next{.m_updated_at = now};
  for (const auto& [zone, load] : loads) {
    const std::uint32_t share = plan.ShareOf(zone);
    const std::uint32_t desired = DesiredShare(load, share);
    const std::uint32_t new_share =
        desired > share
            ? std::min(desired,
                       share + StepSize(kMaxRisePermillePerSecond, elapsed))
            : std::max(
                  desired,
                  share - std::min(share, StepSize(kMaxFallPermillePerSecond,
                                                   elapsed)));
    if (new_share > 0)
      next.m_share_permille[zone] = new_share;
  }
  return next;
}

}  // namespace jujube::lookup
