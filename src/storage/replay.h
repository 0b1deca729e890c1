// Replay: reconstructs the hard state and the entries from the log records.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gen/consensus.h"
#include "storage/record.h"
#include "storage/storage_error.h"

namespace jujube::storage {

class Replay {
 public:
  // The newest snapshot, or a default value if there is none.
  explicit Replay(const SnapshotInfo& snapshot) : m_snapshot(snapshot) {}

  // Applies the next record. An entry replaces all entries with the same or a
  // higher index. Fails with kCorrupt on a gap between entries or a decreasing
  // term.
  StorageStatus Apply(const Record& record);

  // Drops the entries that the snapshot covers, and all entries if they diverge
  // from it. Fails with kCorrupt if entries directly after the snapshot are
  // missing.
  StorageStatus Finish();

  const HardState& State() const { return m_state; }
  const std::vector<LogEntry>& Entries() const { return m_entries; }
  // True if the last kSnapshotMarker record is at the index of the snapshot, or
  // if the snapshot is at index 0 and there is no marker.
  bool HasSnapshotMarker() const {
    return m_marker_index == m_snapshot.m_last_index;
  }

 private:
  StorageStatus ApplyEntry(const Record& record);
  void DropCoveredEntries(std::uint64_t index, std::uint64_t term);

  SnapshotInfo m_snapshot;
  HardState m_state;
  std::uint64_t m_marker_index = 0;  // of the last kSnapshotMarker record
  std::vector<LogEntry> m_entries;
};

}  // namespace jujube::storage
