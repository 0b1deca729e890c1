#include "consensus/membership_plan.h"

#include <algorithm>

namespace jujube::consensus {
namespace {

bool Contains(const std::vector<VoterId>& list, const VoterId& replica) {
  return std::find(list.begin(), list.end(), replica) != list.end();
}

std::size_t MajorityOf(std::size_t voters) {
  return voters / 2 + 1;
}

std::size_t CountHeardVoters(const MembershipFacts& facts) {
  const std::vector<VoterId>& voters = facts.m_members.m_voters;
  return static_cast<std::size_t>(
      std::count_if(voters.begin(), voters.end(), [&](const VoterId& voter) {
        return Contains(facts.m_heard, voter) &&
               !Contains(facts.m_silent, voter);
      }));
}

// Finds a voter on the same host with another folder. Its data is lost, since
// the host now uses the folder of `replica`.
std::optional<VoterId> FindReplacedVoter(const Voters& members,
                                         const VoterId& replica) {
  for (const VoterId& voter : members.m_voters) {
    if (voter.m_host == replica.m_host && voter != replica)
      return voter;
  }
  return std::nullopt;
}

std::optional<VoterId> FindSilentVoter(const MembershipFacts& facts) {
  for (const VoterId& voter : facts.m_members.m_voters) {
    if (Contains(facts.m_silent, voter))
      return voter;
  }
  return std::nullopt;
}

std::optional<MembershipChange> RemoveLostLearner(
    const MembershipFacts& facts) {
  for (const VoterId& learner : facts.m_members.m_learners) {
    if (Contains(facts.m_lost_learners, learner))
      return MembershipChange{MembershipStep::kRemove, learner};
  }
  return std::nullopt;
}

std::optional<MembershipChange> RemoveSurplusVoter(
    const MembershipFacts& facts) {
  const std::optional<VoterId> silent = FindSilentVoter(facts);
  if (!silent || facts.m_members.m_voters.size() <= facts.m_full_voters)
    return std::nullopt;
  return MembershipChange{MembershipStep::kRemove, *silent};
}

// The next step to make a learner that has caught up a voter.
std::optional<MembershipChange> PlanForLearner(const MembershipFacts& facts,
                                               const VoterId& learner) {
  const std::optional<VoterId> replaced =
      FindReplacedVoter(facts.m_members, learner);
  if (replaced)
    return MembershipChange{MembershipStep::kRemove, *replaced};
  const std::size_t voters = facts.m_members.m_voters.size();
  const std::optional<VoterId> silent = FindSilentVoter(facts);
  if (silent && MajorityOf(voters - 1) == MajorityOf(voters))
    return MembershipChange{MembershipStep::kRemove, *silent};
  if (voters >= facts.m_full_voters && !Contains(facts.m_settled, learner))
    return std::nullopt;
  const bool needs_same_majority = MajorityOf(voters + 1) == MajorityOf(voters);
  if (needs_same_majority || CountHeardVoters(facts) == voters)
    return MembershipChange{MembershipStep::kPromote, learner};
  return std::nullopt;
}

std::optional<MembershipChange> PlanVoters(const MembershipFacts& facts) {
  // Without a majority, no change can be committed.
  if (CountHeardVoters(facts) < MajorityOf(facts.m_members.m_voters.size()))
    return std::nullopt;
  if (auto removal = RemoveSurplusVoter(facts))
    return removal;
  for (const VoterId& learner : facts.m_members.m_learners) {
    if (!Contains(facts.m_caught_up, learner) ||
        !Contains(facts.m_heard, learner))
      continue;
    if (auto change = PlanForLearner(facts, learner))
      return change;
  }
  return std::nullopt;
}

std::optional<MembershipChange> AddLearner(const MembershipFacts& facts) {
  const Voters& members = facts.m_members;
  for (const VoterId& heard : facts.m_heard) {
    if (!Contains(members.m_voters, heard) &&
        !Contains(members.m_learners, heard))
      return MembershipChange{MembershipStep::kAddLearner, heard};
  }
  return std::nullopt;
}

}  // namespace

std::optional<MembershipChange> PlanMembership(const MembershipFacts& facts) {
  if (auto removal = RemoveLostLearner(facts))
    return removal;
  if (auto change = PlanVoters(facts))
    return change;
  return AddLearner(facts);
}

}  // namespace jujube::consensus
