// Faults of the data folders of control hosts: lost, old, torn and corrupt
// ones. All tests run real daemons.

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "process/control_cluster.h"

namespace jujube::process {
namespace {

namespace fs = std::filesystem;

constexpr auto kRecursive = fs::copy_options::recursive;

class ControlDisks : public ::testing::Test {
 protected:
  explicit ControlDisks(const ControlClusterOptions& options = {})
      : m_cluster(options) {}

  void ApplyNumbers(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t number = first; number <= last; ++number) {
      const ApplyAnswer answer = m_cluster.Apply(NumberedDocument(number));
      ASSERT_EQ(answer.m_outcome, ApplyOutcome::kAccepted);
      m_accepted.push_back(answer.m_accepted);
    }
  }
  void ExpectAllKept(const std::set<int>& without = {}) {
    const auto history = m_cluster.History(without);
    for (const HistoryEntry& entry : m_accepted) {
      EXPECT_EQ(std::count(history.begin(), history.end(), entry), 1)
          << "document " << entry.m_number;
    }
  }
  // The newest segment of the log of a host.
  std::string LastSegment(int host) const {
    std::string last;
    for (const auto& file :
         fs::directory_iterator(m_cluster.DataFolder(host))) {
      if (file.path().filename().string().starts_with("log-"))
        last = std::max(last, file.path().string());
    }
    return last;
  }
  // A host other than the leader.
  int AnyFollower() const { return m_cluster.WaitForLeader() == 0 ? 1 : 0; }
  void Stop(int host) {
    m_cluster.Host(host).Terminate();
    EXPECT_EQ(m_cluster.Host(host).Wait(), 0);
  }
  void RestoreFolder(int host, const std::string& copy) {
    fs::remove_all(m_cluster.DataFolder(host));
    fs::copy(copy, m_cluster.DataFolder(host), kRecursive);
  }
  // Starts a host on an old copy. It must have no part in an election: with it
  // alone the third host must not become leader.
  void ExpectRefused(int restored) {
    const int third = restored == 0 ? 1 : 0;
    const int killed = 3 - restored - third;
    m_cluster.Start(restored);
    for (const int host : {third, killed}) {
      WaitUntil("the old copy is refused", [&] {
        return m_cluster.Host(host).HasLogged("OldFolderRefused");
      });
    }
    m_cluster.Host(killed).Kill();
    const std::size_t seen = Count(m_cluster.Host(third), "OldFolderRefused");
    WaitUntil("the old copy is refused again", [&] {
      return Count(m_cluster.Host(third), "OldFolderRefused") >= seen + 3;
    });
    WaitUntil("the quorum is lost", [&] {
      const auto status = m_cluster.StatusOf(third);
      return status && status->m_role != "leader";
    });
    for (const int host : {third, restored}) {
      EXPECT_NE(
          m_cluster
              .Call(host, "POST", "/v1/apply", ToText(NumberedDocument(1000)))
              .m_status,
          200);
    }
    m_cluster.Start(killed);
    ExpectAllKept();
  }
  static std::size_t Count(const ChildProcess& process,
                           const std::string& text) {
    const std::string log = process.Log();
    std::size_t count = 0;
    for (std::size_t at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1))
      ++count;
    return count;
  }

  ControlCluster m_cluster;
  std::vector<HistoryEntry> m_accepted;
};

// A host whose disk was lost must not vote as if it had kept its state, and
// its replacement must hold everything before the next host may be lost.
TEST_F(ControlDisks, LostDiskIsReplacedBeforeASecondHostIsLost) {
  m_cluster.StartAll();
  ApplyNumbers(1, 5);
  const int lost = AnyFollower();
  const VoterId old_replica = m_cluster.StatusOf(lost)->m_replica;
  m_cluster.Host(lost).Kill();
  fs::remove_all(m_cluster.DataFolder(lost));
  ApplyNumbers(6, 8);
  m_cluster.Start(lost);
  std::optional<ControlDaemonStatus> status;
  WaitUntil("the host is back", [&] {
    status = m_cluster.StatusOf(lost);
    return status && status->m_role != "founding";
  });
  const VoterId replica = status->m_replica;
  EXPECT_EQ(replica.m_host, old_replica.m_host);
  EXPECT_NE(replica.m_folder, old_replica.m_folder);
  EXPECT_TRUE(status->m_members.empty());
  EXPECT_EQ(status->m_state.m_number, 0U);

  m_cluster.ChangeMember("Add", replica);
  m_cluster.ChangeMember("Remove", old_replica);
  m_cluster.ChangeMember("Promote", replica);
  const int second = 3 - lost - m_cluster.WaitForLeader();
  m_cluster.Host(second == lost ? m_cluster.WaitForLeader() : second).Kill();
  ExpectAllKept();
  ApplyNumbers(9, 9);
}

