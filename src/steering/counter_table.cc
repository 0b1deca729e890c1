#include "steering/counter_table.h"

namespace jujube::steering {

std::shared_ptr<InstanceCounters> CounterTable::GetOrCreateCounters(
    const membership::InstanceKey& key,
    std::uint64_t incarnation) {
  std::shared_ptr<InstanceCounters>& counters = m_instances[{key, incarnation}];
  if (!counters)
    counters = std::make_shared<InstanceCounters>();
  return counters;
}

std::shared_ptr<RetryBudget> CounterTable::GetOrCreateBudget(
    const ServiceId& service) {
  std::shared_ptr<RetryBudget>& budget = m_budgets[service];
  if (!budget)
    budget = std::make_shared<RetryBudget>();
  return budget;
}

std::shared_ptr<WorkEstimator> CounterTable::GetOrCreateEstimator(
    const ServiceId& service) {
  std::shared_ptr<WorkEstimator>& estimator = m_estimators[service];
  if (!estimator)
    estimator = std::make_shared<WorkEstimator>();
  return estimator;
}

void CounterTable::Prune(MonoTime now) {
  // Only the control thread creates references from the table, so a use count
  // of one cannot grow concurrently.
  std::erase_if(m_instances, [now](const auto& item) {
    const MonoTime leave_stated_at = item.second->LeaveStatedAt();
    const bool is_leaving = leave_stated_at != MonoTime{} &&
                            now - leave_stated_at < kLeaveRetention;
    return item.second.use_count() == 1 && !is_leaving;
  });
  std::erase_if(m_budgets,
                [](const auto& item) { return item.second.use_count() == 1; });
  std::erase_if(m_estimators,
                [](const auto& item) { return item.second.use_count() == 1; });
}

}  // namespace jujube::steering
