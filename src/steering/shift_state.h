// Conversion between ShiftPlan and its message format, and the effect of a plan
// on the drains of regions.

#pragma once

#include <vector>

#include "gen/deployment.h"
#include "gen/shift.h"
#include "steering/shift_plan.h"

namespace jujube::steering {

ShiftState ToShiftState(const ShiftPlan& plan);
ShiftPlan ToShiftPlan(const ShiftState& state);

// Returns the drains that are in effect. The drain of a region takes effect for
// its hosts and instances once the plan directs no more callers to it; before
// that, it would move all of them at once and exceed the cap of a shift.
std::vector<Drain> DrainsInForce(const std::vector<Drain>& drains,
                                 const ShiftState& state);

}  // namespace jujube::steering
