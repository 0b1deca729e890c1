// Checks a document on the leader and builds the command that applies it.
//
//   ApplyProposal proposal = PrepareApply(state, deployment, "clerk");
//   if (proposal.m_answer)
//     return *proposal.m_answer;          // final answer, nothing to propose
//   propose(MakeCommand(proposal.m_command, clock.WallNow()));
//   ...                                   // on BaseChanged: prepare again
//
// An immediate answer is up to date only if the caller has passed the read
// barrier of the log.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control/state_machine.h"

namespace jujube::control {

struct ApplyProposal {
  std::optional<ApplyAnswer> m_answer;  // answer that needs no command
  ApplyCommand m_command;               // command to propose otherwise

  friend auto operator<=>(const ApplyProposal&, const ApplyProposal&) = default;
};

// Answers Invalid with the problems if a check of the document fails. A
// document whose number was accepted before or is too low is answered from the
// history. If `base_number` is set and is not the number of the document in
// force, the answer is a conflict. A document that moves too many callers at
// once is also Invalid. Otherwise builds the command as the difference from the
// document in force.
ApplyProposal PrepareApply(
    const StateMachine& state,
    const Deployment& deployment,
    const std::string& operator_name,
    std::optional<std::uint64_t> base_number = std::nullopt);

}  // namespace jujube::control
