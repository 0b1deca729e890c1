// RecoveredLog: what LogStore::Open found in the data folder.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "gen/consensus.h"

namespace jujube::storage {

struct RecoveredLog {
  FolderIdentity m_identity;               // with the count of this start
  HardState m_state;                       // term and vote
  std::optional<SnapshotInfo> m_snapshot;  // newest one; none in a new folder
  std::uint64_t m_snapshot_bytes = 0;      // size of its data
  std::vector<LogEntry> m_entries;         // after the snapshot, without gaps
  PeerStarts m_peers;                      // start counts of other replicas
  std::uint64_t m_torn_bytes =
      0;  // truncated; if above 0 log TornTailTruncated

  friend auto operator<=>(const RecoveredLog&, const RecoveredLog&) = default;
};

}  // namespace jujube::storage