// Equal start counts: the copy was made while the host was stopped, and the
// host ran once in between.
TEST_F(ControlDisks, FolderRestoredFromACopyOfOneStartAgoIsRefused) {
  m_cluster.StartAll();
  ApplyNumbers(1, 3);
  const int host = AnyFollower();
  Stop(host);
  const std::string copy = m_cluster.DataFolder(host) + "-copy";
  fs::copy(m_cluster.DataFolder(host), copy, kRecursive);
  m_cluster.Start(host);
  m_cluster.WaitForNumber(host, 3);
  ApplyNumbers(4, 6);
  m_cluster.WaitForNumber(host, 6);
  Stop(host);
  RestoreFolder(host, copy);
  ExpectRefused(host);
}

TEST_F(ControlDisks, FolderRestoredFromAnOldCopyIsRefused) {
  m_cluster.StartAll();
  ApplyNumbers(1, 3);
  const int host = AnyFollower();
  Stop(host);
  const std::string copy = m_cluster.DataFolder(host) + "-copy";
  fs::copy(m_cluster.DataFolder(host), copy, kRecursive);
  for (std::uint64_t number = 4; number <= 5; ++number) {
    m_cluster.Start(host);
    ApplyNumbers(number, number);
    m_cluster.WaitForNumber(host, number);
    Stop(host);
  }
  RestoreFolder(host, copy);
  ExpectRefused(host);
}

// A record that was cut short was never acknowledged, so the acknowledgement of
// the host is withheld from the leader here.
TEST_F(ControlDisks, TornLastRecordIsTruncated) {
  m_cluster.StartAll();
  ApplyNumbers(1, 3);
  const int host = AnyFollower();
  m_cluster.WaitForNumber(host, 3);
  m_cluster.CutFrom(host);
  const std::string segment = LastSegment(host);
  const auto size = fs::file_size(segment);
  ApplyNumbers(4, 4);
  WaitUntil("the host has written the record",
            [&] { return fs::file_size(segment) > size; });
  m_cluster.Host(host).Kill();
  fs::resize_file(segment, fs::file_size(segment) - 3);
  m_cluster.Heal(host);
  m_cluster.Start(host);
  WaitUntil("the torn tail is reported", [&] {
    return m_cluster.Host(host).HasLogged("TornTailTruncated");
  });
  ApplyNumbers(5, 5);
  m_cluster.WaitForNumber(host, 5);
  ExpectAllKept();
}

// Every byte of a record in the middle, its length included, is covered.
TEST_F(ControlDisks, CorruptMiddleRecordRefusesToStart) {
  m_cluster.StartAll();
  ApplyNumbers(1, 6);
  const int host = AnyFollower();
  m_cluster.WaitForNumber(host, 6);
  m_cluster.Host(host).Kill();
  const std::string segment = LastSegment(host);
  const std::string sound = ReadText(segment);
  for (std::size_t i = 0; i < 40; ++i) {
    std::string damaged = sound;
    const std::size_t at = sound.size() / 2 + i * 7;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x40);
    std::ofstream(segment, std::ios::binary) << damaged;
    const std::size_t seen = Count(m_cluster.Host(host), "LogCorrupt");
    m_cluster.Start(host);
    EXPECT_NE(m_cluster.Host(host).Wait(), 0) << "offset " << at;
    EXPECT_EQ(Count(m_cluster.Host(host), "LogCorrupt"), seen + 1);
  }
  std::ofstream(segment, std::ios::binary) << sound;
  m_cluster.Start(host);
  ApplyNumbers(7, 7);
  m_cluster.WaitForNumber(host, 7);
}

class ControlSnapshots : public ControlDisks {
 protected:
  ControlSnapshots() : ControlDisks({.m_snapshot_every = 64}) {}
};

TEST_F(ControlSnapshots, HostThatMissed500ChangesCatchesUpBySnapshot) {
  m_cluster.StartAll();
  ApplyNumbers(1, 2);
  const int host = AnyFollower();
  m_cluster.Host(host).Kill();
  ApplyNumbers(3, 502);
  m_cluster.Start(host);
  m_cluster.WaitForNumber(host, 502);
  EXPECT_TRUE(m_cluster.Host(host).HasLogged("SnapshotInstalled"));
  // It holds what it installed: with it as part of the majority nothing is
  // lost.
  m_cluster.Host(m_cluster.WaitForLeader()).Kill();
  ExpectAllKept();
  ApplyNumbers(503, 503);
  for (int one = 0; one < 3; ++one)
    m_cluster.Host(one).Kill();
  m_cluster.StartAll();
  ExpectAllKept();
}

}  // namespace
}  // namespace jujube::process
