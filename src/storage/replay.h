// Replay: rebuilds the state of the log from its records, in order.

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

  // Takes the next record. An entry replaces all entries from its index on. A
  // gap between entries and a term that decreases are corruption.
  StorageStatus Apply(const Record& record);

  // Drops what the snapshot covers. Fails if entries after it are missing.
  StorageStatus Finish();

  const HardState& State() const { return m_state; }
  const std::vector<LogEntry>& Entries() const { return m_entries; }
  // Whether a kBase record for the snapshot was among the records.
  bool BaseIsRecorded() const {
    return m_base_index == m_snapshot.m_last_index;
  }

 private:
  StorageStatus ApplyEntry(const Record& record);
  void DropTo(std::uint64_t index, std::uint64_t term);

  SnapshotInfo m_snapshot;
  HardState m_state;
  std::uint64_t m_base_index = 0;  // of the last kBase record
  std::vector<LogEntry> m_entries;
};

}  // namespace jujube::storage
