// Conversion between a ShiftPlan and its form in messages, and what follows
// from a plan for the drains of regions.

#pragma once

#include <vector>

#include "gen/deployment.h"
#include "gen/shift.h"
#include "steering/shift_plan.h"

namespace jujube::steering {

ShiftState ToShiftState(const ShiftPlan& plan);
ShiftPlan ToShiftPlan(const ShiftState& state);

// The drains that are in force now. The drain of a region takes effect for its
// hosts and instances once the plan steers no caller there any more; before
// that it would move all of them at once, over the cap of a shift.
std::vector<Drain> DrainsInForce(const std::vector<Drain>& drains,
                                 const ShiftState& state);

}  // namespace jujube::steering
