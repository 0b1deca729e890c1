// Builds encoded commands for the replicated log.
//
//   std::string entry = control::MakeCommand(claim_request, clock.WallNow());
//   // propose `entry`; StateMachine::Apply() receives the same bytes
//
// The message type determines the command kind, so the two always match.

#pragma once

#include <string>

#include "core/clock.h"
#include "gen/claims.h"
#include "gen/control.h"

namespace jujube::control {

std::string MakeCommand(const ApplyCommand& message, UnixMillis now);
std::string MakeCommand(const DrainCommand& message, UnixMillis now);
std::string MakeCommand(const ClaimRequest& message, UnixMillis now);
std::string MakeCommand(const ClaimFinish& message, UnixMillis now);
std::string MakeCommand(const RenewCommand& message, UnixMillis now);
std::string MakeCommand(const RemoveHostCommand& message, UnixMillis now);
std::string MakeCommand(const ShiftCommand& message, UnixMillis now);

}  // namespace jujube::control
