// RequestCost: records what requests were expected to cost and did cost, in the
// estimates of their service, in metrics and in the log.
//
// One per worker thread, which owns the cached references to the metrics.

#pragma once

#include <map>

#include "core/clock.h"
#include "entry/attempt_runner.h"
#include "entry/route.h"
#include "observe/histogram.h"
#include "steering/selection.h"
#include "steering/work_estimate.h"

namespace jujube::entry {

// Hash of the route of a request, for its estimates.
std::uint64_t RouteHash(const Route& route);

class RequestCost {
 public:
  // Records a finished attempt. Does nothing if its upstream was not selected
  // by cost. `work` is the estimator of the service.
  void Record(const Route& route,
              const steering::Selection& selection,
              const AttemptResult& result,
              MonoTime started,
              MonoTime ended,
              steering::WorkEstimator& work);

 private:
  struct Metrics {
    observe::Histogram& m_expected_seconds;
    observe::Histogram& m_observed_seconds;
  };

  // Creates the metrics at the first call, so that a host that does not select
  // by cost has none.
  Metrics& ForService(const ServiceId& service);

  std::map<ServiceId, Metrics> m_metrics;
};

}  // namespace jujube::entry
