// ShiftDriver: decides on the leader which callers move to another region next.
//
//   driver.OnRequest(request, now);              // each AllotmentRequest
//   if (auto step = driver.NextStep(state, now, wall_time))
//     propose(MakeCommand(*step, wall_time));    // about once a second
//   driver.Clear();                              // on a change of role
//
// The plan is part of the replicated state, so that every entry host gives the
// same look-up answers. The driver itself is not replicated and reads no clock.

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

  // The step to propose, or nullopt if no callers should move now.
  std::optional<ShiftCommand> NextStep(const StateMachine& state,
                                       MonoTime now,
                                       UnixMillis wall_time);

  // Inputs of the next plan. Public for tests.
  steering::ShiftInputs MakeInputs(const StateMachine& state,
                                   MonoTime now,
                                   UnixMillis wall_time) const;

 private:
  struct Report {
    MonoTime m_received;
    std::map<RegionId, std::uint32_t>
        m_in_progress;  // by region of the upstream
  };

  // True if every host with a lease has reported within the maximum report age.
  bool HasAllReports(const StateMachine& state, MonoTime now) const;

  std::map<HostId, Report> m_reports;
  // The plan in force with the latest bookkeeping, which is replicated only
  // together with a change of targets.
  std::optional<steering::ShiftPlan> m_plan;
};

}  // namespace jujube::control
