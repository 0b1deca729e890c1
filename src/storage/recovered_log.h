// RecoveredLog: the state that LogStore::Open recovered from the data folder.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "gen/consensus.h"

namespace jujube::storage {

struct RecoveredLog {
  FolderIdentity m_identity;  // its start count includes this start
  HardState m_state;          // term and vote
  std::optional<SnapshotInfo> m_snapshot;  // newest; nullopt if none was stored
  std::uint64_t m_snapshot_bytes = 0;      // size of its data
  std::vector<LogEntry> m_entries;         // consecutive, after the snapshot
  PeerStarts m_peers;                      // start counts of other replicas
  // Size of the torn tail that Open truncated; if not 0, log TornTailTruncated.
  std::uint64_t m_torn_bytes = 0;

  friend auto operator<=>(const RecoveredLog&, const RecoveredLog&) = default;
};

}  // namespace jujube::storage
