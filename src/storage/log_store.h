// LogStore: stores the durable state of a replica in one data folder.
//
// Contents
//   1. Opening
//   2. Log and hard state
//   3. Snapshots
//   4. Start counts of peers
//   5. Errors
//   6. Files
//
// 1. Opening
//
//   JUJUBE_TRY(auto disk, storage::PosixDisk::Open(settings.m_data_folder));
//   JUJUBE_TRY(auto store, storage::LogStore<storage::PosixDisk>::Open(
//       std::move(disk), {}, random_identity));
//   const storage::RecoveredLog recovered = store.TakeRecoveredLog();
//
// Open verifies every record, increments the start count and recovers the state
// from which the replica resumes. Invalid bytes at the end of the last segment,
// with no valid record after them, are truncated. `random_identity` is used
// only if the folder is empty; it must come from the random source of the
// operating system and must not be 0. A folder with neither a snapshot nor
// entries has no membership:
//   - a founding voter calls WriteInitialMembership with the initial voters
//     (see consensus/founding.h for the conditions);
//   - a joining replica calls nothing and waits for a snapshot or entries from
//     the leader that added it as a learner.
//
// 2. Log and hard state
//
// consensus::Replica requests persistence with a Persist action:
//
//   store.Append(persist.m_state, persist.m_entries);  // written, not durable
//   store.Sync();                                      // durable
//   ... replica.Step(now, consensus::SyncDone{persist.m_number});
//
// Several Append calls may share one Sync; report the highest number in this
// case. An appended entry replaces all stored entries with the same or a higher
// index. Sync then deletes the segments and snapshots that the newest snapshot
// made obsolete.
//
// 3. Snapshots
//
// WriteSnapshot stores a snapshot of the state machine of this replica. A
// snapshot that is received in chunks is stored with WriteReceivedChunk and
// InstallReceivedSnapshot. Both replace the current snapshot atomically.
// Segments that a snapshot covers are deleted only after it is durable.
// ReadSnapshot reads from one of the two newest snapshots; the older one is
// retained so that a transfer in progress can finish.
//
// 4. Start counts of peers
//
// WritePeerStarts stores the values of consensus::StartRegistry. It must
// succeed before messages are exchanged with a peer that has a new start count.
//
// 5. Errors
//
// kSyncFailed   Log SyncFailed and end the process. Every later call that
//               writes fails with the same fault, because the contents of the
//               file are unknown.
// kFull         The log and the current snapshot are unchanged; the call may be
//               retried. Log DiskFull. Report it to the replica as described
//               in section 2 of consensus/replica.h.
// kCorrupt      If returned by Open: log LogCorrupt and refuse to start.
// kNotFound     From ReadSnapshot and SnapshotBytes: the snapshot was deleted;
//               report SnapshotReadDone with m_missing.
// other faults  Log StorageFailed and end the process.
//
// 6. Files
//
//   identity          folder identity and start count
//   lock              locked by PosixDisk while the folder is open
//   peers             start counts of peers
//   log-<16 hex>      log segments, numbered consecutively
//   snapshot-<16 hex> snapshots, named by the last log index that they cover
//   *.tmp             incomplete files, removed by Open
//
// Not thread-safe. Calls block until the disk operation is complete.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gen/consensus.h"
#include "storage/disk.h"
#include "storage/log_store_options.h"
#include "storage/recovered_log.h"
#include "storage/term_runs.h"

namespace jujube::storage {

class Replay;

template <Disk D>
class LogStore {
 public:
  static StorageResult<LogStore> Open(D disk,
                                      const LogStoreOptions& options,
                                      std::uint64_t random_identity);

  // Moves out the state recovered by Open; call it once.
  RecoveredLog TakeRecoveredLog() { return std::exchange(m_recovered, {}); }

  const FolderIdentity& Identity() const { return m_identity; }

  // Writes the initial membership as an empty snapshot at index 0.
  StorageStatus WriteInitialMembership(const Voters& voters);

  StorageStatus Append(const std::optional<HardState>& state,
                       std::span<const LogEntry> entries);
  // Makes all appended records durable, then deletes what the newest snapshot
  // made obsolete.
  StorageStatus Sync();

  // The index must be higher than that of the newest snapshot; otherwise fails
  // with kIo.
  StorageStatus WriteSnapshot(const SnapshotInfo& info, std::string_view data);

  // Writes a chunk of a received snapshot. First truncates the received data to
  // the offset, so a chunk can be resent; offset 0 restarts the transfer. Fails
  // with kIo if the offset is beyond the end of the received data.
  StorageStatus WriteReceivedChunk(std::uint64_t offset, std::string_view data);
  // Completes a received snapshot, which is durable when the call succeeds.
  // Required even if the log contains newer entries. The index must be higher
  // than that of the newest snapshot; otherwise fails with kIo.
  StorageStatus InstallReceivedSnapshot(const SnapshotInfo& info);

  // Returns fewer than `size` bytes at the end of the data. Fails with
  // kNotFound if the snapshot was deleted.
  StorageResult<std::string> ReadSnapshot(std::uint64_t last_index,
                                          std::uint64_t offset,
                                          std::uint64_t size);
  // Size of the data of a snapshot in bytes.
  StorageResult<std::uint64_t> SnapshotBytes(std::uint64_t last_index);

  StorageStatus WritePeerStarts(const PeerStarts& peers);

 private:
  struct Segment {
    std::uint64_t m_size_bytes = 0;
    std::uint64_t m_last_index = 0;  // highest index of its entries
  };

  LogStore(D disk, const LogStoreOptions& options)
      : m_disk(std::move(disk)), m_options(options) {}

  // Opening
  StorageStatus Recover(std::uint64_t random_identity);
  StorageStatus RemoveTemporaryFiles();
  StorageStatus IncrementStartCount(std::uint64_t random_identity);
  StorageStatus LoadSnapshot();
  StorageStatus LoadSegments();
  StorageStatus LoadSegment(std::uint64_t number, bool is_last, Replay* replay);
  StorageStatus ResumeLastSegment();

  // Log
  StorageStatus CheckUsable() const;
  StorageStatus CreateSegment(std::uint64_t number);
  std::string SegmentHeader(std::uint64_t number) const;
  std::string EncodeSnapshotMarker() const;
  StorageStatus RollSegmentIfFull();
  StorageStatus AppendOrRollBack(const std::string& bytes);
  StorageStatus SyncFile(const std::string& name);

  // Snapshots
  StorageStatus PublishAndCompact(const std::string& temporary,
                                  const SnapshotInfo& info);
  StorageStatus WriteSnapshotMarker();
  StorageStatus DeleteCoveredSegments();
  StorageStatus DeleteOldSnapshots();
  // Sets m_sync_failed if the status is kSyncFailed; returns the status.
  StorageStatus RecordSyncFailure(StorageStatus status);

  D m_disk;
  LogStoreOptions m_options;
  FolderIdentity m_identity;
  RecoveredLog m_recovered;
  HardState m_state;                       // last appended hard state
  std::optional<SnapshotInfo> m_snapshot;  // newest snapshot
  std::map<std::uint64_t, Segment> m_segments;
  TermRuns m_term_runs;  // terms of the entries in the log
  // The log has no kSnapshotMarker record for m_snapshot yet.
  bool m_marker_pending = false;
  // The pending marker must discard all entries written before it, because the
  // snapshot covers them or they diverge from it.
  bool m_marker_discards_entries = false;
  // Segments and snapshots made obsolete by m_snapshot may still exist.
  bool m_compaction_pending = false;
  bool m_sync_failed = false;
};

}  // namespace jujube::storage

#include "storage/log_store_impl.h"
