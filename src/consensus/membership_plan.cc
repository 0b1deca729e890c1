#include "consensus/membership_plan.h"

#include <algorithm>

namespace jujube::consensus {
namespace {

bool Contains(const std::vector<VoterId>& list, const VoterId& replica) {
  return std::find(list.begin(), list.end(), replica) != list.end();
}

// Finds a voter on the same host with another folder. Its data is lost, since
// the host now uses the folder of `connected`.
std::optional<VoterId> FindReplacedVoter(const Voters& members,
                                         const VoterId& connected) {
  for (const VoterId& voter : members.m_voters) {
    if (voter.m_host == connected.m_host && voter != connected)
      return voter;
  }
  return std::nullopt;
}

std::optional<MembershipChange> PlanForConnectedHosts(
    const MembershipFacts& facts) {
  const Voters& members = facts.m_members;
  for (const VoterId& connected : facts.m_connected) {
    if (Contains(members.m_voters, connected))
      continue;
    if (!Contains(members.m_learners, connected))
      return MembershipChange{MembershipStep::kAddLearner, connected};
    const std::optional<VoterId> replaced =
        FindReplacedVoter(members, connected);
    if (replaced)
      return MembershipChange{MembershipStep::kRemove, *replaced};
    return MembershipChange{MembershipStep::kPromote, connected};
  }
  return std::nullopt;
}

std::optional<MembershipChange> PlanForLostMembers(
    const MembershipFacts& facts) {
  const Voters& members = facts.m_members;
  for (const VoterId& learner : members.m_learners) {
    if (Contains(facts.m_lost, learner))
      return MembershipChange{MembershipStep::kRemove, learner};
  }
  const std::size_t voter_count = members.m_voters.size();
  const auto connected_count = static_cast<std::size_t>(
      std::count_if(members.m_voters.begin(), members.m_voters.end(),
                    [&](const VoterId& voter) {
                      return Contains(facts.m_connected, voter);
                    }));
  if (voter_count % 2 != 0 || connected_count <= voter_count / 2)
    return std::nullopt;
  for (const VoterId& voter : members.m_voters) {
    if (Contains(facts.m_lost, voter))
      return MembershipChange{MembershipStep::kRemove, voter};
  }
  return std::nullopt;
}

}  // namespace

std::optional<MembershipChange> PlanMembership(const MembershipFacts& facts) {
  const std::optional<MembershipChange> removal = PlanForLostMembers(facts);
  return removal ? removal : PlanForConnectedHosts(facts);
}

}  // namespace jujube::consensus
