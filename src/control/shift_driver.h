// ShiftDriver: the leader's decision on the next step of a shift of callers.
//
//   driver.OnRequest(request, now);              // each AllotmentRequest
//   if (auto step = driver.NextStep(state, now, wall))
//     propose(MakeCommand(*step, wall));         // about once a second
//   driver.Clear();                              // on a change of role
//
// The plan is part of the replicated state, so that every entry host gives the
// same look-up answers. Not replicated itself, and free of clocks.

#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "control/state_machine.h"
#include "core/clock.h"
#include "gen/allotments.h"
#include "gen/control.h"
#include "steering/shift_inputs.h"
#include "steering/shift_plan.h"

namespace jujube::control {

class ShiftDriver {
 public:
  void OnRequest(const AllotmentRequest& request, MonoTime now);
  void Clear();

  // The step to propose, or nothing if no caller is to move now.
  std::optional<ShiftCommand> NextStep(const StateMachine& state,
                                       MonoTime now,
                                       UnixMillis wall);

  // What the plan is made from; public for tests.
  steering::ShiftInputs MakeInputs(const StateMachine& state,
                                   MonoTime now,
                                   UnixMillis wall) const;

 private:
  struct Report {
    MonoTime m_received;
    std::map<RegionId, std::uint32_t> m_in_progress;  // by region of upstream
  };

  bool IsComplete(const StateMachine& state, MonoTime now) const;

  std::map<HostId, Report> m_reports;
  std::optional<steering::ShiftPlan> m_plan;  // with what is not replicated
};

}  // namespace jujube::control
