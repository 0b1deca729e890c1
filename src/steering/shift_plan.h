// ShiftPlan: assigns the callers of each region to target regions.
//
//   ShiftPlan plan = HomePlan(deployment);            // all callers at home
//   plan = PlanShift(plan, inputs, deployment, limits);  // on each exchange
//   RegionForBlock(plan, home_region, prefix)         // in the look-up tables
//
// PlanShift is a pure function with integer arithmetic. Entry hosts that start
// from the same plan and have the same inputs compute the same plan; a host
// that starts or reconnects adopts the plan of another host.
//
// Rules:
// - At most Shift::m_max_permille_per_minute slots of a source move in any
//   minute; a slot that moves back counts again.
// - After a step, nothing moves until the look-up lifetime has passed and there
//   are measurements that started after it. Until then, callers still use
//   cached look-up answers.
// - Callers leave regions that are unavailable or utilized above
//   m_overload_permille. A region receives callers up to m_fill_permille, over
//   all sources together.
// - The load of a region is the maximum of its reported load and the load that
//   the plan directs to it. A region that refuses requests counts as full,
//   whatever it reports.
// - A region without a recent measurement neither loses nor receives callers,
//   except that it loses them when it is unavailable.
// - A step moves half of the excess. Callers return home only after a calm
//   period, while home stays below m_return_permille.

#pragma once

#include <compare>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "gen/deployment.h"
#include "steering/shift_inputs.h"
#include "steering/shift_limits.h"
#include "steering/source_slots.h"

namespace jujube::steering {

struct ShiftPlan {
  UnixMillis m_changed_at{0};          // time of the last step; 0: none
  std::vector<SourceSlots> m_sources;  // sorted by region name

  friend auto operator<=>(const ShiftPlan&, const ShiftPlan&) = default;
};

// Plan that directs all callers to their home regions.
ShiftPlan HomePlan(const Deployment& deployment);

// Returns the next plan, with the same targets as `plan` if nothing may move.
// Regions added to or removed from the deployment are added or removed first.
ShiftPlan PlanShift(const ShiftPlan& plan,
                    const ShiftInputs& inputs,
                    const Deployment& deployment,
                    const ShiftLimits& limits);

// Region to which the callers of an address block are directed; `home` if the
// plan has no source for it.
RegionId RegionForBlock(const ShiftPlan& plan,
                        const RegionId& home,
                        std::string_view prefix);

}  // namespace jujube::steering
