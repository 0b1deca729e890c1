// Collects the instances of a service that are eligible for a request.

#pragma once

#include <vector>

#include "steering/candidate.h"
#include "steering/selection_context.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

// Fills `out` with the instances that are serving, have a free slot for this
// host, and are not draining, expired, ejected, replaced or already tried, and
// have not stated in a response that they are leaving or want no requests now.
// Regions that are at their cap or not permitted are excluded, and so are
// instances that are cold or at their rate limit and to which this host may not
// send a request yet. If the request has an object, full instances are
// included.
//
// Slow start: the usable slots and the rank of an instance grow over
// Service::m_slow_start after its start or the end of an ejection. Progress is
// relative to the instance that is furthest ahead, so a service whose instances
// all start together is not throttled.
void CollectCandidates(const ServiceUpstreams& service,
                       const SelectionContext& context,
                       std::vector<Candidate>& out);

// Slots of the service that this host may use and slots that it is using, for
// admission and metrics. Instances that are not serving, ejected or replaced,
// or that are leaving or paused as a response stated, are not counted.
struct SlotTotals {
  std::uint32_t m_usable = 0;
  std::uint32_t m_in_use = 0;

  friend auto operator<=>(const SlotTotals&, const SlotTotals&) = default;
};
SlotTotals CountSlots(const ServiceUpstreams& service, MonoTime now);

}  // namespace jujube::steering
