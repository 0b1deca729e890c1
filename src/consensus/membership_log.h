// MembershipLog: the memberships of the log, each from its entry on.
//
// A membership is in force from the moment its entry is in the log, committed
// or not.

#pragma once

#include <cstdint>
#include <vector>

#include "gen/consensus.h"

namespace jujube::consensus {

bool IsVoter(const Voters& voters, const VoterId& replica);
bool IsLearner(const Voters& voters, const VoterId& replica);

class MembershipLog {
 public:
  MembershipLog(std::uint64_t index, Voters voters);

  const Voters& Current() const { return m_steps.back().m_voters; }
  // Entry of the current membership; 0 if it is not in the log.
  std::uint64_t CurrentIndex() const { return m_steps.back().m_index; }

  // Membership in force at the index.
  const Voters& At(std::uint64_t index) const;

  // Entry since which the replica is a member without interruption, as far
  // back as the log is known.
  std::uint64_t JoinIndex(const VoterId& replica) const;

  void Append(std::uint64_t index, Voters voters);
  void TruncateFrom(std::uint64_t index);
  void CompactTo(std::uint64_t index);

 private:
  struct Step {
    std::uint64_t m_index = 0;
    Voters m_voters;
  };

  std::vector<Step> m_steps;  // never empty
};

}  // namespace jujube::consensus
