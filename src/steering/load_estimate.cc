#include "steering/load_estimate.h"

#include <algorithm>

namespace jujube::steering {
namespace {

constexpr std::int64_t kFullPermille = 1000;

// Age from which a report decays: two announcement intervals, so that one lost
// announcement has no effect.
constexpr std::chrono::milliseconds kReportDecayStart{1000};

// Time over which a stale report decays to full.
constexpr std::chrono::milliseconds kReportDecayDuration{4000};

// Time over which refusals decay: ten announcement intervals. An instance that
// refuses requests is then tried again even if its reports are wrong.
constexpr std::chrono::milliseconds kShedDecayDuration{5000};

// Weight of the requests of other hosts in permille. With a weight of 400,
// hosts that read the same report of an idle instance all selected it at once:
// in bench/steering_bench, more requests were refused with current reports than
// with frozen ones.
constexpr std::int64_t kReportWeightPermille = 100;

// Elapsed fraction of `period` in permille.
std::int64_t ElapsedPermille(std::chrono::nanoseconds age,
                             std::chrono::nanoseconds period) {
  return std::clamp<std::int64_t>(
      age.count() / (period.count() / kFullPermille), 0, kFullPermille);
}

std::int64_t ReportedUtilization(const LoadInputs& inputs, std::int64_t slots) {
  if (!inputs.m_reported_in_progress)
    return kFullPermille;
  const std::int64_t reported_permille = std::min<std::int64_t>(
      kFullPermille, *inputs.m_reported_in_progress * kFullPermille / slots);
  const std::int64_t decay_permille = ElapsedPermille(
      inputs.m_report_age - kReportDecayStart, kReportDecayDuration);
  return reported_permille +
         (kFullPermille - reported_permille) * decay_permille / kFullPermille;
}

}  // namespace

std::uint32_t EstimateUtilization(const LoadInputs& inputs) {
  const std::int64_t slots = std::max<std::int64_t>(inputs.m_slots, 1);
  const std::int64_t own_permille = std::min<std::int64_t>(
      kFullPermille, inputs.m_own_in_progress * kFullPermille / slots);
  const std::int64_t others_permille = std::max<std::int64_t>(
      0, ReportedUtilization(inputs, slots) - own_permille);
  const std::int64_t shed_permille =
      inputs.m_shed_permille *
      (kFullPermille -
       ElapsedPermille(inputs.m_outcome_age, kShedDecayDuration)) /
      kFullPermille;
  const std::int64_t utilization = std::max(
      own_permille + others_permille * kReportWeightPermille / kFullPermille,
      shed_permille);
  return static_cast<std::uint32_t>(std::min(utilization, kFullPermille));
}

}  // namespace jujube::steering
