#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "storage/fake_disk.h"
#include "storage/log_store.h"

namespace jujube::storage {
namespace {

using Store = LogStore<FakeDiskRef>;

constexpr std::uint64_t kIdentity = 77;
const std::string first_segment = "log-0000000000000001";

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

std::vector<LogEntry> Entries(std::uint64_t first,
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

void Write(Store* store, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries)
    ASSERT_TRUE(store->Append(std::nullopt, {&entry, 1}));
  ASSERT_TRUE(store->Sync());
}

// Guards against a replica that forgets its term, its vote or an entry that it
// acknowledged, also when the log spans segments.
TEST(LogStore, SyncedStateSurvivesACrash) {
  FakeDisk disk;
  const HardState state{.m_term = 4, .m_vote = VoterId{{"c1"}, 9}};
  {
    Store store = MustOpen(&disk);
    ASSERT_TRUE(store.Append(state, {}));
    Write(&store, Entries(1, 30, 4));
    const auto unsynced = Entries(31, 31, 4);
    ASSERT_TRUE(store.Append(std::nullopt, unsynced));
  }
  disk.Crash();
  const RecoveredLog recovered = MustOpen(&disk).TakeRecovered();
  EXPECT_EQ(recovered.m_state, state);
  EXPECT_EQ(recovered.m_entries, Entries(1, 30, 4));
  EXPECT_EQ(recovered.m_identity.m_folder, kIdentity);
  EXPECT_EQ(recovered.m_identity.m_starts, 2U);
}

TEST(LogStore, AnEntryReplacesTheEntriesAfterIt) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk);
    Write(&store, Entries(1, 9, 1));
    Write(&store, Entries(5, 6, 2));
  }
  const auto entries = MustOpen(&disk).TakeRecovered().m_entries;
  ASSERT_EQ(entries.size(), 6U);
  EXPECT_EQ(entries[3].m_term, 1U);
  EXPECT_EQ(entries[5].m_term, 2U);
}

// Guards against a crash during an append that keeps the process from starting:
// every length of the torn record is truncated.
TEST(LogStore, TornTailIsTruncated) {
  for (std::uint64_t torn = 1; torn < 40; ++torn) {
    FakeDisk disk;
    {
      Store store = MustOpen(&disk, 4000);
      Write(&store, Entries(1, 5, 1));
      const auto last = Entries(6, 6, 1);
      ASSERT_TRUE(store.Append(std::nullopt, last));
    }
    disk.Crash(torn);
    Store store = MustOpen(&disk, 4000);
    const RecoveredLog recovered = store.TakeRecovered();
    EXPECT_EQ(recovered.m_entries, Entries(1, 5, 1));
    EXPECT_EQ(recovered.m_torn_bytes, torn);
    Write(&store, Entries(6, 7, 2));
    EXPECT_EQ(MustOpen(&disk, 4000).TakeRecovered().m_entries.size(), 7U);
  }
}

// Guards against acknowledged entries being dropped as a torn tail: a damaged
// byte anywhere before the last record, lengths included, is an error.
TEST(LogStore, CorruptionBeforeTheLastRecordIsAnError) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk, 4000);
    Write(&store, Entries(1, 4, 1));
  }
  const std::uint64_t size = disk.Size(first_segment).value();
  const std::uint64_t last_record =
      EncodeRecord(ToRecord(Entries(4, 4, 1)[0]), kIdentity).size();
  for (std::uint64_t offset = 0; offset < size - last_record; ++offset) {
    FakeDisk damaged;
    const std::vector<std::string> names = disk.List().value();
    for (const std::string& name : names) {
      const auto bytes = disk.Read(name, 0, UINT64_MAX).value();
      ASSERT_TRUE(damaged.Append(name, bytes));
    }
    damaged.FlipByte(first_segment, offset);
    const auto store = TryOpen(&damaged);
    ASSERT_FALSE(store) << offset;
    EXPECT_EQ(store.error().m_fault, StorageFault::kCorrupt);
  }
  disk.FlipByte(first_segment, size - 1);
  EXPECT_EQ(MustOpen(&disk).TakeRecovered().m_entries, Entries(1, 3, 1));
}

TEST(LogStore, DamagedEndOfAnEarlierSegmentIsAnError) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk);
    Write(&store, Entries(1, 30, 1));
  }
  disk.FlipByte(first_segment, disk.Size(first_segment).value() - 1);
  EXPECT_EQ(TryOpen(&disk).error().m_fault, StorageFault::kCorrupt);
}

TEST(LogStore, AMissingSegmentIsAnError) {
  FakeDisk disk;
  {
    Store store = MustOpen(&disk);
    Write(&store, Entries(1, 40, 1));
  }
  ASSERT_TRUE(disk.Remove("log-0000000000000002"));
  EXPECT_EQ(TryOpen(&disk).error().m_fault, StorageFault::kCorrupt);
}

// Guards against a second sync that reports success although the first one has
// dropped the written pages.
TEST(LogStore, FailedSyncIsFinal) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  const auto entries = Entries(1, 1, 1);
  ASSERT_TRUE(store.Append(std::nullopt, entries));
  disk.m_fail_sync = true;
  EXPECT_EQ(store.Sync().error().m_fault, StorageFault::kSyncFailed);
  disk.m_fail_sync = false;
  EXPECT_EQ(store.Sync().error().m_fault, StorageFault::kSyncFailed);
  EXPECT_EQ(store.Append(std::nullopt, entries).error().m_fault,
            StorageFault::kSyncFailed);
}

