// Definitions of LogStore; included by storage/log_store.h.
//
// Contents: opening, log and hard state, snapshots.

#pragma once

#include <algorithm>

#include "gen/consensus_wire.h"
#include "storage/log_store.h"
#include "storage/record.h"
#include "storage/replay.h"
#include "storage/segment_name.h"
#include "storage/small_file.h"
#include "storage/snapshot_file.h"

namespace jujube::storage {

inline constexpr const char* kIdentityFile = "identity";
inline constexpr const char* kPeersFile = "peers";
inline constexpr const char* kSnapshotWriteFile = "snapshot-write.tmp";
inline constexpr const char* kSnapshotReceiveFile = "snapshot-receive.tmp";
// The newest snapshot, and the previous one for transfers in progress.
inline constexpr std::size_t kRetainedSnapshots = 2;

// ---- Opening

template <Disk D>
StorageResult<LogStore<D>> LogStore<D>::Open(D disk,
                                             const LogStoreOptions& options,
                                             std::uint64_t random_identity) {
  LogStore store(std::move(disk), options);
  JUJUBE_TRY(store.Recover(random_identity));
  return store;
}

template <Disk D>
StorageStatus LogStore<D>::Recover(std::uint64_t random_identity) {
  JUJUBE_TRY(RemoveTemporaryFiles());
  JUJUBE_TRY(IncrementStartCount(random_identity));
  JUJUBE_TRY(LoadSnapshot());
  JUJUBE_TRY(LoadSegments());
  if (m_disk.Size(kPeersFile)) {
    JUJUBE_TRY(const std::string bytes, ReadSmallFile(m_disk, kPeersFile));
    auto peers = DecodePeerStarts(bytes);
    if (!peers)
      return MakeStorageError(StorageFault::kCorrupt, peers.error().m_message);
    m_recovered.m_peers = std::move(peers).value();
  }
  m_recovered.m_identity = m_identity;
  m_recovered.m_state = m_state;
  m_recovered.m_snapshot = m_snapshot;
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::RemoveTemporaryFiles() {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) {
      JUJUBE_TRY(m_disk.Remove(name));
    }
  }
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::IncrementStartCount(std::uint64_t random_identity) {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  if (m_disk.Size(kIdentityFile)) {
    JUJUBE_TRY(const std::string bytes, ReadSmallFile(m_disk, kIdentityFile));
    auto identity = DecodeFolderIdentity(bytes);
    if (!identity)
      return MakeStorageError(StorageFault::kCorrupt,
                              identity.error().m_message);
    m_identity = std::move(identity).value();
  } else if (!names.empty()) {
    // With a new identity, the replica could vote a second time in a term in
    // which it has already voted under the lost identity.
    return MakeStorageError(
        StorageFault::kCorrupt,
        "the identity file is missing, but the folder contains " +
            names.front());
  } else {
    m_identity.m_folder = random_identity;
  }
  ++m_identity.m_starts;
  return WriteSmallFile(m_disk, kIdentityFile, Encode(m_identity));
}

template <Disk D>
StorageStatus LogStore<D>::LoadSnapshot() {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  std::optional<std::uint64_t> newest;
  for (const std::string& name : names)
    newest = std::max(newest, ParseSnapshotName(name));
  if (!newest)
    return StorageSuccess();
  JUJUBE_TRY(const SnapshotFooter footer,
             VerifySnapshot(m_disk, SnapshotName(*newest)));
  m_snapshot = footer.m_info;
  m_recovered.m_snapshot_bytes = footer.m_data_bytes;
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::LoadSegments() {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  for (const std::string& name : names) {
    if (const auto number = ParseSegmentName(name))
      m_segments[*number];
  }
  if (m_segments.empty())
    return CreateSegment(1);
  Replay replay(m_snapshot.value_or(SnapshotInfo{}));
  std::uint64_t expected_number = m_segments.begin()->first;
  const std::uint64_t last_number = m_segments.rbegin()->first;
  for (const auto& [number, segment] : m_segments) {
    if (number != expected_number++)
      return MakeStorageError(StorageFault::kCorrupt,
                              SegmentName(expected_number - 1) + " is missing");
    JUJUBE_TRY(LoadSegment(number, number == last_number, &replay));
  }
  JUJUBE_TRY(replay.Finish());
  m_state = replay.State();
  m_marker_pending = m_snapshot && !replay.HasSnapshotMarker();
  m_recovered.m_entries = replay.Entries();
  m_marker_discards_entries = m_marker_pending && replay.Entries().empty();
  m_compaction_pending = m_snapshot.has_value();
  if (m_snapshot)
    m_term_runs.Reset(m_snapshot->m_last_index, m_snapshot->m_last_term);
  for (const LogEntry& entry : replay.Entries())
    m_term_runs.Append(entry.m_index, entry.m_term);
  return ResumeLastSegment();
}

template <Disk D>
StorageStatus LogStore<D>::LoadSegment(std::uint64_t number,
                                       bool is_last,
                                       Replay* replay) {
  const std::string name = SegmentName(number);
  JUJUBE_TRY(const std::uint64_t size, m_disk.Size(name));
  JUJUBE_TRY(const std::string bytes, m_disk.Read(name, 0, size));
  Segment& segment = m_segments[number];
  std::string_view remaining = bytes;
  while (!remaining.empty()) {
    const auto parsed = ParseRecord(remaining, m_identity.m_folder);
    if (!parsed) {
      const std::string position =
          name + " at byte " + std::to_string(segment.m_size_bytes);
      if (!is_last || ContainsValidRecord(remaining, m_identity.m_folder))
        return MakeStorageError(StorageFault::kCorrupt,
                                position + ": invalid record");
      m_recovered.m_torn_bytes = remaining.size();
      JUJUBE_TRY(m_disk.Truncate(name, segment.m_size_bytes));
      return SyncFile(name);
    }
    const Record& record = parsed->m_record;
    if (record.m_type == RecordType::kSegmentHeader && record.m_index != number)
      return MakeStorageError(StorageFault::kCorrupt,
                              name + " contains the header of another segment");
    JUJUBE_TRY(replay->Apply(record));
    if (record.m_type == RecordType::kEntry)
      segment.m_last_index = std::max(segment.m_last_index, record.m_index);
    segment.m_size_bytes += parsed->m_size_bytes;
    remaining.remove_prefix(parsed->m_size_bytes);
  }
  return StorageSuccess();
}

// A crash during the creation of the last segment can leave it without a
// header; recreates it in this case.
template <Disk D>
StorageStatus LogStore<D>::ResumeLastSegment() {
  const std::uint64_t number = m_segments.rbegin()->first;
  if (m_segments[number].m_size_bytes > 0)
    return StorageSuccess();
  JUJUBE_TRY(m_disk.Remove(SegmentName(number)));
  return CreateSegment(number);
}

// ---- Log and hard state

template <Disk D>
StorageStatus LogStore<D>::CheckUsable() const {
  if (m_sync_failed)
    return MakeStorageError(StorageFault::kSyncFailed,
                            "an earlier sync of the data folder failed");
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::RecordSyncFailure(StorageStatus status) {
  if (!status && status.error().m_fault == StorageFault::kSyncFailed)
    m_sync_failed = true;
  return status;
}

template <Disk D>
StorageStatus LogStore<D>::SyncFile(const std::string& name) {
  return RecordSyncFailure(m_disk.Sync(name));
}

// The payload "void" tells a replay to discard all entries before the marker;
// any other payload that is not empty would have the same effect.
template <Disk D>
std::string LogStore<D>::EncodeSnapshotMarker() const {
  return EncodeRecord({.m_type = RecordType::kSnapshotMarker,
                       .m_index = m_snapshot->m_last_index,
                       .m_term = m_snapshot->m_last_term,
                       .m_payload = m_marker_discards_entries ? "void" : ""},
                      m_identity.m_folder);
}

// Returns the first records of a segment: its header, the hard state and, if
// there is a snapshot, the snapshot marker. Older segments can thus be deleted.
template <Disk D>
std::string LogStore<D>::SegmentHeader(std::uint64_t number) const {
  std::string bytes =
      EncodeRecord({.m_type = RecordType::kSegmentHeader, .m_index = number},
                   m_identity.m_folder);
  bytes += EncodeRecord(ToRecord(m_state), m_identity.m_folder);
  if (m_snapshot)
    bytes += EncodeSnapshotMarker();
  return bytes;
}

template <Disk D>
StorageStatus LogStore<D>::CreateSegment(std::uint64_t number) {
  const std::string name = SegmentName(number);
  const std::string header = SegmentHeader(number);
  StorageStatus appended = m_disk.Append(name, header);
  if (!appended) {
    if (m_disk.Size(name)) {
      JUJUBE_TRY(m_disk.Remove(name));
    }
    return appended;
  }
  JUJUBE_TRY(SyncFile(name));
  JUJUBE_TRY(RecordSyncFailure(m_disk.SyncFolder()));
  m_segments[number] = Segment{.m_size_bytes = header.size()};
  m_marker_pending = false;
  m_marker_discards_entries = false;
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::RollSegmentIfFull() {
  const auto& [number, segment] = *m_segments.rbegin();
  if (segment.m_size_bytes < m_options.m_segment_bytes)
    return StorageSuccess();
  // Recovery accepts an incomplete last record only in the last segment.
  JUJUBE_TRY(SyncFile(SegmentName(number)));
  return CreateSegment(number + 1);
}

template <Disk D>
StorageStatus LogStore<D>::AppendOrRollBack(const std::string& bytes) {
  auto& [number, segment] = *m_segments.rbegin();
  const std::string name = SegmentName(number);
  StorageStatus appended = m_disk.Append(name, bytes);
  if (!appended) {
    JUJUBE_TRY(m_disk.Truncate(name, segment.m_size_bytes));
    return appended;
  }
  segment.m_size_bytes += bytes.size();
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::Append(const std::optional<HardState>& state,
                                  std::span<const LogEntry> entries) {
  JUJUBE_TRY(CheckUsable());
  JUJUBE_TRY(RollSegmentIfFull());
  std::string bytes;
  if (m_marker_pending)
    bytes += EncodeSnapshotMarker();
  if (state)
    bytes += EncodeRecord(ToRecord(*state), m_identity.m_folder);
  for (const LogEntry& entry : entries)
    bytes += EncodeRecord(ToRecord(entry), m_identity.m_folder);
  JUJUBE_TRY(AppendOrRollBack(bytes));
  m_marker_pending = false;
  m_marker_discards_entries = false;
  if (state)
    m_state = *state;
  Segment& segment = m_segments.rbegin()->second;
  for (const LogEntry& entry : entries) {
    segment.m_last_index = std::max(segment.m_last_index, entry.m_index);
    m_term_runs.Append(entry.m_index, entry.m_term);
  }
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::Sync() {
  JUJUBE_TRY(CheckUsable());
  JUJUBE_TRY(SyncFile(SegmentName(m_segments.rbegin()->first)));
  if (!m_compaction_pending || m_marker_pending)
    return StorageSuccess();
  m_compaction_pending = false;
  JUJUBE_TRY(DeleteCoveredSegments());
  return DeleteOldSnapshots();
}

// ---- Snapshots

template <Disk D>
StorageStatus LogStore<D>::WriteInitialMembership(const Voters& voters) {
  return WriteSnapshot(SnapshotInfo{.m_voters = voters}, {});
}

template <Disk D>
StorageStatus LogStore<D>::WriteSnapshot(const SnapshotInfo& info,
                                         std::string_view data) {
  JUJUBE_TRY(CheckUsable());
  if (m_disk.Size(kSnapshotWriteFile)) {
    JUJUBE_TRY(m_disk.Remove(kSnapshotWriteFile));
  }
  StorageStatus appended = m_disk.Append(kSnapshotWriteFile, data);
  if (!appended) {
    JUJUBE_TRY(m_disk.Remove(kSnapshotWriteFile));
    return appended;
  }
  return PublishAndCompact(kSnapshotWriteFile, info);
}

template <Disk D>
StorageStatus LogStore<D>::WriteReceivedChunk(std::uint64_t offset,
                                              std::string_view data) {
  JUJUBE_TRY(CheckUsable());
  JUJUBE_TRY(m_disk.Append(kSnapshotReceiveFile, {}));
  JUJUBE_TRY(const std::uint64_t size, m_disk.Size(kSnapshotReceiveFile));
  if (offset > size)
    return MakeStorageError(
        StorageFault::kIo,
        "the offset is beyond the end of the received snapshot data");
  if (offset < size) {
    JUJUBE_TRY(m_disk.Truncate(kSnapshotReceiveFile, offset));
  }
  StorageStatus appended = m_disk.Append(kSnapshotReceiveFile, data);
  if (!appended) {
    JUJUBE_TRY(m_disk.Truncate(kSnapshotReceiveFile, offset));
  }
  return appended;
}

template <Disk D>
StorageStatus LogStore<D>::InstallReceivedSnapshot(const SnapshotInfo& info) {
  JUJUBE_TRY(CheckUsable());
  return PublishAndCompact(kSnapshotReceiveFile, info);
}

template <Disk D>
StorageStatus LogStore<D>::PublishAndCompact(const std::string& temporary,
                                             const SnapshotInfo& info) {
  if (m_snapshot && info.m_last_index <= m_snapshot->m_last_index)
    return MakeStorageError(StorageFault::kIo,
                            "a snapshot at index " +
                                std::to_string(info.m_last_index) +
                                " is not newer than the current snapshot");
  JUJUBE_TRY(const std::uint64_t size, m_disk.Size(temporary));
  StorageStatus published =
      RecordSyncFailure(PublishSnapshot(m_disk, temporary, info));
  if (!published) {
    // Removes a partial footer, so that the call can be retried.
    if (published.error().m_fault == StorageFault::kFull) {
      JUJUBE_TRY(m_disk.Truncate(temporary, size));
    }
    return published;
  }
  m_snapshot = info;
  m_marker_pending = true;
  m_compaction_pending = true;
  if (m_term_runs.TermAt(info.m_last_index) != info.m_last_term) {
    m_marker_discards_entries = true;
    m_term_runs.Reset(info.m_last_index, info.m_last_term);
  }
  return WriteSnapshotMarker();
}

// Segments are deleted only after the marker is durable. Without it, once the
// entry at the index of the snapshot is deleted, a replay cannot determine
// whether the entries after the snapshot continue it or belong to a diverged
// log.
template <Disk D>
StorageStatus LogStore<D>::WriteSnapshotMarker() {
  // An Append without contents writes the pending marker.
  StorageStatus appended = Append(std::nullopt, {});
  if (appended)
    return Sync();
  // The next successful Append writes the marker.
  if (appended.error().m_fault == StorageFault::kFull)
    return StorageSuccess();
  return appended;
}

template <Disk D>
StorageStatus LogStore<D>::DeleteCoveredSegments() {
  while (m_segments.size() > 1 &&
         m_segments.begin()->second.m_last_index <= m_snapshot->m_last_index) {
    JUJUBE_TRY(m_disk.Remove(SegmentName(m_segments.begin()->first)));
    m_segments.erase(m_segments.begin());
    // Each removal is synced before the next one, so that a crash cannot leave
    // a gap between segments.
    JUJUBE_TRY(RecordSyncFailure(m_disk.SyncFolder()));
  }
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::DeleteOldSnapshots() {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  std::vector<std::uint64_t> indexes;
  for (const std::string& name : names) {
    if (const auto index = ParseSnapshotName(name))
      indexes.push_back(*index);
  }
  std::sort(indexes.rbegin(), indexes.rend());
  for (std::size_t i = kRetainedSnapshots; i < indexes.size(); ++i) {
    JUJUBE_TRY(m_disk.Remove(SnapshotName(indexes[i])));
  }
  return StorageSuccess();
}

template <Disk D>
StorageResult<std::string> LogStore<D>::ReadSnapshot(std::uint64_t last_index,
                                                     std::uint64_t offset,
                                                     std::uint64_t size) {
  JUJUBE_TRY(const std::uint64_t snapshot_size, SnapshotBytes(last_index));
  const std::uint64_t remaining =
      offset < snapshot_size ? snapshot_size - offset : 0;
  return m_disk.Read(SnapshotName(last_index), offset,
                     std::min(size, remaining));
}

template <Disk D>
StorageResult<std::uint64_t> LogStore<D>::SnapshotBytes(
    std::uint64_t last_index) {
  JUJUBE_TRY(const SnapshotFooter footer,
             ReadFooter(m_disk, SnapshotName(last_index)));
  return footer.m_data_bytes;
}

template <Disk D>
StorageStatus LogStore<D>::WritePeerStarts(const PeerStarts& peers) {
  JUJUBE_TRY(CheckUsable());
  return RecordSyncFailure(WriteSmallFile(m_disk, kPeersFile, Encode(peers)));
}

}  // namespace jujube::storage
