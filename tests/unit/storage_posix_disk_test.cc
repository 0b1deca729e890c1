#include <cstdlib>
#include <filesystem>
#include <string>

#include <gtest/gtest.h>

#include "storage/log_store.h"
#include "storage/posix_disk.h"

namespace jujube::storage {
namespace {

// Provides an empty folder that is removed at the end of the test.
class PosixDiskTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = testing::TempDir() + "jujube-XXXXXX";
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    m_folder = pattern;
  }
  void TearDown() override { std::filesystem::remove_all(m_folder); }

  std::string m_folder;
};

TEST_F(PosixDiskTest, StoreSurvivesReopening) {
  const LogEntry entry{.m_index = 1, .m_term = 1, .m_data = "a"};
  {
    auto store =
        LogStore<PosixDisk>::Open(PosixDisk::Open(m_folder).value(), {}, 5)
            .value();
    ASSERT_TRUE(store.Append(HardState{.m_term = 1}, {&entry, 1}));
    ASSERT_TRUE(store.Sync());
    ASSERT_TRUE(
        store.WriteInitialMembership({.m_voters = {VoterId{{"c1"}, 5}}}));
  }
  auto store =
      LogStore<PosixDisk>::Open(PosixDisk::Open(m_folder).value(), {}, 6)
          .value();
  const RecoveredLog recovered = store.TakeRecoveredLog();
  EXPECT_EQ(recovered.m_identity.m_folder, 5U);
  EXPECT_EQ(recovered.m_entries, std::vector<LogEntry>{entry});
  EXPECT_EQ(recovered.m_snapshot->m_voters.m_voters.size(), 1U);
}

// Guards against two processes that write to the same log.
TEST_F(PosixDiskTest, OpenFailsIfTheFolderIsLocked) {
  const auto lock_holder = PosixDisk::Open(m_folder);
  ASSERT_TRUE(lock_holder);
  EXPECT_EQ(PosixDisk::Open(m_folder).error().m_fault, StorageFault::kInUse);
}

}  // namespace
}  // namespace jujube::storage
