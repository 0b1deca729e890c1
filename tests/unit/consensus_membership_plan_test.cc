#include <gtest/gtest.h>

#include "consensus/membership_plan.h"

namespace jujube::consensus {
namespace {

constexpr std::size_t kFullVoters = 5;

VoterId Host(int number, std::uint64_t folder = 1) {
  return {.m_host = {"10.0.0." + std::to_string(number) + ":7400"},
          .m_folder = folder};
}

std::vector<VoterId> Hosts(const std::vector<int>& numbers) {
  std::vector<VoterId> hosts;
  hosts.reserve(numbers.size());
  for (const int number : numbers)
    hosts.push_back(Host(number));
  return hosts;
}

// All learners have caught up.
MembershipFacts Facts(std::vector<VoterId> voters,
                      const std::vector<VoterId>& learners,
                      std::vector<VoterId> heard,
                      std::vector<VoterId> silent = {}) {
  return {.m_members = {.m_voters = std::move(voters), .m_learners = learners},
          .m_heard = std::move(heard),
          .m_silent = std::move(silent),
          .m_caught_up = learners,
          .m_full_voters = kFullVoters};
}

MembershipChange Remove(const VoterId& replica) {
  return {MembershipStep::kRemove, replica};
}

MembershipChange Promote(const VoterId& replica) {
  return {MembershipStep::kPromote, replica};
}

// Guards against a log that never adds hosts which discovery found after its
// first membership was created.
TEST(MembershipPlan, HostsBecomeLearnersThenVoters) {
  const std::vector<VoterId> founders = Hosts({1, 2, 3});
  const std::vector<VoterId> heard = Hosts({1, 2, 3, 4});
  EXPECT_EQ(PlanMembership(Facts(founders, {}, heard)),
            (MembershipChange{MembershipStep::kAddLearner, Host(4)}));
  EXPECT_EQ(PlanMembership(Facts(founders, {Host(4)}, heard)),
            Promote(Host(4)));
  EXPECT_EQ(PlanMembership(Facts(heard, {}, heard)), std::nullopt);
}

// Guards against a voter that cannot take part because it lacks the log.
TEST(MembershipPlan, LearnerThatIsBehindIsNotPromoted) {
  MembershipFacts facts =
      Facts(Hosts({1, 2, 3}), {Host(4)}, Hosts({1, 2, 3, 4}));
  facts.m_caught_up.clear();
  EXPECT_EQ(PlanMembership(facts), std::nullopt);
}

// Guards against a host that counts as two voters after its disk was replaced.
TEST(MembershipPlan, NewFolderReplacesOldFolderOfSameHost) {
  const std::vector<VoterId> voters = Hosts({1, 2, 3});
  const std::vector<VoterId> heard = {Host(1), Host(2), Host(3, 9)};
  EXPECT_EQ(PlanMembership(Facts(voters, {}, heard)),
            (MembershipChange{MembershipStep::kAddLearner, Host(3, 9)}));
  EXPECT_EQ(PlanMembership(Facts(voters, {Host(3, 9)}, heard)),
            Remove(Host(3)));
  EXPECT_EQ(PlanMembership(Facts(Hosts({1, 2}), {Host(3, 9)}, heard)),
            Promote(Host(3, 9)));
}

// Guards against removing voters that are silent for a while, until too few
// voters remain.
TEST(MembershipPlan, SilentVoterStaysWithoutReplacement) {
  const std::vector<VoterId> five = Hosts({1, 2, 3, 4, 5});
  EXPECT_EQ(PlanMembership(Facts(five, {}, Hosts({1, 2, 3}), Hosts({4, 5}))),
            std::nullopt);
}

// Guards against removed hosts that stay voters for good because the number of
// voters is odd: with two of them among seven, the loss of two disks ends the
// majority.
TEST(MembershipPlan, SilentVotersBeyondAFullGroupAreRemoved) {
  const std::vector<VoterId> heard = Hosts({3, 4, 5, 6, 7});
  EXPECT_EQ(PlanMembership(
                Facts(Hosts({1, 2, 3, 4, 5, 6, 7}), {}, heard, Hosts({1, 2}))),
            Remove(Host(1)));
  EXPECT_EQ(
      PlanMembership(Facts(Hosts({2, 3, 4, 5, 6, 7}), {}, heard, {Host(2)})),
      Remove(Host(2)));
  // Without a majority, no removal can be committed.
  EXPECT_EQ(PlanMembership(Facts(Hosts({1, 2, 3, 4, 5, 6}), {},
                                 Hosts({1, 2, 6}), Hosts({3, 4, 5}))),
            std::nullopt);
}

// Guards against a new voter whose loss ends the majority while removed voters
// are still counted: at no step may more than the three old voters be needed.
TEST(MembershipPlan, ReplacementNeverNeedsMoreVotesThanBefore) {
  const std::vector<VoterId> silent = Hosts({4, 5});
  EXPECT_EQ(PlanMembership(Facts(Hosts({1, 2, 3, 4, 5}), Hosts({6, 7}),
                                 Hosts({1, 2, 3, 6, 7}), silent)),
            Remove(Host(4)));
  EXPECT_EQ(PlanMembership(Facts(Hosts({1, 2, 3, 5}), Hosts({6, 7}),
                                 Hosts({1, 2, 3, 6, 7}), silent)),
            Promote(Host(6)));
  EXPECT_EQ(PlanMembership(Facts(Hosts({1, 2, 3, 5, 6}), Hosts({7}),
                                 Hosts({1, 2, 3, 6, 7}), silent)),
            Remove(Host(5)));
}

// Guards against a larger group that needs a new host and the one that it
// replaces: both are gone if the replacement fails.
TEST(MembershipPlan, FullGroupGrowsOnlyBySettledHostsWhileAllAreHeard) {
  const std::vector<VoterId> five = Hosts({1, 2, 3, 4, 5});
  MembershipFacts facts = Facts(five, Hosts({6}), Hosts({1, 2, 3, 4, 5, 6}));
  EXPECT_EQ(PlanMembership(facts), std::nullopt);
  facts.m_settled = Hosts({6});
  EXPECT_EQ(PlanMembership(facts), Promote(Host(6)));
  facts.m_heard = Hosts({1, 2, 3, 4, 6});
  EXPECT_EQ(PlanMembership(facts), std::nullopt);
  facts.m_silent = Hosts({5});
  EXPECT_EQ(PlanMembership(facts), Remove(Host(5)));
}

TEST(MembershipPlan, LostLearnerIsRemoved) {
  const std::vector<VoterId> voters = Hosts({1, 2, 3});
  MembershipFacts facts = Facts(voters, {Host(4)}, voters);
  facts.m_lost_learners = {Host(4)};
  EXPECT_EQ(PlanMembership(facts), Remove(Host(4)));
}

}  // namespace
}  // namespace jujube::consensus
