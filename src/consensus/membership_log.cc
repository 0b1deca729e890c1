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
    : m_changes{Change{.m_index = index, .m_voters = std::move(voters)}} {}

const Voters& MembershipLog::At(std::uint64_t index) const {
  for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
    if (change->m_index <= index)
      return change->m_voters;
  }
  return m_changes.front().m_voters;
}

std::uint64_t MembershipLog::JoinIndex(const VoterId& replica) const {
  std::uint64_t joined = CurrentIndex();
  for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
    if (!IsVoter(change->m_voters, replica) &&
        !IsLearner(change->m_voters, replica))
      break;
    joined = change->m_index;
  }
  return joined;
}

void MembershipLog::Append(std::uint64_t index, Voters voters) {
  m_changes.push_back(Change{.m_index = index, .m_voters = std::move(voters)});
}

void MembershipLog::TruncateFrom(std::uint64_t index) {
  while (m_changes.size() > 1 && m_changes.back().m_index >= index)
    m_changes.pop_back();
}

void MembershipLog::CompactTo(std::uint64_t index) {
  while (m_changes.size() > 1 && m_changes[1].m_index <= index)
    m_changes.erase(m_changes.begin());
}

}  // namespace jujube::consensus
