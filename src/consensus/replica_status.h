// ReplicaStatus: a copy of the state of a Replica, for status pages and
// metrics.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "consensus/actions.h"
#include "core/clock.h"
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
  // Latest time at which the applied state is known to have included all that
  // was committed; the epoch if never. The leader derives it from the replies
  // of a majority. A follower derives it from its leader, so an outdated leader
  // or a late message can make it too recent, by up to an election timeout and
  // the delay of the message.
  MonoTime m_current_at{};

  friend auto operator<=>(const ReplicaStatus&, const ReplicaStatus&) = default;
};

}  // namespace jujube::consensus
