// CounterTable: keeps the shared counters of instances and services when a view
// is rebuilt. Owned by the control thread.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "core/clock.h"
#include "gen/types.h"
#include "membership/instance_key.h"
#include "steering/instance_counters.h"
#include "steering/retry_budget.h"
#include "steering/work_estimate.h"

namespace jujube::steering {

class CounterTable {
 public:
  // Longer than an instance runs on after it stated that it is leaving.
  static constexpr std::chrono::minutes kLeaveRetention{10};

  // A new incarnation gets new counters.
  std::shared_ptr<InstanceCounters> GetOrCreateCounters(
      const membership::InstanceKey& key,
      std::uint64_t incarnation);

  std::shared_ptr<RetryBudget> GetOrCreateBudget(const ServiceId& service);

  std::shared_ptr<WorkEstimator> GetOrCreateEstimator(const ServiceId& service);

  // Removes counters that neither a view nor a request refers to. Those of an
  // instance that stated that it is leaving are kept for kLeaveRetention, in
  // case a later view contains the same incarnation again. Call it after
  // Publish, when the previous view has been destroyed.
  void Prune(MonoTime now);

  std::size_t Size() const { return m_instances.size(); }

 private:
  std::map<std::pair<membership::InstanceKey, std::uint64_t>,
           std::shared_ptr<InstanceCounters>>
      m_instances;
  std::map<ServiceId, std::shared_ptr<RetryBudget>> m_budgets;
  std::map<ServiceId, std::shared_ptr<WorkEstimator>> m_estimators;
};

}  // namespace jujube::steering
