#include "consensus/membership_log.h"

#include <algorithm>
#include <utility>

namespace jujube::consensus {

namespace {

bool Contains(const std::vector<VoterId>& list, const VoterId& replica) {
  return std::find(list.begin(), list.end(), replica) != list.end();
}

}  // namespace

bool IsVoter(const Voters& voters, const VoterId& replica) {
  return Contains(voters.m_voters, replica);
}

bool IsLearner(const Voters& voters, const VoterId& replica) {
  return Contains(voters.m_learners, replica);
}

MembershipLog::MembershipLog(std::uint64_t index, Voters voters)
    : m_steps{Step{.m_index = index, .m_voters = std::move(voters)}} {}

const Voters& MembershipLog::At(std::uint64_t index) const {
  for (auto step = m_steps.rbegin(); step != m_steps.rend(); ++step) {
    if (step->m_index <= index)
      return step->m_voters;
  }
  return m_steps.front().m_voters;
}

std::uint64_t MembershipLog::JoinIndex(const VoterId& replica) const {
  std::uint64_t joined = CurrentIndex();
  for (auto step = m_steps.rbegin(); step != m_steps.rend(); ++step) {
    if (!IsVoter(step->m_voters, replica) &&
        !IsLearner(step->m_voters, replica))
      break;
    joined = step->m_index;
  }
  return joined;
}

void MembershipLog::Append(std::uint64_t index, Voters voters) {
  m_steps.push_back(Step{.m_index = index, .m_voters = std::move(voters)});
}

void MembershipLog::TruncateFrom(std::uint64_t index) {
  while (m_steps.size() > 1 && m_steps.back().m_index >= index)
    m_steps.pop_back();
}

void MembershipLog::CompactTo(std::uint64_t index) {
  while (m_steps.size() > 1 && m_steps[1].m_index <= index)
    m_steps.erase(m_steps.begin());
}

}  // namespace jujube::consensus
