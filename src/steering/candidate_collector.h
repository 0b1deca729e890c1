// Filters the instances of a service down to those that may get a request.

#pragma once

#include <vector>

#include "steering/candidate.h"
#include "steering/selection_context.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

// Fills `out` with the instances that serve, are not draining, expired,
// ejected, already tried or in a closed region, and have a slot left for this
// host.
//
// Slow start: the slots and the rank of an instance grow over
// Service::m_slow_start after its start or the end of an ejection, measured
// against the warmest instance, so that a service that starts as a whole is not
// held back.
void CollectCandidates(const ServiceUpstreams& service,
                       const SelectionContext& context,
                       std::vector<Candidate>& out);

// Slots of the service that this host may use and uses now, for admission and
// metrics. Ejected instances count as having none.
struct SlotTotals {
  std::uint32_t m_usable = 0;
  std::uint32_t m_in_use = 0;

  friend auto operator<=>(const SlotTotals&, const SlotTotals&) = default;
};
SlotTotals CountSlots(const ServiceUpstreams& service, MonoTime now);

}  // namespace jujube::steering
