#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "storage/fake_disk.h"
#include "storage/log_store.h"

namespace jujube::storage {
namespace {

using Store = LogStore<FakeDiskRef>;

constexpr std::uint64_t kIdentity = 77;
const std::string first_segment_name = "log-0000000000000001";

StorageResult<Store> TryOpen(FakeDisk* disk,
                             std::uint64_t segment_bytes = 400) {
  return Store::Open(FakeDiskRef{disk}, {.m_segment_bytes = segment_bytes},
                     kIdentity);
}

Store MustOpen(FakeDisk* disk, std::uint64_t segment_bytes = 400) {
  auto store = TryOpen(disk, segment_bytes);
  EXPECT_TRUE(store) << store.error().m_message;
  return std::move(store).value();
}

std::vector<LogEntry> MakeEntries(std::uint64_t first,
                                  std::uint64_t last,
                                  std::uint64_t term) {
  std::vector<LogEntry> entries;
  for (std::uint64_t index = first; index <= last; ++index) {
    entries.push_back({.m_index = index,
                       .m_term = term,
                       .m_kind = EntryKind::kCommand,
                       .m_data = "entry " + std::to_string(index)});
  }
  return entries;
}

void AppendAndSync(Store* store, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries)
    ASSERT_TRUE(store->Append(std::nullopt, {&entry, 1}));
  ASSERT_TRUE(store->Sync());
}

// Guards against the loss of the term, the vote or an acknowledged entry in a
// crash, also when the log spans several segments.
TEST(LogStore, SyncedStateSurvivesACrash) {
  FakeDisk disk;
  const HardState state{.m_term = 4, .m_vote = VoterId{{"c1"}, 9}};
  {
    Store store = MustOpen(&disk);
    ASSERT_TRUE(store.Append(state, {}));
    AppendAndSync(&store, MakeEntries(1, 30, 4));
    const auto unsynced = MakeEntries(31, 31, 4);
    ASSERT_TRUE(store.Append(std::nullopt, unsynced));
  }
  disk.Crash();
  const RecoveredLog recovered = MustOpen(&disk).TakeRecoveredLog();
  EXPECT_EQ(recovered.m_state, state);
  EXPECT_EQ(recovered.m_entries, MakeEntries(1, 30, 4));
  EXPECT_EQ(recovered.m_identity.m_folder, kIdentity);
  EXPECT_EQ(recovered.m_identity.m_starts, 2U);
}

// Guards against replaced entries, and entries after them, being recovered.
TEST(LogStore, AppendReplacesEntriesFromItsIndex) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk);
    AppendAndSync(&store, MakeEntries(1, 9, 1));
    AppendAndSync(&store, MakeEntries(5, 6, 2));
  }
  const auto entries = MustOpen(&disk).TakeRecoveredLog().m_entries;
  ASSERT_EQ(entries.size(), 6U);
  EXPECT_EQ(entries[3].m_term, 1U);
  EXPECT_EQ(entries[5].m_term, 2U);
}

// Guards against a store that cannot be opened after a crash during an append.
// The torn record is truncated, whatever its length.
TEST(LogStore, TornTailIsTruncated) {
  for (std::uint64_t torn_bytes = 1; torn_bytes < 40; ++torn_bytes) {
    FakeDisk disk;
    {
      Store store = MustOpen(&disk, 4000);
      AppendAndSync(&store, MakeEntries(1, 5, 1));
      const auto unsynced = MakeEntries(6, 6, 1);
      ASSERT_TRUE(store.Append(std::nullopt, unsynced));
    }
    disk.Crash(torn_bytes);
    Store store = MustOpen(&disk, 4000);
    const RecoveredLog recovered = store.TakeRecoveredLog();
    EXPECT_EQ(recovered.m_entries, MakeEntries(1, 5, 1));
    EXPECT_EQ(recovered.m_torn_bytes, torn_bytes);
    AppendAndSync(&store, MakeEntries(6, 7, 2));
    EXPECT_EQ(MustOpen(&disk, 4000).TakeRecoveredLog().m_entries.size(), 7U);
  }
}

