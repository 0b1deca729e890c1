// CounterTable: keeps the shared counters of instances and services when a view
// is rebuilt. Owned by the control thread.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "gen/types.h"
#include "membership/instance_key.h"
#include "steering/instance_counters.h"
#include "steering/retry_budget.h"

namespace jujube::steering {

class CounterTable {
 public:
  // A new incarnation gets new counters.
  std::shared_ptr<InstanceCounters> GetOrCreateCounters(
      const membership::InstanceKey& key,
      std::uint64_t incarnation);

  std::shared_ptr<RetryBudget> GetOrCreateBudget(const ServiceId& service);

  // Removes counters that neither a view nor a request refers to. Call it after
  // Publish, when the previous view has been destroyed.
  void Prune();

  std::size_t Size() const { return m_instances.size(); }

 private:
  std::map<std::pair<membership::InstanceKey, std::uint64_t>,
           std::shared_ptr<InstanceCounters>>
      m_instances;
  std::map<ServiceId, std::shared_ptr<RetryBudget>> m_budgets;
};

}  // namespace jujube::steering
