// ReplicaStatus: a copy of the state of a Replica, for status pages and
// metrics.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "consensus/actions.h"
#include "gen/consensus.h"

namespace jujube::consensus {

struct ReplicaStatus {
  Role m_role = Role::kFollower;
  std::uint64_t m_term = 0;
  std::optional<VoterId> m_leader;
  std::uint64_t m_first_index = 0;  // first entry in memory
  std::uint64_t m_last_index = 0;
  std::uint64_t m_synced_index = 0;  // durable on this replica
  std::uint64_t m_commit_index = 0;
  // Highest index returned in m_apply or covered by a loaded snapshot.
  std::uint64_t m_applied_index = 0;
  Voters m_voters;  // current membership, committed or not

  friend auto operator<=>(const ReplicaStatus&, const ReplicaStatus&) = default;
};

}  // namespace jujube::consensus
