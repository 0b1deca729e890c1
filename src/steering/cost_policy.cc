#include "steering/cost_policy.h"

#include <algorithm>

#include "core/hash.h"
#include "steering/cost_admission.h"

namespace jujube::steering {
namespace {

using std::chrono::microseconds;

constexpr double kPermille = 1000;

// Positions of the candidates with the highest scores, in their order.
struct Preferred {
  std::array<std::size_t, CostPolicy::kPreferredCount> m_positions{};
  std::size_t m_count = 0;

  bool Contains(std::size_t position) const {
    const auto* const end = m_positions.begin() + m_count;
    return std::find(m_positions.begin(), end, position) != end;
  }
};

Preferred FindPreferred(std::span<const Candidate> candidates) {
  Preferred preferred;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double score = candidates[i].m_affinity_score;
    std::size_t at = preferred.m_count;
    while (at > 0 &&
           candidates[preferred.m_positions[at - 1]].m_affinity_score < score)
      --at;
    if (at == CostPolicy::kPreferredCount)
      continue;
    preferred.m_count =
        std::min(preferred.m_count + 1, CostPolicy::kPreferredCount);
    for (std::size_t k = preferred.m_count - 1; k > at; --k)
      preferred.m_positions[k] = preferred.m_positions[k - 1];
    preferred.m_positions[at] = i;
  }
  return preferred;
}

std::uint64_t PlacementOf(const Upstream& upstream, std::uint64_t object) {
  // A new incarnation knows nothing of what the instance handled before.
  return MixHash(object,
                 MixHash(upstream.m_instance_hash,
                         upstream.m_member.m_announcement.m_incarnation));
}

bool IsBelowLoadBound(const Candidate& candidate) {
  return candidate.m_in_progress < candidate.m_limit &&
         candidate.m_in_progress + candidate.m_others_in_progress <
             std::max(candidate.m_slots, 1U) * CostPolicy::kQueueFactor;
}

// Between a half and one and a half.
double DrawWaitWeight(FastRandom& random) {
  constexpr std::uint32_t kRange = 1U << 20U;
  return 0.5 + random.UniformBelow(kRange) / static_cast<double>(kRange);
}

// Work that requests of others have to wait for counts as well, the more the
// longer the queues are.
double PressureOf(const WorkEstimator& work) {
  constexpr double kMaxPressure = 2;
  return std::min(kMaxPressure,
                  kMaxPressure * work.MeanQueuePermille() / kPermille);
}

}  // namespace

void CostPolicy::Consider(const ServiceUpstreams& service,
                          const SelectionContext& context,
                          const Candidate& candidate,
                          Option option,
                          FastRandom& random,
                          Best& best) {
  if (!IsBelowLoadBound(candidate))
    return;
  const Upstream& upstream = service.m_upstreams[candidate.m_index];
  const WorkEstimator& work = *service.m_work;
  WorkForecast& forecast = option.m_forecast;
  forecast.m_placement = PlacementOf(upstream, context.m_object);
  // An instance after the first counts as much as the first at most. Otherwise
  // a host that left the first one once would stay away from it, and the object
  // would be kept by several instances for different hosts.
  if (work.Placements().Contains(forecast.m_placement, context.m_now)) {
    forecast.m_acquaintance =
        forecast.m_acquaintance == Acquaintance::kPreferred
            ? Acquaintance::kRemembered
            : Acquaintance::kPreferred;
  }
  forecast.m_slots = std::max(candidate.m_slots, 1U);
  forecast.m_work = work.ExpectedWork(context.m_route, forecast.m_acquaintance,
                                      context.m_now);
  forecast.m_cost =
      EstimateCost({.m_slots = candidate.m_slots,
                    .m_in_progress = candidate.m_in_progress,
                    .m_load = upstream.m_counters->Load(),
                    .m_work = forecast.m_work,
                    .m_mean_work = work.MeanWork(),
                    .m_mean_queue_permille = work.MeanQueuePermille(),
                    .m_mean_work_time_permille = work.MeanWorkTimePermille(),
                    .m_failure_permille = candidate.m_failure_permille,
                    .m_round_trip = 2 * microseconds(upstream.m_delay)},
                   context.m_now);
  const Cost& cost = forecast.m_cost;
  option.m_rank =
      static_cast<double>((cost.m_work + cost.m_rest).count()) +
      // Only what is known of this instance is weighted: a random weight of the
      // common part would send requests away from the objects' instances.
      static_cast<double>(
          (std::max(cost.m_wait - cost.m_usual_wait, microseconds(0)))
              .count()) *
          DrawWaitWeight(random) +
      static_cast<double>(forecast.m_work.count()) * PressureOf(work);
  if (!best.m_is_found || option.m_rank < best.m_option.m_rank)
    best = {.m_is_found = true, .m_option = option};
}

CostChoice CostPolicy::Pick(const ServiceUpstreams& service,
                            const SelectionContext& context,
                            std::span<const Candidate> candidates,
                            FastRandom& random) {
  // Without an object, all scores are 0.
  if (candidates[0].m_affinity_score == 0 || service.m_work == nullptr) {
    return {.m_position =
                m_without_object.Pick(candidates, context.m_weights, random)};
  }
  const Preferred preferred = FindPreferred(candidates);
  Best best;
  for (std::size_t i = 0; i < preferred.m_count; ++i) {
    const std::size_t position = preferred.m_positions[i];
    Consider(service, context, candidates[position],
             {.m_position = position,
              .m_forecast = {.m_acquaintance = i == 0 ? Acquaintance::kPreferred
                                                      : Acquaintance::kSecond}},
             random, best);
  }
  const bool is_waited_for = !best.m_is_found;
  for (std::size_t i = 0; is_waited_for && i < kOtherCount; ++i) {
    const std::size_t position =
        random.UniformBelow(static_cast<std::uint32_t>(candidates.size()));
    if (!preferred.Contains(position)) {
      Consider(service, context, candidates[position], {.m_position = position},
               random, best);
    }
  }
  if (!best.m_is_found)
    return {.m_position = candidates.size()};
  // The usual wait of the service is left out: a late response is worth more
  // than a refusal, and it may be over sooner.
  const Cost& cost = best.m_option.m_forecast.m_cost;
  const auto known_wait =
      std::max(cost.m_wait - cost.m_usual_wait, microseconds(0));
  const CostAnswer answer =
      DecideByCost({.m_expected = known_wait + cost.m_work + cost.m_rest,
                    .m_remaining = context.m_remaining,
                    .m_draw = random.UniformBelow(kTriedRequestDivisor)});
  if (answer == CostAnswer::kExpectedLate)
    return {.m_position = candidates.size(), .m_is_expected_late = true};
  return {.m_position = best.m_option.m_position,
          .m_forecast = best.m_option.m_forecast};
}

}  // namespace jujube::steering
