// What the leader decides on a document before it proposes anything.
//
//   ApplyProposal proposal = PrepareApply(state, deployment, "clerk");
//   if (proposal.m_answer)
//     ...                                 // answer at once, nothing to propose
//   propose(MakeCommand(proposal.m_command, clock.WallNow()));
//   ...                                   // on BaseChanged: prepare once more
//
// An immediate answer is current only after the read barrier of the log.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control/state_machine.h"

namespace jujube::control {

struct ApplyProposal {
  std::optional<ApplyAnswer> m_answer;  // the answer, if there is one already
  ApplyCommand m_command;               // otherwise what to propose

  friend auto operator<=>(const ApplyProposal&, const ApplyProposal&) = default;
};

// Checks the document (Invalid with the problems), recalls an accepted one with
// the same number, and builds the command against the document in force. With a
// base number, any other document in force is a conflict.
ApplyProposal PrepareApply(
    const StateMachine& state,
    const Deployment& deployment,
    const std::string& operator_name,
    std::optional<std::uint64_t> base_number = std::nullopt);

}  // namespace jujube::control