// Guards against acknowledged entries being dropped as a torn tail. A damaged
// byte before the last record, also in a length field, is an error. Only a
// damaged last record counts as a torn tail.
TEST(LogStore, CorruptionBeforeTheLastRecordIsAnError) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk, 4000);
    AppendAndSync(&store, MakeEntries(1, 4, 1));
  }
  const std::uint64_t size = disk.Size(first_segment_name).value();
  const std::uint64_t last_record_bytes =
      EncodeRecord(ToRecord(MakeEntries(4, 4, 1)[0]), kIdentity).size();
  for (std::uint64_t offset = 0; offset < size - last_record_bytes; ++offset) {
    FakeDisk damaged;
    const std::vector<std::string> names = disk.List().value();
    for (const std::string& name : names) {
      const auto bytes = disk.Read(name, 0, UINT64_MAX).value();
      ASSERT_TRUE(damaged.Append(name, bytes));
    }
    damaged.FlipByte(first_segment_name, offset);
    const auto store = TryOpen(&damaged);
    ASSERT_FALSE(store) << offset;
    EXPECT_EQ(store.error().m_fault, StorageFault::kCorrupt);
  }
  disk.FlipByte(first_segment_name, size - 1);
  EXPECT_EQ(MustOpen(&disk).TakeRecoveredLog().m_entries, MakeEntries(1, 3, 1));
}

TEST(LogStore, DamagedEndOfAnEarlierSegmentIsAnError) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk);
    AppendAndSync(&store, MakeEntries(1, 30, 1));
  }
  disk.FlipByte(first_segment_name, disk.Size(first_segment_name).value() - 1);
  EXPECT_EQ(TryOpen(&disk).error().m_fault, StorageFault::kCorrupt);
}

// Guards against a recovered log with a gap.
TEST(LogStore, AMissingSegmentIsAnError) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk);
    AppendAndSync(&store, MakeEntries(1, 40, 1));
  }
  ASSERT_TRUE(disk.Remove("log-0000000000000002"));
  EXPECT_EQ(TryOpen(&disk).error().m_fault, StorageFault::kCorrupt);
}

// Guards against lost writes: after a failed sync, the kernel may discard the
// written pages and report success for the next sync.
TEST(LogStore, CallsFailAfterAFailedSync) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  const auto entries = MakeEntries(1, 1, 1);
  ASSERT_TRUE(store.Append(std::nullopt, entries));
  disk.m_fail_sync = true;
  EXPECT_EQ(store.Sync().error().m_fault, StorageFault::kSyncFailed);
  disk.m_fail_sync = false;
  EXPECT_EQ(store.Sync().error().m_fault, StorageFault::kSyncFailed);
  EXPECT_EQ(store.Append(std::nullopt, entries).error().m_fault,
            StorageFault::kSyncFailed);
}

// Guards against a partially written record before later ones.
TEST(LogStore, FullDiskLeavesTheLogUnchanged) {
  for (std::uint64_t free_bytes = 0; free_bytes < 120; ++free_bytes) {
    FakeDisk disk;
    Store store = MustOpen(&disk);
    AppendAndSync(&store, MakeEntries(1, 8, 1));
    const auto more = MakeEntries(9, 12, 1);
    disk.m_free_bytes = free_bytes;
    ASSERT_EQ(store.Append(std::nullopt, more).error().m_fault,
              StorageFault::kFull);
    disk.m_free_bytes = UINT64_MAX;
    AppendAndSync(&store, more);
    EXPECT_EQ(MustOpen(&disk).TakeRecoveredLog().m_entries,
              MakeEntries(1, 12, 1));
  }
}

// Guards against the loss of both the entries and the snapshot. Whenever a
// crash occurs, the folder contains at least one of them.
TEST(LogStore, SegmentsAreDeletedOnlyAfterTheSnapshotIsDurable) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  AppendAndSync(&store, MakeEntries(1, 38, 1));
  disk.m_operations.clear();
  const SnapshotInfo info{.m_last_index = 35, .m_last_term = 1};
  ASSERT_TRUE(store.WriteSnapshot(info, "state"));
  const std::vector<std::string> first_operations(
      disk.m_operations.begin(), disk.m_operations.begin() + 8);
  const std::string last_segment_name =
      first_operations[5].substr(first_operations[5].find("log-"));
  EXPECT_EQ(first_operations,
            (std::vector<std::string>{
                "append snapshot-write.tmp", "append snapshot-write.tmp",
                "sync snapshot-write.tmp", "rename snapshot-0000000000000023",
                "sync folder", "append " + last_segment_name,
                "sync " + last_segment_name, "remove " + first_segment_name}));
  disk.Crash();
  Store reopened = MustOpen(&disk);
  const RecoveredLog recovered = reopened.TakeRecoveredLog();
  EXPECT_EQ(recovered.m_snapshot, info);
  EXPECT_EQ(recovered.m_entries, MakeEntries(36, 38, 1));
  EXPECT_EQ(reopened.ReadSnapshot(35, 1, 99).value(), "tate");
}

