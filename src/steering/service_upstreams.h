// ServiceUpstreams: the instances of one service.

#pragma once

#include <compare>
#include <memory>
#include <vector>

#include "gen/deployment.h"
#include "steering/retry_budget.h"
#include "steering/upstream.h"

namespace jujube::steering {

struct ServiceUpstreams {
  Service m_service;                      // policy of the service
  std::vector<Upstream> m_upstreams;      // ordered by instance
  std::shared_ptr<RetryBudget> m_budget;  // never null; outlives the view

  // modernize-use-nullptr raises a false alarm on a default.
  friend auto operator<=>(const ServiceUpstreams&,
                          const ServiceUpstreams&) = default;  // NOLINT
};

}  // namespace jujube::steering
