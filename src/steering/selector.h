// Selector: selects an upstream with a policy and acquires a slot of it.
//
//   Selector<HeadroomLatencyPolicy> selector(seed);  // one per worker thread
//   std::optional<Selection> selection;
//   {
//     const rcu::ReadSection section;
//     ...
//     selection = selector.Select(*service, {.m_now = clock.Now(),
//                                            .m_weights = view.m_weights,
//                                            .m_tried = tried});
//   }
//   if (!selection) ...refuse: no usable slot, not run
//   ...send the request to selection->m_endpoint...
//   selection->m_slot.Counters()->Record(outcome, latency, clock.Now());

#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "steering/candidate_collector.h"
#include "steering/selection.h"
#include "steering/selection_policy.h"

namespace jujube::steering {

template <SelectionPolicy P>
class Selector {
 public:
  explicit Selector(std::uint64_t seed, P policy = {})
      : m_policy(std::move(policy)), m_random(seed) {}

  // Empty if no instance has a free slot for this host or the policy rejects
  // all candidates. Instances in `context.m_tried` are never selected.
  std::optional<Selection> Select(const ServiceUpstreams& service,
                                  const SelectionContext& context) {
    CollectCandidates(service, context, m_candidates);
    m_is_expected_late = false;
    while (!m_candidates.empty()) {
      std::optional<WorkForecast> forecast;
      const std::size_t position = Pick(service, context, forecast);
      if (position >= m_candidates.size())
        return std::nullopt;
      const Candidate candidate = m_candidates[position];
      const Upstream& upstream = service.m_upstreams[candidate.m_index];
      if (TryAcquireSlot(upstream, candidate, context.m_now))
        return MakeSelection(upstream, forecast);
      // Since the candidates were collected, another thread has taken the last
      // slot or started a request to the cold instance.
      m_candidates.erase(m_candidates.begin() +
                         static_cast<std::ptrdiff_t>(position));
    }
    return std::nullopt;
  }

  // The last selection was empty because the response would come after the
  // deadline.
  bool IsExpectedLate() const { return m_is_expected_late; }

 private:
  std::size_t Pick(const ServiceUpstreams& service,
                   const SelectionContext& context,
                   std::optional<WorkForecast>& forecast) {
    if constexpr (ServicePolicy<P>) {
      const CostChoice choice =
          m_policy.Pick(service, context, m_candidates, m_random);
      m_is_expected_late = choice.m_is_expected_late;
      forecast = choice.m_forecast;
      return choice.m_position;
    } else {
      return m_policy.Pick(m_candidates, context.m_weights, m_random);
    }
  }

  static bool TryAcquireSlot(const Upstream& upstream,
                             const Candidate& candidate,
                             MonoTime now) {
    if (!upstream.m_counters->TryAcquire(candidate.m_limit))
      return false;
    const bool may_start = !candidate.m_is_cold ||
                           !upstream.m_cold_request_interval ||
                           upstream.m_counters->TryStartColdRequest(
                               now, *upstream.m_cold_request_interval);
    if (may_start && upstream.m_counters->Limiter().TryStart(now))
      return true;
    upstream.m_counters->Release();
    return false;
  }

  static Selection MakeSelection(const Upstream& upstream,
                                 const std::optional<WorkForecast>& forecast) {
    const Announcement& announcement = upstream.m_member.m_announcement;
    return {.m_instance = announcement.m_instance,
            .m_incarnation = announcement.m_incarnation,
            .m_endpoint = announcement.m_endpoint,
            .m_region = upstream.m_region,
            .m_delay = upstream.m_delay,
            .m_slot = SlotGuard(upstream.m_counters),
            .m_forecast = forecast};
  }

  P m_policy;
  FastRandom m_random;
  bool m_is_expected_late = false;
  std::vector<Candidate> m_candidates;  // member to reuse its memory
};

}  // namespace jujube::steering
