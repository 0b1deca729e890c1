#include "steering/shift_plan.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "steering/region_headroom.h"

namespace jujube::steering {
namespace {

constexpr std::chrono::minutes kCapWindow{1};

std::chrono::milliseconds MaxLookupLifetime(const Deployment& deployment) {
  std::chrono::milliseconds max_lifetime{0};
  for (const Service& service : deployment.m_services)
    max_lifetime = std::max(max_lifetime, service.m_lookup_lifetime);
  return max_lifetime;
}

SourceSlots MakeHomeSlots(const RegionId& region) {
  return {.m_source = region,
          .m_target = std::vector<RegionId>(kCallerSlots, region)};
}

bool HasRegion(const Deployment& deployment, const RegionId& name) {
  return std::any_of(
      deployment.m_regions.begin(), deployment.m_regions.end(),
      [&](const Region& region) { return region.m_name == name; });
}

// Adapts the plan to the regions of the deployment. Slots whose target region
// was removed return home.
ShiftPlan Reconcile(const ShiftPlan& plan, const Deployment& deployment) {
  ShiftPlan next = HomePlan(deployment);
  next.m_changed_at = plan.m_changed_at;
  for (SourceSlots& source : next.m_sources) {
    const auto found =
        std::find_if(plan.m_sources.begin(), plan.m_sources.end(),
                     [&](const SourceSlots& old) {
                       return old.m_source == source.m_source;
                     });
    if (found == plan.m_sources.end() || found->m_target.size() != kCallerSlots)
      continue;
    source = *found;
    for (RegionId& target : source.m_target) {
      if (!HasRegion(deployment, target))
        target = source.m_source;
    }
  }
  return next;
}

std::chrono::milliseconds DelayBetween(const Deployment& deployment,
                                       const RegionId& a,
                                       const RegionId& b) {
  if (a == b)
    return std::chrono::milliseconds(0);
  for (const Link& link : deployment.m_links) {
    if ((link.m_a == a && link.m_b == b) || (link.m_a == b && link.m_b == a))
      return link.m_delay;
  }
  return std::chrono::milliseconds::max();
}

// Regions sorted by distance from the source, then by name.
std::vector<RegionId> RegionsByDistance(const Deployment& deployment,
                                        const RegionId& source) {
  std::vector<std::pair<std::chrono::milliseconds, RegionId>> order;
  for (const Region& region : deployment.m_regions)
    order.emplace_back(DelayBetween(deployment, source, region.m_name),
                       region.m_name);
  std::sort(order.begin(), order.end());
  std::vector<RegionId> regions;
  regions.reserve(order.size());
  for (auto& [delay, name] : order)
    regions.push_back(std::move(name));
  return regions;
}

// Number of slots that may still move without exceeding the cap of any minute.
std::uint32_t RemainingCap(const SourceSlots& source,
                           UnixMillis now,
                           std::uint32_t cap) {
  std::uint32_t moved_slots = 0;
  for (const ShiftStep& step : source.m_steps) {
    if (now - step.m_at < kCapWindow)
      moved_slots += step.m_permille;
  }
  return cap - std::min(cap, moved_slots);
}

void MoveSlots(SourceSlots& source,
               const RegionId& from,
               const RegionId& to,
               std::uint32_t count) {
  for (RegionId& target : source.m_target) {
    if (count == 0)
      return;
    if (target == from) {
      target = to;
      --count;
    }
  }
}

// Number of slots of the source that should leave the region.
std::uint32_t ExcessSlots(const SourceSlots& source,
                          const RegionId& region,
                          const RegionHeadroom& headroom,
                          const ShiftLimits& limits) {
  const std::uint32_t share = ShareOf(source, region);
  if (headroom.IsUnavailable(region))
    return share;
  if (!headroom.HasMeasurement(region))
    return 0;
  const std::uint32_t utilization = headroom.UtilizationOf(region);
  if (utilization <= limits.m_overload_permille)
    return 0;
  // Half of the excess, rounded up, because the effect of a step is measured
  // only later.
  return (share * (utilization - limits.m_fill_permille) / utilization + 1) / 2;
}

// Moves callers of the source away from unavailable or overloaded regions and
// returns the number of slots moved.
std::uint32_t MoveFromOverloadedRegions(SourceSlots& source,
                                        RegionHeadroom& headroom,
                                        const std::vector<RegionId>& regions,
                                        const ShiftLimits& limits,
                                        std::uint32_t cap) {
  std::uint32_t moved_slots = 0;
  for (const RegionId& from : regions) {
    std::uint32_t excess = ExcessSlots(source, from, headroom, limits);
    for (const RegionId& to : regions) {
      if (to == from)
        continue;
      const std::uint32_t count = std::min(
          {excess, cap - moved_slots,
           headroom.HeadroomFor(source.m_source, to, limits.m_fill_permille)});
      if (count == 0)
        continue;
      MoveSlots(source, from, to, count);
      headroom.AddLoad(source.m_source, to, count);
      excess -= count;
      moved_slots += count;
    }
  }
  return moved_slots;
}

// Moves callers back to their home region and returns the number of slots
// moved.
std::uint32_t MoveHome(SourceSlots& source,
                       RegionHeadroom& headroom,
                       const std::vector<RegionId>& regions,
                       const ShiftLimits& limits,
                       std::uint32_t cap) {
  const RegionId& home = source.m_source;
  std::uint32_t moved_slots = 0;
  for (const RegionId& from : regions) {
    const std::uint32_t share = from == home ? 0 : ShareOf(source, from);
    const std::uint32_t count =
        std::min({(share + 1) / 2, cap - moved_slots,
                  headroom.HeadroomFor(home, home, limits.m_return_permille)});
    if (count == 0)
      continue;
    MoveSlots(source, from, home, count);
    headroom.AddLoad(home, home, count);
    moved_slots += count;
  }
  return moved_slots;
}

// Time since which the home region has had headroom for returning callers;
// empty if it has none now or has no measurement.
std::optional<UnixMillis> CalmSince(const SourceSlots& source,
                                    const RegionHeadroom& headroom,
                                    const ShiftLimits& limits,
                                    UnixMillis now) {
  if (headroom.HeadroomFor(source.m_source, source.m_source,
                           limits.m_return_permille) == 0)
    return std::nullopt;
  return source.m_calm_since.value_or(now);
}

}  // namespace

std::uint32_t ShareOf(const SourceSlots& source, const RegionId& region) {
  return static_cast<std::uint32_t>(
      std::count(source.m_target.begin(), source.m_target.end(), region));
}

ShiftPlan HomePlan(const Deployment& deployment) {
  ShiftPlan plan;
  for (const Region& region : deployment.m_regions)
    plan.m_sources.push_back(MakeHomeSlots(region.m_name));
  std::sort(plan.m_sources.begin(), plan.m_sources.end());
  return plan;
}

ShiftPlan PlanShift(const ShiftPlan& plan,
                    const ShiftInputs& inputs,
                    const Deployment& deployment,
                    const ShiftLimits& limits) {
  const auto lifetime = MaxLookupLifetime(deployment);
  const bool has_moved = plan.m_changed_at != UnixMillis(0);
  const UnixMillis settled_at =
      has_moved ? plan.m_changed_at + lifetime : UnixMillis(0);
  ShiftPlan next = Reconcile(plan, deployment);
  if (inputs.m_now < settled_at)
    return next;
  RegionHeadroom headroom(next, inputs, limits, settled_at);
  const std::uint32_t cap = deployment.m_shift.m_max_permille_per_minute;
  for (SourceSlots& source : next.m_sources) {
    std::erase_if(source.m_steps, [&](const ShiftStep& step) {
      return inputs.m_now - step.m_at >= kCapWindow;
    });
    source.m_calm_since = CalmSince(source, headroom, limits, inputs.m_now);
    const std::uint32_t remaining_cap = RemainingCap(source, inputs.m_now, cap);
    const auto regions = RegionsByDistance(deployment, source.m_source);
    std::uint32_t moved_slots = MoveFromOverloadedRegions(
        source, headroom, regions, limits, remaining_cap);
    const bool is_calm =
        source.m_calm_since && inputs.m_now - *source.m_calm_since >=
                                   lifetime * limits.m_calm_lookup_lifetimes;
    if (moved_slots == 0 && is_calm)
      moved_slots = MoveHome(source, headroom, regions, limits, remaining_cap);
    if (moved_slots == 0)
      continue;
    source.m_steps.push_back({.m_at = inputs.m_now, .m_permille = moved_slots});
    next.m_changed_at = inputs.m_now;
  }
  return next;
}

RegionId RegionForBlock(const ShiftPlan& plan,
                        const RegionId& home,
                        std::string_view prefix) {
  const auto found = std::find_if(
      plan.m_sources.begin(), plan.m_sources.end(),
      [&](const SourceSlots& source) { return source.m_source == home; });
  if (found == plan.m_sources.end() || found->m_target.size() != kCallerSlots)
    return home;
  return found->m_target[Hash64(prefix) % kCallerSlots];
}

}  // namespace jujube::steering
