// Membership plan: chooses the next membership change when hosts are discovered
// and lost at run time.
//
// The leader calls PlanMembership periodically and proposes the result. A
// change that is refused is planned again by the next call.
//
//   - A host that is heard and is not a member becomes a learner. Once it has
//     caught up, it becomes a voter: at once if the group is not full, or in
//     place of a silent voter; otherwise after it was heard for long. Until
//     then it may be the replacement of a voter that is about to go, and a
//     larger group would need both.
//   - A silent voter is removed if a full group remains (m_full_voters), or if
//     a learner that has caught up takes its place. Otherwise it stays a voter,
//     however long it is silent.
//   - If a host returns with another data folder, the voter with the old folder
//     is removed once the new one has caught up, and before it is promoted.
//   - A lost learner is removed.
//
// A promotion never makes the group depend on the promoted host: it either
// leaves the size of a majority unchanged, or all voters are heard. In a group
// with an odd number of voters, a silent voter is therefore removed before the
// learner that takes its place is promoted.

#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

#include "consensus/events.h"
#include "gen/consensus.h"

namespace jujube::consensus {

struct MembershipFacts {
  Voters m_members;  // current membership at the leader
  // Hosts heard recently, with their current folders. Must include this
  // replica.
  std::vector<VoterId> m_heard;
  // Voters that are not heard, or are about to stop. A voter that is in neither
  // list may be either.
  std::vector<VoterId> m_silent;
  std::vector<VoterId> m_lost_learners;
  std::vector<VoterId> m_caught_up;  // see Replica::CaughtUpLearners
  std::vector<VoterId> m_settled;    // learners heard for long
  // Number of voters that tolerates the losses which the deployment requires.
  std::size_t m_full_voters = 3;

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
