// LogStore: the durable state of a replica in one data folder.
//
// Contents
//   1. Opening
//   2. Log and hard state
//   3. Snapshots
//   4. Start counts of peers
//   5. Faults
//   6. Files
//
// 1. Opening
//
//   JUJUBE_TRY(auto disk, storage::PosixDisk::Open(settings.m_data_folder));
//   JUJUBE_TRY(auto store, storage::LogStore<storage::PosixDisk>::Open(
//       std::move(disk), {}, random_identity));
//   const storage::RecoveredLog recovered = store.TakeRecovered();
//
// Open verifies every record, counts the start and gives the state that the
// replica continues from. `random_identity` is used only if the folder is
// empty; it must come from the random source of the operating system and must
// not be 0. A folder without a snapshot has no membership yet:
//   - a founding voter calls Found with the initial voters (see
//     consensus/founding.h for when it may);
//   - a replica that joins calls nothing and waits for a snapshot or entries
//     from the leader that has added it as a learner.
//
// 2. Log and hard state
//
// consensus::Replica asks for persistence with a Persist action:
//
//   store.Append(persist.m_state, persist.m_entries);  // written, not durable
//   store.Sync();                                      // durable
//   ... replica.Step(now, consensus::SyncDone{persist.m_number});
//
// Several Append calls may share one Sync; report the highest number then. An
// entry replaces all entries from its index on.
//
// 3. Snapshots
//
// WriteSnapshot stores a snapshot of this replica's own state machine. A
// snapshot that arrives in parts is collected with BeginReceive,
// AppendReceived and FinishReceive. Both become visible at once or not at
// all. Segments that a snapshot covers are deleted only after it is durable.
// ReadSnapshot reads a part of one of the two newest snapshots; the older one
// is kept so that a transfer in progress can end.
//
// 4. Start counts of peers
//
// WritePeerStarts stores the values of consensus::StartRegistry. It has to
// succeed before a peer with a new start count is talked to.
//
// 5. Faults
//
// kSyncFailed   log SyncFailed and end the process. Every later call fails
//               with the same fault, since the file contents are unknown.
// kFull         the call changed nothing. Log DiskFull, tell the replica with
//               StorageFull, and repeat the same call later.
// kCorrupt      from Open: log LogCorrupt and refuse to start.
// other faults  log StorageFailed and end the process.
//
// 6. Files
//
//   identity          folder identity and start count
//   peers             start counts of peers
//   log-<16 hex>      segments, numbered
//   snapshot-<16 hex> snapshots, named by the last index that they cover
//   *.tmp             incomplete files, removed by Open
//
// A LogStore belongs to one thread. Its calls block on the disk.

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

  // The state found by Open; call once.
  RecoveredLog TakeRecovered() { return std::exchange(m_recovered, {}); }

  const FolderIdentity& Identity() const { return m_identity; }

  // Writes the initial membership as an empty snapshot at index 0.
  StorageStatus Found(const Voters& voters);

  StorageStatus Append(const std::optional<HardState>& state,
                       std::span<const LogEntry> entries);
  StorageStatus Sync();

  // The index must be above that of the newest snapshot.
  StorageStatus WriteSnapshot(const SnapshotInfo& info, std::string_view data);

  // Writes a part of a received snapshot. Drops what was written from the
  // offset on, so a part can be repeated; offset 0 starts over. An offset after
  // the end is refused.
  StorageStatus WriteReceived(std::uint64_t offset, std::string_view data);
  // Durable when it returns. Also call it if the log holds newer entries.
  StorageStatus FinishReceive(const SnapshotInfo& info);

  // Fewer bytes than asked for at the end; kNotFound if it was deleted.
  StorageResult<std::string> ReadSnapshot(std::uint64_t last_index,
                                          std::uint64_t offset,
                                          std::uint64_t size);
  // Size of the data of a snapshot.
  StorageResult<std::uint64_t> SnapshotBytes(std::uint64_t last_index);

  StorageStatus WritePeerStarts(const PeerStarts& peers);

 private:
  struct Segment {
    std::uint64_t m_bytes = 0;
    std::uint64_t m_last_index = 0;  // highest index of its entries
  };

  LogStore(D disk, const LogStoreOptions& options)
      : m_disk(std::move(disk)), m_options(options) {}

  // Opening
  StorageStatus Recover(std::uint64_t random_identity);
  StorageStatus RemoveTemporaryFiles();
  StorageStatus CountStart(std::uint64_t random_identity);
  StorageStatus LoadSnapshot();
  StorageStatus LoadSegments();
  StorageStatus LoadSegment(std::uint64_t number, bool last, Replay* replay);
  StorageStatus ResumeLastSegment();

  // Log
  StorageStatus Usable() const;
  StorageStatus StartSegment(std::uint64_t number);
  std::string SegmentHead(std::uint64_t number) const;
  std::string EncodeBase() const;
  StorageStatus RollIfFull();
  StorageStatus AppendOrUndo(const std::string& bytes);
  StorageStatus SyncFile(const std::string& name);

  // Snapshots
  StorageStatus PublishAndTrim(const std::string& temporary,
                               const SnapshotInfo& info);
  StorageStatus RecordBase();
  StorageStatus DeleteCoveredSegments();
  StorageStatus DeleteOldSnapshots();
  // Remembers a failed sync.
  StorageStatus Watch(StorageStatus status);

  D m_disk;
  LogStoreOptions m_options;
  FolderIdentity m_identity;
  RecoveredLog m_recovered;
  HardState m_state;                       // last one appended
  std::optional<SnapshotInfo> m_snapshot;  // newest
  std::map<std::uint64_t, Segment> m_segments;
  TermRuns m_terms;             // terms of the live log
  bool m_base_pending = false;  // the log lacks a kBase record for m_snapshot
  bool m_void_pending = false;  // that record makes earlier entries void
  bool m_trim_pending = false;  // segments may be covered by m_snapshot
  bool m_broken = false;        // a sync failed
};

}  // namespace jujube::storage

#include "storage/log_store_impl.h"
