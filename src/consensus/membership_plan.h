// Membership plan: the next change of the members of a log whose hosts come and
// go by themselves.
//
// The leader calls it now and then and proposes the answer; a change that is
// refused, for example of a learner that lags behind, is planned again.
//
//   - a host that is not a member becomes a learner, then a voter;
//   - a voter whose host came back with another data folder is removed before
//     the new folder is promoted;
//   - a learner that is lost is removed;
//   - a voter that is lost is removed once a replacement is a voter, which
//     shows in an even number of voters. Until then its removal would gain
//     nothing: the same number of further losses would stop the log.

#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "consensus/events.h"
#include "gen/consensus.h"

namespace jujube::consensus {

struct MembershipFacts {
  Voters m_members;                // in force at the leader
  std::vector<VoterId> m_present;  // connected hosts with their folders now
  std::vector<VoterId> m_lost;     // members without a connection for long

  friend auto operator<=>(const MembershipFacts&,
                          const MembershipFacts&) = default;
};

struct MembershipChange {
  MembershipStep m_step = MembershipStep::kAddLearner;
  VoterId m_replica;

  friend auto operator<=>(const MembershipChange&,
                          const MembershipChange&) = default;
};

std::optional<MembershipChange> PlanMembership(const MembershipFacts& facts);

}  // namespace jujube::consensus
