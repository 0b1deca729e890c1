#include "controld/snapshot_schedule.h"

#include <gtest/gtest.h>

namespace jujube::controld {
namespace {

constexpr std::uint64_t kMaxBytes = 1000;

MonoTime AtMs(int ms) {
  return MonoTime(std::chrono::hours(1) + std::chrono::milliseconds(ms));
}

// Guards against a log that grows for good, until it fills the disk, because
// the disk was full once when a snapshot was due.
TEST(SnapshotSchedule, SnapshotIsRetriedAfterAFullDisk) {
  SnapshotSchedule schedule(64, kMaxBytes);
  EXPECT_FALSE(schedule.TryStart(63, AtMs(0)));
  EXPECT_TRUE(schedule.TryStart(64, AtMs(0)));
  EXPECT_FALSE(schedule.TryStart(200, AtMs(1)));
  schedule.OnDiskFull(AtMs(10));
  EXPECT_FALSE(schedule.TryStart(65, AtMs(1009)));
  EXPECT_TRUE(schedule.TryStart(65, AtMs(1010)));
  schedule.OnWritten();
  EXPECT_FALSE(schedule.TryStart(128, AtMs(1011)));
  EXPECT_TRUE(schedule.TryStart(129, AtMs(1012)));
}

TEST(SnapshotSchedule, StoredSnapshotCounts) {
  SnapshotSchedule schedule(64, kMaxBytes);
  schedule.OnStored(500);
  EXPECT_FALSE(schedule.TryStart(563, AtMs(0)));
  EXPECT_TRUE(schedule.TryStart(564, AtMs(0)));
}

// Guards against a log of large changes that outgrows the memory of the host
// long before it has the number of entries after which a snapshot is due.
TEST(SnapshotSchedule, LargeEntriesMakeASnapshotDue) {
  SnapshotSchedule schedule(64, kMaxBytes);
  schedule.OnApplied(kMaxBytes - 1);
  EXPECT_FALSE(schedule.TryStart(3, AtMs(0)));
  schedule.OnApplied(1);
  EXPECT_TRUE(schedule.TryStart(4, AtMs(0)));
  schedule.OnApplied(1);
  // The bytes of a snapshot that was not written still count.
  schedule.OnDiskFull(AtMs(0));
  EXPECT_TRUE(schedule.TryStart(5, AtMs(1000)));
  schedule.OnWritten();
  EXPECT_FALSE(schedule.TryStart(6, AtMs(1000)));
}

}  // namespace
}  // namespace jujube::controld
