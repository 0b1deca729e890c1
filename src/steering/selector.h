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
    while (!m_candidates.empty()) {
      const std::size_t position =
          m_policy.Pick(m_candidates, context.m_weights, m_random);
      if (position >= m_candidates.size())
        return std::nullopt;
      const Candidate candidate = m_candidates[position];
      const Upstream& upstream = service.m_upstreams[candidate.m_index];
      if (TryAcquireSlot(upstream, candidate, context.m_now))
        return MakeSelection(upstream);
      // Since the candidates were collected, another thread has taken the last
      // slot or started a request to the cold instance.
      m_candidates.erase(m_candidates.begin() +
                         static_cast<std::ptrdiff_t>(position));
    }
    return std::nullopt;
  }

 private:
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

  static Selection MakeSelection(const Upstream& upstream) {
    const Announcement& announcement = upstream.m_member.m_announcement;
    return {.m_instance = announcement.m_instance,
            .m_incarnation = announcement.m_incarnation,
            .m_endpoint = announcement.m_endpoint,
            .m_region = upstream.m_region,
            .m_delay = upstream.m_delay,
            .m_slot = SlotGuard(upstream.m_counters)};
  }

  P m_policy;
  FastRandom m_random;
  std::vector<Candidate> m_candidates;  // member to reuse its memory
};

}  // namespace jujube::steering
