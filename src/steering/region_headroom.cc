#include "steering/region_headroom.h"

#include <algorithm>

namespace jujube::steering {
namespace {

constexpr std::uint64_t kThousandths = 1000;

// Maximum difference between the clocks of entry hosts.
constexpr std::chrono::milliseconds kClockSkew{2000};

bool IsValid(const RegionMeasurement& measurement,
             const ShiftInputs& inputs,
             const ShiftLimits& limits,
             UnixMillis settled_at) {
  return measurement.m_from >= settled_at &&
         measurement.m_from <= inputs.m_now + kClockSkew &&
         inputs.m_now - measurement.m_from <= limits.m_max_measurement_age &&
         measurement.m_usable > 0;
}

}  // namespace

RegionHeadroom::RegionHeadroom(const ShiftPlan& plan,
                               const ShiftInputs& inputs,
                               const ShiftLimits& limits,
                               UnixMillis settled_at)
    : m_unavailable_regions(inputs.m_out) {
  for (const SourceDemand& demand : inputs.m_demand)
    m_demand[demand.m_source] = demand.m_in_progress;
  for (const RegionMeasurement& measurement : inputs.m_regions) {
    if (!IsValid(measurement, inputs, limits, settled_at))
      continue;
    const std::uint64_t usable = measurement.m_usable * kThousandths;
    std::uint64_t planned_load = 0;
    for (const SourceSlots& source : plan.m_sources)
      planned_load +=
          LoadPerSlot(source.m_source) * ShareOf(source, measurement.m_region);
    std::uint64_t load =
        std::max(measurement.m_in_progress * kThousandths, planned_load);
    if (measurement.m_refused > 0)
      load = std::max(load, usable);
    m_loads[measurement.m_region] = {.m_load = load, .m_usable = usable};
  }
}

bool RegionHeadroom::IsUnavailable(const RegionId& region) const {
  return std::find(m_unavailable_regions.begin(), m_unavailable_regions.end(),
                   region) != m_unavailable_regions.end();
}

bool RegionHeadroom::HasMeasurement(const RegionId& region) const {
  return m_loads.contains(region);
}

std::uint32_t RegionHeadroom::UtilizationOf(const RegionId& region) const {
  const Load& load = m_loads.at(region);
  return static_cast<std::uint32_t>(load.m_load * kThousandths / load.m_usable);
}

std::uint32_t RegionHeadroom::HeadroomFor(
    const RegionId& source,
    const RegionId& region,
    std::uint32_t max_utilization_permille) const {
  const auto found = m_loads.find(region);
  if (found == m_loads.end() || IsUnavailable(region))
    return 0;
  const std::uint64_t max_load =
      found->second.m_usable * max_utilization_permille / kThousandths;
  if (found->second.m_load >= max_load)
    return 0;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      (max_load - found->second.m_load) / LoadPerSlot(source), kCallerSlots));
}

void RegionHeadroom::AddLoad(const RegionId& source,
                             const RegionId& region,
                             std::uint32_t slots) {
  m_loads.at(region).m_load += LoadPerSlot(source) * slots;
}

std::uint64_t RegionHeadroom::LoadPerSlot(const RegionId& source) const {
  const auto found = m_demand.find(source);
  // A demand of n requests is n thousandths for each of the 1000 caller slots.
  // At least 1, also without a measurement.
  return found == m_demand.end() ? 1
                                 : std::max<std::uint64_t>(found->second, 1);
}

}  // namespace jujube::steering
