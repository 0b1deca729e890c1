#include "steering/outlier_ejector.h"

#include <algorithm>
#include <utility>

namespace jujube::steering {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;  // keeps the shift below overflow

bool IsFailing(const Observation& seen, const EjectionLimits& limits) {
  return seen.m_failures_in_row >= limits.m_failures_in_row ||
         (seen.m_outcomes >= limits.m_min_outcomes &&
          seen.m_failure_permille >= limits.m_failure_permille);
}

std::chrono::milliseconds BackoffAfter(std::uint32_t earlier,
                                       const EjectionLimits& limits) {
  return std::min(limits.m_backoff * (1U << std::min(earlier, kMaxDoublings)),
                  limits.m_max_backoff);
}

// An instance that has served for its last backoff without failing again.
void ForgetOldEjection(InstanceCounters& counters,
                       const Observation& seen,
                       const EjectionLimits& limits,
                       MonoTime now) {
  if (seen.m_ejection_count == 0 || IsFailing(seen, limits))
    return;
  const auto healthy = now - seen.m_ejected_until;
  const auto wanted = BackoffAfter(seen.m_ejection_count - 1, limits);
  if (healthy >= wanted && seen.m_outcomes >= limits.m_min_outcomes)
    counters.ForgetEjection();
}

}  // namespace

std::vector<EjectionChange> EvaluateOutliers(const ServiceUpstreams& service,
                                             const EjectionLimits& limits,
                                             MonoTime now) {
  std::uint32_t present = 0;
  std::uint32_t ejected = 0;
  std::vector<std::pair<Observation, const Upstream*>> failing;
  for (const Upstream& upstream : service.m_upstreams) {
    if (!MayServe(upstream, now))
      continue;
    ++present;
    const Observation seen = upstream.m_counters->Observe();
    if (now < seen.m_ejected_until || now < seen.m_gone_until)
      ++ejected;
    else if (IsFailing(seen, limits))
      failing.emplace_back(seen, &upstream);
    else
      ForgetOldEjection(*upstream.m_counters, seen, limits, now);
  }
  std::stable_sort(
      failing.begin(), failing.end(), [](const auto& a, const auto& b) {
        return a.first.m_failure_permille > b.first.m_failure_permille;
      });
  const std::uint32_t most =
      std::min(present * service.m_service.m_max_ejected_permille / 1000,
               present > 0 ? present - 1 : 0);
  std::vector<EjectionChange> changes;
  for (const auto& [seen, upstream] : failing) {
    EjectionChange change{
        .m_instance = upstream->m_member.m_announcement.m_instance,
        .m_kind = EjectionChange::Kind::kBounded};
    if (ejected < most) {
      ++ejected;
      change.m_kind = EjectionChange::Kind::kEjected;
      change.m_until = now + BackoffAfter(seen.m_ejection_count, limits);
      upstream->m_counters->Eject(change.m_until);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace jujube::steering
