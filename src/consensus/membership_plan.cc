#include "consensus/membership_plan.h"

#include <algorithm>

namespace jujube::consensus {
namespace {

bool Contains(const std::vector<VoterId>& list, const VoterId& replica) {
  return std::find(list.begin(), list.end(), replica) != list.end();
}

// A voter on the same host with another folder: its data is gone.
std::optional<VoterId> ReplacedVoter(const Voters& members,
                                     const VoterId& present) {
  for (const VoterId& voter : members.m_voters) {
    if (voter.m_host == present.m_host && voter != present)
      return voter;
  }
  return std::nullopt;
}

std::optional<MembershipChange> PlanPresent(const MembershipFacts& facts) {
  const Voters& members = facts.m_members;
  for (const VoterId& present : facts.m_present) {
    if (Contains(members.m_voters, present))
      continue;
    if (!Contains(members.m_learners, present))
      return MembershipChange{MembershipStep::kAddLearner, present};
    const std::optional<VoterId> replaced = ReplacedVoter(members, present);
    if (replaced)
      return MembershipChange{MembershipStep::kRemove, *replaced};
    return MembershipChange{MembershipStep::kPromote, present};
  }
  return std::nullopt;
}

std::optional<MembershipChange> PlanLost(const MembershipFacts& facts) {
  const Voters& members = facts.m_members;
  for (const VoterId& learner : members.m_learners) {
    if (Contains(facts.m_lost, learner))
      return MembershipChange{MembershipStep::kRemove, learner};
  }
  const std::size_t voters = members.m_voters.size();
  const auto present = static_cast<std::size_t>(std::count_if(
      members.m_voters.begin(), members.m_voters.end(),
      [&](const VoterId& voter) { return Contains(facts.m_present, voter); }));
  if (voters % 2 != 0 || present <= voters / 2)
    return std::nullopt;
  for (const VoterId& voter : members.m_voters) {
    if (Contains(facts.m_lost, voter))
      return MembershipChange{MembershipStep::kRemove, voter};
  }
  return std::nullopt;
}

}  // namespace

std::optional<MembershipChange> PlanMembership(const MembershipFacts& facts) {
  const std::optional<MembershipChange> lost = PlanLost(facts);
  return lost ? lost : PlanPresent(facts);
}

}  // namespace jujube::consensus
