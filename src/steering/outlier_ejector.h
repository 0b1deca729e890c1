// Outlier ejection: excludes failing instances from selection temporarily.
//
//   // Control thread, every 100 ms or so:
//   for (const EjectionChange& change : EvaluateOutliers(service, limits, now))
//     ...log kInstanceEjected or kEjectionBounded
//
// The state is in InstanceCounters, so workers see an ejection immediately and
// it survives a rebuild of the view. kBounded is returned on each call while
// the condition lasts; the caller logs only its start.

#pragma once

#include <vector>

#include "core/clock.h"
#include "steering/ejection_change.h"
#include "steering/ejection_limits.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

// Ejects the instances with the highest failure rate first, and at most
// Service::m_max_ejected_permille of the serving instances, rounded down; the
// only instance of a service is never ejected. The backoff doubles with each
// ejection and shrinks again after healthy periods. After an ejection the
// instance goes through slow start (CollectCandidates).
std::vector<EjectionChange> EvaluateOutliers(const ServiceUpstreams& service,
                                             const EjectionLimits& limits,
                                             MonoTime now);

}  // namespace jujube::steering
