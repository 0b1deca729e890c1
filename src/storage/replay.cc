#include "storage/replay.h"

#include <utility>

#include "gen/consensus_wire.h"

namespace jujube::storage {

namespace {

StorageError CorruptionError(const std::string& problem, std::uint64_t index) {
  return MakeStorageError(StorageFault::kCorrupt,
                          problem + " at index " + std::to_string(index));
}

}  // namespace

StorageStatus Replay::Apply(const Record& record) {
  switch (record.m_type) {
    case RecordType::kSegmentHeader:
      return StorageSuccess();
    case RecordType::kHardState: {
      auto state = DecodeHardState(record.m_payload);
      if (!state)
        return CorruptionError("hard state cannot be decoded", record.m_index);
      m_state = std::move(state).value();
      return StorageSuccess();
    }
    case RecordType::kSnapshotMarker:
      m_marker_index = record.m_index;
      if (!record.m_payload.empty())
        m_entries.clear();
      DropCoveredEntries(record.m_index, record.m_term);
      return StorageSuccess();
    case RecordType::kEntry:
      return ApplyEntry(record);
  }
  return CorruptionError("unknown record type", record.m_index);
}

StorageStatus Replay::ApplyEntry(const Record& record) {
  auto entry = ToLogEntry(record);
  if (!entry)
    return CorruptionError("unknown entry kind", record.m_index);
  const std::uint64_t index = entry->m_index;
  if (m_entries.empty()) {
    // Segments that the snapshot covers are deleted, so the first entry may
    // have any index up to the first one after the snapshot, for which
    // is_covered is also true.
    const bool is_covered = index <= m_snapshot.m_last_index + 1;
    if (index > m_marker_index + 1 && !is_covered)
      return CorruptionError("entries are missing", index);
    m_entries.push_back(std::move(*entry));
    return StorageSuccess();
  }
  const std::uint64_t first = m_entries.front().m_index;
  if (index > m_entries.back().m_index + 1)
    return CorruptionError("entries are missing", index);
  m_entries.resize(index > first ? index - first : 0);
  if (!m_entries.empty() && m_entries.back().m_term > entry->m_term)
    return CorruptionError("term decreases", index);
  m_entries.push_back(std::move(*entry));
  return StorageSuccess();
}

// Drops the entries up to `index`. The entries after it are kept only if the
// entry at `index` has this term, or if the log starts after `index`; otherwise
// they belong to a diverged log and are dropped as well.
void Replay::DropCoveredEntries(std::uint64_t index, std::uint64_t term) {
  if (m_entries.empty())
    return;
  const std::uint64_t first = m_entries.front().m_index;
  // The marker is repeated at the start of each segment, so it may refer to
  // entries in segments that were deleted.
  if (index < first)
    return;
  const std::uint64_t position = index - first;
  const bool has_covered_entry =
      position < m_entries.size() && m_entries[position].m_term == term;
  if (!has_covered_entry) {
    m_entries.clear();
    return;
  }
  m_entries.erase(
      m_entries.begin(),
      m_entries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
}

StorageStatus Replay::Finish() {
  if (!m_entries.empty() &&
      m_entries.front().m_index > m_snapshot.m_last_index + 1)
    return CorruptionError("entries are missing", m_entries.front().m_index);
  DropCoveredEntries(m_snapshot.m_last_index, m_snapshot.m_last_term);
  return StorageSuccess();
}

}  // namespace jujube::storage
