// Outlier ejection: keeps failing instances out of selections for a while.
//
//   // Control thread, every 100 ms or so:
//   for (const EjectionChange& change : EvaluateOutliers(service, limits, now))
//     ...log kInstanceEjected or kEjectionBounded
//
// The state is in InstanceCounters, so workers see an ejection at once and a
// rebuilt view does not forget it. kBounded is returned on each call while it
// lasts; the caller logs its start.

#pragma once

#include <vector>

#include "core/clock.h"
#include "steering/ejection_change.h"
#include "steering/ejection_limits.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

// Ejects the worst instances first and never more than
// Service::m_max_ejected_permille of the instances that may serve, rounded
// down; the only instance of a service is never ejected. The backoff doubles
// with each ejection and shortens again after healthy periods. After an
// ejection the instance starts slowly like a cold one (CollectCandidates).
std::vector<EjectionChange> EvaluateOutliers(const ServiceUpstreams& service,
                                             const EjectionLimits& limits,
                                             MonoTime now);

}  // namespace jujube::steering