// Guards against entries of a diverged log being kept after a snapshot that was
// received from the leader.
TEST(LogStore, ReceivedSnapshotReplacesADivergedLog) {
  for (const bool crash_before_append : {false, true}) {
    FakeDisk disk;
    Store store = MustOpen(&disk);
    AppendAndSync(&store, MakeEntries(1, 12, 1));
    ASSERT_TRUE(store.WriteReceivedChunk(0, "part one, "));
    // The leader resends a chunk that failed because the disk was full.
    ASSERT_TRUE(store.WriteReceivedChunk(10, "part"));
    ASSERT_TRUE(store.WriteReceivedChunk(10, "part two"));
    const SnapshotInfo info{.m_last_index = 10, .m_last_term = 3};
    ASSERT_TRUE(store.InstallReceivedSnapshot(info));
    if (crash_before_append) {
      disk.Crash();
      store = MustOpen(&disk);
      EXPECT_TRUE(store.TakeRecoveredLog().m_entries.empty());
    }
    AppendAndSync(&store, MakeEntries(11, 11, 3));
    Store reopened = MustOpen(&disk);
    EXPECT_EQ(reopened.TakeRecoveredLog().m_entries, MakeEntries(11, 11, 3));
    EXPECT_EQ(reopened.ReadSnapshot(10, 0, 99).value(), "part one, part two");
  }
}

// Guards against entries of a diverged log being recovered when the segment
// with the entry at the snapshot's index was deleted, because the term of this
// entry can no longer be compared with that of the snapshot.
TEST(LogStore, DivergedEntriesStayDiscardedAfterSegmentsAreDeleted) {
  for (std::uint64_t index = 1; index <= 30; ++index) {
    FakeDisk disk;
    Store store = MustOpen(&disk, 200);
    AppendAndSync(&store, MakeEntries(1, 30, 2));
    ASSERT_TRUE(store.WriteReceivedChunk(0, "state"));
    ASSERT_TRUE(store.InstallReceivedSnapshot(
        {.m_last_index = index, .m_last_term = 1}));
    disk.Crash();
    EXPECT_TRUE(MustOpen(&disk, 200).TakeRecoveredLog().m_entries.empty());
  }
}

// Guards against the loss of entries through the snapshot marker that is
// repeated at the start of each segment, once earlier segments are deleted.
TEST(LogStore, EntriesAfterASnapshotSurviveRepeatedRestarts) {
  FakeDisk disk;
  Store store = MustOpen(&disk, 200);
  for (std::uint64_t index = 1; index <= 60; ++index) {
    AppendAndSync(&store, MakeEntries(index, index, 1));
    if (index % 10 == 0) {
      ASSERT_TRUE(store.WriteSnapshot(
          {.m_last_index = index - 5, .m_last_term = 1}, "state"));
    }
    EXPECT_EQ(MustOpen(&disk, 200).TakeRecoveredLog().m_entries,
              MakeEntries(index < 10 ? 1 : index / 10 * 10 - 4, index, 1));
    store = MustOpen(&disk, 200);
  }
}

TEST(LogStore, DamagedSnapshotIsAnError) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  ASSERT_TRUE(store.WriteInitialMembership({.m_voters = {VoterId{{"c1"}, 1}}}));
  ASSERT_TRUE(store.WriteSnapshot({.m_last_index = 5}, "state"));
  const std::string name = "snapshot-0000000000000005";
  for (std::uint64_t i = 0; i < disk.Size(name).value(); ++i) {
    disk.FlipByte(name, i);
    const auto damaged = TryOpen(&disk);
    ASSERT_FALSE(damaged) << i;
    EXPECT_EQ(damaged.error().m_fault, StorageFault::kCorrupt);
    disk.FlipByte(name, i);
  }
  EXPECT_TRUE(TryOpen(&disk));
}

TEST(LogStore, SnapshotThatIsNotNewerIsRefused) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  ASSERT_TRUE(store.WriteSnapshot({.m_last_index = 5}, "new"));
  EXPECT_FALSE(store.WriteSnapshot({.m_last_index = 5}, "old"));
  EXPECT_EQ(store.ReadSnapshot(5, 0, 9).value(), "new");
}

// Guards against a second vote in the same term under a new identity, after the
// identity file was lost but the log was not.
TEST(LogStore, MissingIdentityNextToALogIsAnError) {
  FakeDisk disk;
  (void)MustOpen(&disk);
  ASSERT_TRUE(disk.Remove("identity"));
  EXPECT_EQ(TryOpen(&disk).error().m_fault, StorageFault::kCorrupt);
}

}  // namespace
}  // namespace jujube::storage
