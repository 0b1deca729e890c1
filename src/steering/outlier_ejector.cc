#include "steering/outlier_ejector.h"

#include <algorithm>
#include <utility>

namespace jujube::steering {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;  // prevents overflow of the shift

bool IsFailing(const Observation& observation, const EjectionLimits& limits) {
  return observation.m_consecutive_failures >= limits.m_consecutive_failures ||
         (observation.m_outcome_count >= limits.m_min_outcomes &&
          observation.m_failure_permille >= limits.m_failure_permille);
}

std::chrono::milliseconds BackoffAfter(std::uint32_t earlier_ejections,
                                       const EjectionLimits& limits) {
  return std::min(limits.m_initial_backoff *
                      (1U << std::min(earlier_ejections, kMaxDoublings)),
                  limits.m_max_backoff);
}

// Shortens the next backoff of an instance that has served for as long as its
// last backoff without failing again.
void DecayEjectionCount(InstanceCounters& counters,
                        const Observation& observation,
                        const EjectionLimits& limits,
                        MonoTime now) {
  if (observation.m_ejection_count == 0 || IsFailing(observation, limits))
    return;
  const auto healthy_duration = now - observation.m_ejected_until;
  const auto required_duration =
      BackoffAfter(observation.m_ejection_count - 1, limits);
  if (healthy_duration >= required_duration &&
      observation.m_outcome_count >= limits.m_min_outcomes)
    counters.DecrementEjectionCount();
}

}  // namespace

std::vector<EjectionChange> EvaluateOutliers(const ServiceUpstreams& service,
                                             const EjectionLimits& limits,
                                             MonoTime now) {
  std::uint32_t serving_count = 0;
  std::uint32_t excluded_count = 0;
  std::vector<std::pair<Observation, const Upstream*>> failing;
  for (const Upstream& upstream : service.m_upstreams) {
    const Observation observation = upstream.m_counters->Observe();
    if (!IsServing(upstream, now) || observation.m_is_leaving)
      continue;
    ++serving_count;
    if (!IsUsable(observation, now))
      ++excluded_count;
    else if (IsFailing(observation, limits))
      failing.emplace_back(observation, &upstream);
    else
      DecayEjectionCount(*upstream.m_counters, observation, limits, now);
  }
  std::stable_sort(
      failing.begin(), failing.end(), [](const auto& a, const auto& b) {
        return a.first.m_failure_permille > b.first.m_failure_permille;
      });
  const std::uint32_t max_ejected =
      std::min(serving_count * service.m_service.m_max_ejected_permille / 1000,
               serving_count > 0 ? serving_count - 1 : 0);
  std::vector<EjectionChange> changes;
  for (const auto& [observation, upstream] : failing) {
    EjectionChange change{
        .m_instance = upstream->m_member.m_announcement.m_instance,
        .m_kind = EjectionChange::Kind::kBounded,
        .m_consecutive_failures = observation.m_consecutive_failures,
        .m_connect_timeouts = observation.m_connect_timeouts,
        .m_failure_permille = observation.m_failure_permille};
    if (excluded_count < max_ejected) {
      ++excluded_count;
      change.m_kind = EjectionChange::Kind::kEjected;
      change.m_until = now + BackoffAfter(observation.m_ejection_count, limits);
      upstream->m_counters->Eject(change.m_until);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace jujube::steering
