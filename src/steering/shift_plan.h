// ShiftPlan: where the callers of all regions are steered.
//
//   ShiftPlan plan = HomePlan(deployment);            // everybody at home
//   plan = PlanShift(plan, inputs, deployment, limits);  // on each exchange
//   RegionForBlock(plan, home_region, prefix)         // in the look-up tables
//
// PlanShift is a pure function of values in whole numbers. Entry hosts that
// start from the same plan and see the same inputs compute the same plan; a
// host that starts or was away takes over the plan of another.
//
// Rules:
// - At most Shift::m_max_permille_per_minute slots of a source move in any
//   minute; a slot that moves back counts again.
// - After a step, nothing moves before the look-up lifetime has passed and
//   measurements that began after it are there. Callers still use the answers
//   of before until then.
// - Callers move away from regions that are out, or used beyond m_high. A
// region
//   receives callers up to m_fill, over all sources together.
// - The use of a region is the greater one of what it reports and what the plan
//   steers there. Refusals mean that it is full, whatever it reports.
// - A region without a fresh measurement neither loses nor receives callers,
//   except that it loses them when it is out.
// - Half of an excess moves in a step; callers return home only after a calm
//   period, while home stays below m_return.

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
  UnixMillis m_changed_at{0};          // time of the last step; 0: none yet
  std::vector<SourceSlots> m_sources;  // ordered by name of the region

  friend auto operator<=>(const ShiftPlan&, const ShiftPlan&) = default;
};

ShiftPlan HomePlan(const Deployment& deployment);

// The next plan; equal to `plan` in its targets if nothing may move. Regions
// that the deployment has gained or lost are added or removed first.
ShiftPlan PlanShift(const ShiftPlan& plan,
                    const ShiftInputs& inputs,
                    const Deployment& deployment,
                    const ShiftLimits& limits);

// Region to which a block of callers is steered; its home if the plan does not
// know that.
RegionId RegionForBlock(const ShiftPlan& plan,
                        const RegionId& home,
                        std::string_view prefix);

}  // namespace jujube::steering
