#include "steering/counter_table.h"

namespace jujube::steering {

std::shared_ptr<InstanceCounters> CounterTable::Of(
    const membership::InstanceKey& key,
    std::uint64_t incarnation) {
  std::shared_ptr<InstanceCounters>& counters = m_instances[{key, incarnation}];
  if (!counters)
    counters = std::make_shared<InstanceCounters>();
  return counters;
}

std::shared_ptr<RetryBudget> CounterTable::BudgetOf(const ServiceId& service) {
  std::shared_ptr<RetryBudget>& budget = m_budgets[service];
  if (!budget)
    budget = std::make_shared<RetryBudget>();
  return budget;
}

void CounterTable::Prune() {
  // Only the control thread makes new references from the table, so a count of
  // one cannot grow here.
  std::erase_if(m_instances,
                [](const auto& item) { return item.second.use_count() == 1; });
  std::erase_if(m_budgets,
                [](const auto& item) { return item.second.use_count() == 1; });
}

}  // namespace jujube::steering
