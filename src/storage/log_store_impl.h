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

inline constexpr const char* kIdentityName = "identity";
inline constexpr const char* kPeersName = "peers";
inline constexpr const char* kWriteName = "snapshot-write.tmp";
inline constexpr const char* kReceiveName = "snapshot-receive.tmp";
// The newest snapshot, and the one before it for transfers in progress.
inline constexpr std::size_t kSnapshotsKept = 2;

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
  JUJUBE_TRY(CountStart(random_identity));
  JUJUBE_TRY(LoadSnapshot());
  JUJUBE_TRY(LoadSegments());
  if (m_disk.Size(kPeersName)) {
    JUJUBE_TRY(const std::string bytes, ReadSmallFile(m_disk, kPeersName));
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
StorageStatus LogStore<D>::CountStart(std::uint64_t random_identity) {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  if (m_disk.Size(kIdentityName)) {
    JUJUBE_TRY(const std::string bytes, ReadSmallFile(m_disk, kIdentityName));
    auto identity = DecodeFolderIdentity(bytes);
    if (!identity)
      return MakeStorageError(StorageFault::kCorrupt,
                              identity.error().m_message);
    m_identity = std::move(identity).value();
  } else if (!names.empty()) {
    // A new identity would claim votes that another identity has given.
    return MakeStorageError(StorageFault::kCorrupt,
                            "identity is missing next to " + names.front());
  } else {
    m_identity.m_folder = random_identity;
  }
  ++m_identity.m_starts;
  return WriteSmallFile(m_disk, kIdentityName, Encode(m_identity));
}

template <Disk D>
StorageStatus LogStore<D>::LoadSnapshot() {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  std::optional<std::uint64_t> newest;
  for (const std::string& name : names)
    newest = std::max(newest, IndexOfSnapshot(name));
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
    if (const auto number = NumberOfSegment(name))
      m_segments[*number];
  }
  if (m_segments.empty())
    return StartSegment(1);
  Replay replay(m_snapshot.value_or(SnapshotInfo{}));
  std::uint64_t expected = m_segments.begin()->first;
  const std::uint64_t last = m_segments.rbegin()->first;
  for (const auto& [number, segment] : m_segments) {
    if (number != expected++)
      return MakeStorageError(StorageFault::kCorrupt,
                              SegmentName(expected - 1) + " is missing");
    JUJUBE_TRY(LoadSegment(number, number == last, &replay));
  }
  JUJUBE_TRY(replay.Finish());
  m_state = replay.State();
  m_base_pending = m_snapshot && !replay.BaseIsRecorded();
  m_recovered.m_entries = replay.Entries();
  m_void_pending = m_base_pending && replay.Entries().empty();
  m_trim_pending = m_snapshot.has_value();
  if (m_snapshot)
    m_terms.Reset(m_snapshot->m_last_index, m_snapshot->m_last_term);
  for (const LogEntry& entry : replay.Entries())
    m_terms.Append(entry.m_index, entry.m_term);
  return ResumeLastSegment();
}

template <Disk D>
StorageStatus LogStore<D>::LoadSegment(std::uint64_t number,
                                       bool last,
                                       Replay* replay) {
  const std::string name = SegmentName(number);
  JUJUBE_TRY(const std::uint64_t size, m_disk.Size(name));
  JUJUBE_TRY(const std::string bytes, m_disk.Read(name, 0, size));
  Segment& segment = m_segments[number];
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const auto parsed = ParseRecord(rest, m_identity.m_folder);
    if (!parsed) {
      const std::string at =
          name + " at byte " + std::to_string(segment.m_bytes);
      if (!last || ContainsRecord(rest, m_identity.m_folder))
        return MakeStorageError(StorageFault::kCorrupt,
                                at + ": invalid record");
      m_recovered.m_torn_bytes = rest.size();
      JUJUBE_TRY(m_disk.Truncate(name, segment.m_bytes));
      return SyncFile(name);
    }
    const Record& record = parsed->m_record;
    if (record.m_type == RecordType::kSegment && record.m_index != number)
      return MakeStorageError(StorageFault::kCorrupt, name + " was renamed");
    JUJUBE_TRY(replay->Apply(record));
    if (record.m_type == RecordType::kEntry)
      segment.m_last_index = std::max(segment.m_last_index, record.m_index);
    segment.m_bytes += parsed->m_bytes;
    rest.remove_prefix(parsed->m_bytes);
  }
  return StorageSuccess();
}

