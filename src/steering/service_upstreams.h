// ServiceUpstreams: the instances of one service.

#pragma once

#include <compare>
#include <memory>
#include <vector>

#include "gen/deployment.h"
#include "steering/retry_budget.h"
#include "steering/upstream.h"
#include "steering/work_estimate.h"

namespace jujube::steering {

struct ServiceUpstreams {
  Service m_service;                      // configuration of the service
  std::vector<Upstream> m_upstreams;      // sorted by instance
  std::shared_ptr<RetryBudget> m_budget;  // never null; outlives the view
  // Null if upstreams are not selected by cost; outlives the view.
  std::shared_ptr<WorkEstimator> m_work;

  // modernize-use-nullptr reports a false positive on a defaulted operator.
  friend auto operator<=>(const ServiceUpstreams&,
                          const ServiceUpstreams&) = default;  // NOLINT
};

}  // namespace jujube::steering
