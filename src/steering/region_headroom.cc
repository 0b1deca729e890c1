#include "steering/region_headroom.h"

#include <algorithm>

namespace jujube::steering {
namespace {

constexpr std::uint64_t kWhole = 1000;  // permille, and parts of a request

// Clocks of entry hosts may differ by this much.
constexpr std::chrono::milliseconds kClockSkew{2000};

bool Counts(const RegionMeasurement& measurement,
            const ShiftInputs& inputs,
            const ShiftLimits& limits,
            UnixMillis settled_at) {
  return measurement.m_from >= settled_at &&
         measurement.m_from <= inputs.m_now + kClockSkew &&
         inputs.m_now - measurement.m_from <= limits.m_max_age &&
         measurement.m_usable > 0;
}

}  // namespace

RegionRoom::RegionRoom(const ShiftPlan& plan,
                       const ShiftInputs& inputs,
                       const ShiftLimits& limits,
                       UnixMillis settled_at)
    : m_out(inputs.m_out) {
  for (const SourceDemand& demand : inputs.m_demand)
    m_demand[demand.m_source] = demand.m_in_progress;
  for (const RegionMeasurement& measurement : inputs.m_regions) {
    if (!Counts(measurement, inputs, limits, settled_at))
      continue;
    const std::uint64_t usable = measurement.m_usable * kWhole;
    std::uint64_t steered = 0;
    for (const SourceSlots& source : plan.m_sources)
      steered +=
          LoadOfSlot(source.m_source) * ShareOf(source, measurement.m_region);
    std::uint64_t load = std::max(measurement.m_in_progress * kWhole, steered);
    if (measurement.m_refused > 0)
      load = std::max(load, usable);
    m_known[measurement.m_region] = {.m_load = load, .m_usable = usable};
  }
}

bool RegionRoom::IsOut(const RegionId& region) const {
  return std::find(m_out.begin(), m_out.end(), region) != m_out.end();
}

bool RegionRoom::IsKnown(const RegionId& region) const {
  return m_known.contains(region);
}

std::uint32_t RegionRoom::UseOf(const RegionId& region) const {
  const Load& load = m_known.at(region);
  return static_cast<std::uint32_t>(load.m_load * kWhole / load.m_usable);
}

std::uint32_t RegionRoom::RoomFor(const RegionId& source,
                                  const RegionId& region,
                                  std::uint32_t use_permille) const {
  const auto found = m_known.find(region);
  if (found == m_known.end() || IsOut(region))
    return 0;
  const std::uint64_t most = found->second.m_usable * use_permille / kWhole;
  if (found->second.m_load >= most)
    return 0;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      (most - found->second.m_load) / LoadOfSlot(source), kCallerSlots));
}

void RegionRoom::Add(const RegionId& source,
                     const RegionId& region,
                     std::uint32_t slots) {
  m_known.at(region).m_load += LoadOfSlot(source) * slots;
}

std::uint64_t RegionRoom::LoadOfSlot(const RegionId& source) const {
  const auto found = m_demand.find(source);
  // A demand of n requests is n thousandths for each of the 1000 slots. Without
  // a measurement it is not zero.
  return found == m_demand.end() ? 1
                                 : std::max<std::uint64_t>(found->second, 1);
}

}  // namespace jujube::steering
