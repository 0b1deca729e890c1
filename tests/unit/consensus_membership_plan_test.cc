#include <gtest/gtest.h>

#include "consensus/membership_plan.h"

namespace jujube::consensus {
namespace {

VoterId Host(int number, std::uint64_t folder = 1) {
  return {.m_host = {"10.0.0." + std::to_string(number) + ":7400"},
          .m_folder = folder};
}

MembershipFacts Facts(std::vector<VoterId> voters,
                      std::vector<VoterId> learners,
                      std::vector<VoterId> present,
                      std::vector<VoterId> lost = {}) {
  return {.m_members = {.m_voters = std::move(voters),
                        .m_learners = std::move(learners)},
          .m_connected = std::move(present),
          .m_lost = std::move(lost)};
}

// Guards against a log that never adds hosts which discovery found after its
// first membership was created.
TEST(MembershipPlan, HostsBecomeLearnersThenVoters) {
  const std::vector<VoterId> founders = {Host(1), Host(2), Host(3)};
  std::vector<VoterId> present = founders;
  present.push_back(Host(4));
  EXPECT_EQ(PlanMembership(Facts(founders, {}, present)),
            (MembershipChange{MembershipStep::kAddLearner, Host(4)}));
  EXPECT_EQ(PlanMembership(Facts(founders, {Host(4)}, present)),
            (MembershipChange{MembershipStep::kPromote, Host(4)}));
  EXPECT_EQ(PlanMembership(Facts(present, {}, present)), std::nullopt);
}

// Guards against a host that counts as two voters after its disk was replaced.
TEST(MembershipPlan, NewFolderReplacesOldFolderOfSameHost) {
  const std::vector<VoterId> voters = {Host(1), Host(2), Host(3)};
  const std::vector<VoterId> present = {Host(1), Host(2), Host(3, 9)};
  EXPECT_EQ(PlanMembership(Facts(voters, {}, present)),
            (MembershipChange{MembershipStep::kAddLearner, Host(3, 9)}));
  EXPECT_EQ(PlanMembership(Facts(voters, {Host(3, 9)}, present)),
            (MembershipChange{MembershipStep::kRemove, Host(3)}));
  EXPECT_EQ(PlanMembership(Facts({Host(1), Host(2)}, {Host(3, 9)}, present)),
            (MembershipChange{MembershipStep::kPromote, Host(3, 9)}));
}

// Guards against removing voters that are disconnected for a while, until too
// few voters remain.
TEST(MembershipPlan, LostVoterIsRemovedOnlyAfterReplacement) {
  const std::vector<VoterId> five = {Host(1), Host(2), Host(3), Host(4),
                                     Host(5)};
  const std::vector<VoterId> four = {Host(1), Host(2), Host(3), Host(4)};
  EXPECT_EQ(PlanMembership(Facts(five, {}, four, {Host(5)})), std::nullopt);
  std::vector<VoterId> six = five;
  six.push_back(Host(6));
  std::vector<VoterId> present = four;
  present.push_back(Host(6));
  EXPECT_EQ(PlanMembership(Facts(six, {}, present, {Host(5)})),
            (MembershipChange{MembershipStep::kRemove, Host(5)}));
  // Without a connected majority no removal can be committed.
  EXPECT_EQ(PlanMembership(Facts(six, {}, {Host(1), Host(2), Host(6)},
                                 {Host(3), Host(4), Host(5)})),
            std::nullopt);
}

TEST(MembershipPlan, LostLearnerIsRemoved) {
  const std::vector<VoterId> voters = {Host(1), Host(2), Host(3)};
  EXPECT_EQ(PlanMembership(Facts(voters, {Host(4)}, voters, {Host(4)})),
            (MembershipChange{MembershipStep::kRemove, Host(4)}));
}

}  // namespace
}  // namespace jujube::consensus
