// Membership plan: chooses the next membership change when hosts are discovered
// and lost at run time.
//
// The leader calls PlanMembership periodically and proposes the result. A
// change that is refused, for example the promotion of a learner that is still
// catching up, is planned again by the next call.
//
//   - A connected host that is not a member becomes a learner, then a voter.
//   - If a host returns with another data folder, the voter with the old folder
//     is removed before the new one is promoted.
//   - A lost learner is removed.
//   - A lost voter is removed only while the number of voters is even (for
//     example after a replacement became a voter) and a majority is connected.
//     With an odd number, removal would not raise fault tolerance: the log
//     would stop after as many further losses as before.

#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "consensus/events.h"
#include "gen/consensus.h"

namespace jujube::consensus {

struct MembershipFacts {
  Voters m_members;  // current membership at the leader
  // Hosts with their current folders. Must include this replica, which
  // otherwise does not count towards the majority.
  std::vector<VoterId> m_connected;
  std::vector<VoterId> m_lost;  // members disconnected beyond a timeout

  friend auto operator<=>(const MembershipFacts&,
                          const MembershipFacts&) = default;
};

struct MembershipChange {
  MembershipStep m_step = MembershipStep::kAddLearner;
  VoterId m_replica;

  friend auto operator<=>(const MembershipChange&,
                          const MembershipChange&) = default;
};

// nullopt if no change is needed or possible now.
std::optional<MembershipChange> PlanMembership(const MembershipFacts& facts);

}  // namespace jujube::consensus
