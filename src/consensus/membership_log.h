// MembershipLog: the memberships set by entries of the log, each with its log
// index.
//
// A membership takes effect when its entry is appended to the log, before it is
// committed.

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

  const Voters& Current() const { return m_changes.back().m_voters; }
  // Index of the entry that set the current membership, or of the snapshot that
  // it was loaded from; 0 for the initial membership before it is in the log.
  std::uint64_t CurrentIndex() const { return m_changes.back().m_index; }

  // Membership in effect at `index`.
  const Voters& At(std::uint64_t index) const;

  // Index of the entry since which `replica` has been a member without
  // interruption, or of the oldest retained change if it joined before that.
  // `replica` must be a current member.
  std::uint64_t JoinIndex(const VoterId& replica) const;

  void Append(std::uint64_t index, Voters voters);
  void TruncateFrom(std::uint64_t index);
  void CompactTo(std::uint64_t index);

 private:
  struct Change {
    std::uint64_t m_index = 0;
    Voters m_voters;  // the whole membership after the change, with learners
  };

  std::vector<Change> m_changes;  // never empty
};

}  // namespace jujube::consensus