// Guards against a partly written record in front of later ones.
TEST(LogStore, FullDiskLeavesTheLogAsItWas) {
  for (std::uint64_t free = 0; free < 120; ++free) {
    FakeDisk disk;
    Store store = MustOpen(&disk);
    Write(&store, Entries(1, 8, 1));
    const auto more = Entries(9, 12, 1);
    disk.m_free_bytes = free;
    ASSERT_EQ(store.Append(std::nullopt, more).error().m_fault,
              StorageFault::kFull);
    disk.m_free_bytes = UINT64_MAX;
    Write(&store, more);
    EXPECT_EQ(MustOpen(&disk).TakeRecovered().m_entries, Entries(1, 12, 1));
  }
}

// Guards against the loss of both the entries and the snapshot: at each point
// of a crash the folder holds one of the two.
TEST(LogStore, SegmentsAreDeletedOnlyAfterTheSnapshotIsDurable) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  Write(&store, Entries(1, 38, 1));
  disk.m_operations.clear();
  const SnapshotInfo info{.m_last_index = 35, .m_last_term = 1};
  ASSERT_TRUE(store.WriteSnapshot(info, "state"));
  const std::vector<std::string> start(disk.m_operations.begin(),
                                       disk.m_operations.begin() + 8);
  const std::string newest = start[5].substr(start[5].find("log-"));
  EXPECT_EQ(start,
            (std::vector<std::string>{
                "append snapshot-write.tmp", "append snapshot-write.tmp",
                "sync snapshot-write.tmp", "rename snapshot-0000000000000023",
                "sync folder", "append " + newest, "sync " + newest,
                "remove " + first_segment}));
  disk.Crash();
  Store reopened = MustOpen(&disk);
  const RecoveredLog recovered = reopened.TakeRecovered();
  EXPECT_EQ(recovered.m_snapshot, info);
  EXPECT_EQ(recovered.m_entries, Entries(36, 38, 1));
  EXPECT_EQ(reopened.ReadSnapshot(35, 1, 99).value(), "tate");
}

// Guards against entries of another history surviving behind a snapshot that
// was received from the leader.
TEST(LogStore, ReceivedSnapshotReplacesADivergedLog) {
  for (const bool crash_before_append : {false, true}) {
    FakeDisk disk;
    Store store = MustOpen(&disk);
    Write(&store, Entries(1, 12, 1));
    ASSERT_TRUE(store.WriteReceived(0, "part one, "));
    // A full disk can make the leader repeat a part.
    ASSERT_TRUE(store.WriteReceived(10, "part"));
    ASSERT_TRUE(store.WriteReceived(10, "part two"));
    const SnapshotInfo info{.m_last_index = 10, .m_last_term = 3};
    ASSERT_TRUE(store.FinishReceive(info));
    if (crash_before_append) {
      disk.Crash();
      store = MustOpen(&disk);
      EXPECT_TRUE(store.TakeRecovered().m_entries.empty());
    }
    Write(&store, Entries(11, 11, 3));
    Store reopened = MustOpen(&disk);
    EXPECT_EQ(reopened.TakeRecovered().m_entries, Entries(11, 11, 3));
    EXPECT_EQ(reopened.ReadSnapshot(10, 0, 99).value(), "part one, part two");
  }
}

// Guards against the same when the segment with the entry at the snapshot's
// index is deleted, so that its term can no longer be compared.
TEST(LogStore, DivergedEntriesStayVoidAfterSegmentsAreDeleted) {
  for (std::uint64_t index = 1; index <= 30; ++index) {
    FakeDisk disk;
    Store store = MustOpen(&disk, 200);
    Write(&store, Entries(1, 30, 2));
    ASSERT_TRUE(store.WriteReceived(0, "state"));
    ASSERT_TRUE(store.FinishReceive({.m_last_index = index, .m_last_term = 1}));
    disk.Crash();
    EXPECT_TRUE(MustOpen(&disk, 200).TakeRecovered().m_entries.empty());
  }
}

// Guards against the repeated base at the head of a segment dropping entries
// once the segments before them are deleted.
TEST(LogStore, EntriesAfterASnapshotSurviveRepeatedRestarts) {
  FakeDisk disk;
  Store store = MustOpen(&disk, 200);
  for (std::uint64_t index = 1; index <= 60; ++index) {
    Write(&store, Entries(index, index, 1));
    if (index % 10 == 0) {
      ASSERT_TRUE(store.WriteSnapshot(
          {.m_last_index = index - 5, .m_last_term = 1}, "state"));
    }
    EXPECT_EQ(MustOpen(&disk, 200).TakeRecovered().m_entries,
              Entries(index < 10 ? 1 : index / 10 * 10 - 4, index, 1));
    store = MustOpen(&disk, 200);
  }
}

TEST(LogStore, DamagedSnapshotIsAnError) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  ASSERT_TRUE(store.Found({.m_voters = {VoterId{{"c1"}, 1}}}));
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

TEST(LogStore, AnOlderSnapshotIsRefused) {
  FakeDisk disk;
  Store store = MustOpen(&disk);
  ASSERT_TRUE(store.WriteSnapshot({.m_last_index = 5}, "new"));
  EXPECT_FALSE(store.WriteSnapshot({.m_last_index = 5}, "old"));
  EXPECT_EQ(store.ReadSnapshot(5, 0, 9).value(), "new");
}

// Guards against a folder that lost its identity file and then votes again
// under a new identity with the old log.
TEST(LogStore, MissingIdentityNextToALogIsAnError) {
  FakeDisk disk;
  (void)MustOpen(&disk);
  ASSERT_TRUE(disk.Remove("identity"));
  EXPECT_EQ(TryOpen(&disk).error().m_fault, StorageFault::kCorrupt);
}

}  // namespace
}  // namespace jujube::storage
