#include "storage/replay.h"

#include <utility>

#include "gen/consensus_wire.h"

namespace jujube::storage {

namespace {

StorageError Corrupt(const std::string& what, std::uint64_t index) {
  return MakeStorageError(StorageFault::kCorrupt,
                          what + " at index " + std::to_string(index));
}

}  // namespace

StorageStatus Replay::Apply(const Record& record) {
  switch (record.m_type) {
    case RecordType::kSegment:
      return StorageSuccess();
    case RecordType::kHardState: {
      auto state = DecodeHardState(record.m_payload);
      if (!state)
        return Corrupt("hard state does not decode", record.m_index);
      m_state = std::move(state).value();
      return StorageSuccess();
    }
    case RecordType::kBase:
      m_base_index = record.m_index;
      if (!record.m_payload.empty())
        m_entries.clear();
      DropTo(record.m_index, record.m_term);
      return StorageSuccess();
    case RecordType::kEntry:
      return ApplyEntry(record);
  }
  return Corrupt("unknown record type", record.m_index);
}

StorageStatus Replay::ApplyEntry(const Record& record) {
  auto entry = ToEntry(record);
  if (!entry)
    return Corrupt("unknown entry kind", record.m_index);
  const std::uint64_t index = entry->m_index;
  if (m_entries.empty()) {
    // Segments that the snapshot covers are deleted, so entries up to its
    // index may be missing in front of the first one.
    const bool covered = index <= m_snapshot.m_last_index + 1;
    if (index > m_base_index + 1 && !covered)
      return Corrupt("entries are missing", index);
    m_entries.push_back(std::move(*entry));
    return StorageSuccess();
  }
  const std::uint64_t first = m_entries.front().m_index;
  if (index > m_entries.back().m_index + 1)
    return Corrupt("entries are missing", index);
  m_entries.resize(index > first ? index - first : 0);
  if (!m_entries.empty() && m_entries.back().m_term > entry->m_term)
    return Corrupt("term decreases", index);
  m_entries.push_back(std::move(*entry));
  return StorageSuccess();
}

// Entries after the index are kept only if the log holds the entry of that
// term at the index; otherwise they belong to another history.
void Replay::DropTo(std::uint64_t index, std::uint64_t term) {
  if (m_entries.empty())
    return;
  const std::uint64_t first = m_entries.front().m_index;
  // Repeated at the head of a segment after earlier segments were deleted.
  if (index < first)
    return;
  const std::uint64_t position = index - first;
  const bool matches =
      position < m_entries.size() && m_entries[position].m_term == term;
  if (!matches) {
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
    return Corrupt("entries are missing", m_entries.front().m_index);
  DropTo(m_snapshot.m_last_index, m_snapshot.m_last_term);
  return StorageSuccess();
}

}  // namespace jujube::storage
