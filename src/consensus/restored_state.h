// RestoredState: the durable state from which a Replica starts.

#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "gen/consensus.h"

namespace jujube::consensus {

struct RestoredState {
  HardState m_state;
  // Holds the membership at its index; entries of kind Voters change it.
  std::optional<SnapshotInfo> m_snapshot;
  std::vector<LogEntry> m_entries;  // after the snapshot, without gaps

  friend auto operator<=>(const RestoredState&, const RestoredState&) = default;
};

}  // namespace jujube::consensus