// A crash during the creation of the last segment leaves it without a head.
template <Disk D>
StorageStatus LogStore<D>::ResumeLastSegment() {
  const std::uint64_t number = m_segments.rbegin()->first;
  if (m_segments[number].m_bytes > 0)
    return StorageSuccess();
  JUJUBE_TRY(m_disk.Remove(SegmentName(number)));
  return StartSegment(number);
}

// ---- Log and hard state

template <Disk D>
StorageStatus LogStore<D>::Usable() const {
  if (m_broken)
    return MakeStorageError(StorageFault::kSyncFailed,
                            "a sync of this folder failed before");
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::Watch(StorageStatus status) {
  if (!status && status.error().m_fault == StorageFault::kSyncFailed)
    m_broken = true;
  return status;
}

template <Disk D>
StorageStatus LogStore<D>::SyncFile(const std::string& name) {
  return Watch(m_disk.Sync(name));
}

template <Disk D>
std::string LogStore<D>::EncodeBase() const {
  return EncodeRecord({.m_type = RecordType::kBase,
                       .m_index = m_snapshot->m_last_index,
                       .m_term = m_snapshot->m_last_term,
                       .m_payload = m_void_pending ? "void" : ""},
                      m_identity.m_folder);
}

// Each segment repeats the hard state and the base, so older segments can be
// deleted.
template <Disk D>
std::string LogStore<D>::SegmentHead(std::uint64_t number) const {
  std::string bytes = EncodeRecord(
      {.m_type = RecordType::kSegment, .m_index = number}, m_identity.m_folder);
  bytes += EncodeRecord(ToRecord(m_state), m_identity.m_folder);
  if (m_snapshot)
    bytes += EncodeBase();
  return bytes;
}

template <Disk D>
StorageStatus LogStore<D>::StartSegment(std::uint64_t number) {
  const std::string name = SegmentName(number);
  const std::string head = SegmentHead(number);
  StorageStatus appended = m_disk.Append(name, head);
  if (!appended) {
    if (m_disk.Size(name)) {
      JUJUBE_TRY(m_disk.Remove(name));
    }
    return appended;
  }
  JUJUBE_TRY(SyncFile(name));
  JUJUBE_TRY(Watch(m_disk.SyncFolder()));
  m_segments[number] = Segment{.m_bytes = head.size()};
  m_base_pending = false;
  m_void_pending = false;
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::RollIfFull() {
  const auto& [number, segment] = *m_segments.rbegin();
  if (segment.m_bytes < m_options.m_segment_bytes)
    return StorageSuccess();
  // Only the last segment may have a torn tail.
  JUJUBE_TRY(SyncFile(SegmentName(number)));
  return StartSegment(number + 1);
}

template <Disk D>
StorageStatus LogStore<D>::AppendOrUndo(const std::string& bytes) {
  auto& [number, segment] = *m_segments.rbegin();
  const std::string name = SegmentName(number);
  StorageStatus appended = m_disk.Append(name, bytes);
  if (!appended) {
    JUJUBE_TRY(m_disk.Truncate(name, segment.m_bytes));
    return appended;
  }
  segment.m_bytes += bytes.size();
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::Append(const std::optional<HardState>& state,
                                  std::span<const LogEntry> entries) {
  JUJUBE_TRY(Usable());
  JUJUBE_TRY(RollIfFull());
  std::string bytes;
  if (m_base_pending)
    bytes += EncodeBase();
  if (state)
    bytes += EncodeRecord(ToRecord(*state), m_identity.m_folder);
  for (const LogEntry& entry : entries)
    bytes += EncodeRecord(ToRecord(entry), m_identity.m_folder);
  JUJUBE_TRY(AppendOrUndo(bytes));
  m_base_pending = false;
  m_void_pending = false;
  if (state)
    m_state = *state;
  Segment& segment = m_segments.rbegin()->second;
  for (const LogEntry& entry : entries) {
    segment.m_last_index = std::max(segment.m_last_index, entry.m_index);
    m_terms.Append(entry.m_index, entry.m_term);
  }
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::Sync() {
  JUJUBE_TRY(Usable());
  JUJUBE_TRY(SyncFile(SegmentName(m_segments.rbegin()->first)));
  if (!m_trim_pending || m_base_pending)
    return StorageSuccess();
  m_trim_pending = false;
  JUJUBE_TRY(DeleteCoveredSegments());
  return DeleteOldSnapshots();
}

// ---- Snapshots

template <Disk D>
StorageStatus LogStore<D>::Found(const Voters& voters) {
  return WriteSnapshot(SnapshotInfo{.m_voters = voters}, {});
}

template <Disk D>
StorageStatus LogStore<D>::WriteSnapshot(const SnapshotInfo& info,
                                         std::string_view data) {
  JUJUBE_TRY(Usable());
  if (m_disk.Size(kWriteName)) {
    JUJUBE_TRY(m_disk.Remove(kWriteName));
  }
  StorageStatus appended = m_disk.Append(kWriteName, data);
  if (!appended) {
    JUJUBE_TRY(m_disk.Remove(kWriteName));
    return appended;
  }
  return PublishAndTrim(kWriteName, info);
}

template <Disk D>
StorageStatus LogStore<D>::WriteReceived(std::uint64_t offset,
                                         std::string_view data) {
  JUJUBE_TRY(Usable());
  JUJUBE_TRY(m_disk.Append(kReceiveName, {}));
  JUJUBE_TRY(const std::uint64_t size, m_disk.Size(kReceiveName));
  if (offset > size)
    return MakeStorageError(StorageFault::kIo,
                            "a part of the received snapshot is missing");
  if (offset < size) {
    JUJUBE_TRY(m_disk.Truncate(kReceiveName, offset));
  }
  StorageStatus appended = m_disk.Append(kReceiveName, data);
  if (!appended) {
    JUJUBE_TRY(m_disk.Truncate(kReceiveName, offset));
  }
  return appended;
}

template <Disk D>
StorageStatus LogStore<D>::FinishReceive(const SnapshotInfo& info) {
  JUJUBE_TRY(Usable());
  return PublishAndTrim(kReceiveName, info);
}

template <Disk D>
StorageStatus LogStore<D>::PublishAndTrim(const std::string& temporary,
                                          const SnapshotInfo& info) {
  if (m_snapshot && info.m_last_index <= m_snapshot->m_last_index)
    return MakeStorageError(StorageFault::kIo,
                            "a snapshot at index " +
                                std::to_string(info.m_last_index) +
                                " is older than the newest one");
  JUJUBE_TRY(const std::uint64_t size, m_disk.Size(temporary));
  StorageStatus published = Watch(PublishSnapshot(m_disk, temporary, info));
  if (!published) {
    // Leaves the received data as it was, so the call can be repeated.
    if (published.error().m_fault == StorageFault::kFull) {
      JUJUBE_TRY(m_disk.Truncate(temporary, size));
    }
    return published;
  }
  m_snapshot = info;
  m_base_pending = true;
  m_trim_pending = true;
  if (m_terms.TermAt(info.m_last_index) != info.m_last_term) {
    m_void_pending = true;
    m_terms.Reset(info.m_last_index, info.m_last_term);
  }
  return RecordBase();
}

// Segments are deleted only after the record is durable: without it, a replay
// could not tell whether entries after the snapshot belong to its history once
// the entry at its index is gone.
template <Disk D>
StorageStatus LogStore<D>::RecordBase() {
  StorageStatus appended = Append(std::nullopt, {});
  if (appended)
    return Sync();
  // The next Append that succeeds writes the record.
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
    // One at a time, so that a crash cannot leave a gap between segments.
    JUJUBE_TRY(Watch(m_disk.SyncFolder()));
  }
  return StorageSuccess();
}

template <Disk D>
StorageStatus LogStore<D>::DeleteOldSnapshots() {
  JUJUBE_TRY(const std::vector<std::string> names, m_disk.List());
  std::vector<std::uint64_t> indexes;
  for (const std::string& name : names) {
    if (const auto index = IndexOfSnapshot(name))
      indexes.push_back(*index);
  }
  std::sort(indexes.rbegin(), indexes.rend());
  for (std::size_t i = kSnapshotsKept; i < indexes.size(); ++i) {
    JUJUBE_TRY(m_disk.Remove(SnapshotName(indexes[i])));
  }
  return StorageSuccess();
}

template <Disk D>
StorageResult<std::string> LogStore<D>::ReadSnapshot(std::uint64_t last_index,
                                                     std::uint64_t offset,
                                                     std::uint64_t size) {
  JUJUBE_TRY(const std::uint64_t total, SnapshotBytes(last_index));
  const std::uint64_t rest = offset < total ? total - offset : 0;
  return m_disk.Read(SnapshotName(last_index), offset, std::min(size, rest));
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
  JUJUBE_TRY(Usable());
  return Watch(WriteSmallFile(m_disk, kPeersName, Encode(peers)));
}

}  // namespace jujube::storage
