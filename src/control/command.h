// Builds commands of the replicated log.
//
//   std::string entry = control::MakeCommand(claim_request, clock.WallNow());
//   // propose `entry`; StateMachine::Apply() gets the same bytes
//
// The kind follows from the message type, so that the two cannot disagree.

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
