#include "steering/shift_state.h"

#include <algorithm>

namespace jujube::steering {

namespace {

std::uint64_t ToMillis(UnixMillis time) {
  return static_cast<std::uint64_t>(std::max<UnixMillis::rep>(time.count(), 0));
}

UnixMillis FromMillis(std::uint64_t count) {
  return UnixMillis(static_cast<UnixMillis::rep>(count));
}

// Without a plan every caller is directed to its home region.
bool SteersTo(const ShiftState& state, const RegionId& region) {
  if (state.m_sources.empty())
    return true;
  return std::any_of(
      state.m_sources.begin(), state.m_sources.end(),
      [&](const ShiftSource& source) {
        return std::any_of(
            source.m_runs.begin(), source.m_runs.end(),
            [&](const ShiftRun& run) { return run.m_region == region; });
      });
}

}  // namespace

ShiftState ToShiftState(const ShiftPlan& plan) {
  ShiftState state{.m_changed_at = ToMillis(plan.m_changed_at)};
  for (const SourceSlots& slots : plan.m_sources) {
    ShiftSource source{.m_source = slots.m_source};
    for (const RegionId& target : slots.m_target) {
      if (source.m_runs.empty() || source.m_runs.back().m_region != target)
        source.m_runs.push_back({.m_region = target});
      ++source.m_runs.back().m_slots;
    }
    for (const ShiftStep& step : slots.m_steps) {
      source.m_moves.push_back(
          {.m_at = ToMillis(step.m_at), .m_permille = step.m_permille});
    }
    if (slots.m_calm_since)
      source.m_calm_since = ToMillis(*slots.m_calm_since);
    state.m_sources.push_back(std::move(source));
  }
  return state;
}

ShiftPlan ToShiftPlan(const ShiftState& state) {
  ShiftPlan plan{.m_changed_at = FromMillis(state.m_changed_at)};
  for (const ShiftSource& source : state.m_sources) {
    SourceSlots slots{.m_source = source.m_source};
    for (const ShiftRun& run : source.m_runs)
      slots.m_target.insert(slots.m_target.end(), run.m_slots, run.m_region);
    for (const ShiftMove& move : source.m_moves) {
      slots.m_steps.push_back(
          {.m_at = FromMillis(move.m_at), .m_permille = move.m_permille});
    }
    if (source.m_calm_since)
      slots.m_calm_since = FromMillis(*source.m_calm_since);
    plan.m_sources.push_back(std::move(slots));
  }
  return plan;
}

std::vector<Drain> DrainsInForce(const std::vector<Drain>& drains,
                                 const ShiftState& state) {
  std::vector<Drain> in_force;
  std::copy_if(drains.begin(), drains.end(), std::back_inserter(in_force),
               [&](const Drain& drain) {
                 return drain.m_kind != DrainKind::kRegion ||
                        !SteersTo(state, RegionId{drain.m_name});
               });
  return in_force;
}

}  // namespace jujube::steering
