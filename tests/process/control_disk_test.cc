// Tests with real daemons: data folders of control hosts that are lost,
// restored from an old copy, torn or corrupt.

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

  void ApplyDocuments(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t number = first; number <= last; ++number) {
      const ApplyAnswer answer = m_cluster.Apply(NumberedDocument(number));
      ASSERT_EQ(answer.m_outcome, ApplyOutcome::kAccepted);
      m_accepted.push_back(answer.m_accepted);
    }
  }
  void ExpectAllInHistory(const std::set<int>& excluded = {}) {
    const auto history = m_cluster.History(excluded);
    for (const HistoryEntry& entry : m_accepted) {
      EXPECT_EQ(std::count(history.begin(), history.end(), entry), 1)
          << "document " << entry.m_number;
    }
  }
  // Returns the path of the newest log segment of a host.
  std::string LastSegment(int host) const {
    std::string last;
    for (const auto& file :
         fs::directory_iterator(m_cluster.DataFolder(host))) {
      if (file.path().filename().string().starts_with("log-"))
        last = std::max(last, file.path().string());
    }
    return last;
  }
  // Returns a host other than the leader.
  int FindFollower() const { return m_cluster.WaitForLeader() == 0 ? 1 : 0; }
  void Stop(int host) {
    m_cluster.Host(host).Terminate();
    EXPECT_EQ(m_cluster.Host(host).Wait(), 0);
  }
  void RestoreFolder(int host, const std::string& copy) {
    fs::remove_all(m_cluster.DataFolder(host));
    fs::copy(copy, m_cluster.DataFolder(host), kRecursive);
  }
  // Starts a host with an old copy of its folder and expects the others to
  // refuse it. It must not count for a quorum: while `killed` is down, `other`
  // must not be leader, and neither running host may accept a document.
  void ExpectRefused(int restored) {
    const int other = restored == 0 ? 1 : 0;
    const int killed = 3 - restored - other;
    m_cluster.Start(restored);
    for (const int host : {other, killed}) {
      WaitUntil("the old copy is refused", [&] {
        return m_cluster.Host(host).HasLogged("OldFolderRefused");
      });
    }
    m_cluster.Host(killed).Kill();
    const std::size_t count_before =
        CountInLog(m_cluster.Host(other), "OldFolderRefused");
    WaitUntil("the old copy is refused again", [&] {
      return CountInLog(m_cluster.Host(other), "OldFolderRefused") >=
             count_before + 3;
    });
    WaitUntil("the leader without a quorum steps down", [&] {
      const auto status = m_cluster.StatusOf(other);
      return status && status->m_role != "leader";
    });
    for (const int host : {other, restored}) {
      EXPECT_NE(
          m_cluster
              .Call(host, "POST", "/v1/apply", ToText(NumberedDocument(1000)))
              .m_status,
          200);
    }
    m_cluster.Start(killed);
    ExpectAllInHistory();
  }
  static std::size_t CountInLog(const ChildProcess& process,
                                const std::string& text) {
    const std::string log = process.Log();
    std::size_t count = 0;
    for (std::size_t offset = log.find(text); offset != std::string::npos;
         offset = log.find(text, offset + 1))
      ++count;
    return count;
  }

  ControlCluster m_cluster;
  std::vector<HistoryEntry> m_accepted;
};

// Guards against a host with a lost disk that votes without its earlier state,
// and against a replacement that becomes a voter before it has the whole log.
TEST_F(ControlDisks, LostDiskIsReplacedBeforeASecondHostIsLost) {
  m_cluster.StartAll();
  ApplyDocuments(1, 5);
  const int lost = FindFollower();
  const VoterId old_replica = m_cluster.StatusOf(lost)->m_replica;
  m_cluster.Host(lost).Kill();
  fs::remove_all(m_cluster.DataFolder(lost));
  ApplyDocuments(6, 8);
  m_cluster.Start(lost);
  std::optional<ControlDaemonStatus> status;
  WaitUntil("the host has left the founding state", [&] {
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
  ExpectAllInHistory();
  ApplyDocuments(9, 9);
}

// Guards against a check of old copies that compares only the start counts: the
// host ran once after the copy was made, so when the copy is started, its start
// count equals the one that the other hosts know.
TEST_F(ControlDisks, FolderRestoredFromACopyOfOneStartAgoIsRefused) {
  m_cluster.StartAll();
  ApplyDocuments(1, 3);
  const int host = FindFollower();
  Stop(host);
  const std::string copy = m_cluster.DataFolder(host) + "-copy";
  fs::copy(m_cluster.DataFolder(host), copy, kRecursive);
  m_cluster.Start(host);
  m_cluster.WaitForDocument(host, 3);
  ApplyDocuments(4, 6);
  m_cluster.WaitForDocument(host, 6);
  Stop(host);
  RestoreFolder(host, copy);
  ExpectRefused(host);
}

// Guards against a host that votes with an old copy of its data folder, in
// which votes and documents that it acknowledged are missing.
TEST_F(ControlDisks, FolderRestoredFromAnOldCopyIsRefused) {
  m_cluster.StartAll();
  ApplyDocuments(1, 3);
  const int host = FindFollower();
  Stop(host);
  const std::string copy = m_cluster.DataFolder(host) + "-copy";
  fs::copy(m_cluster.DataFolder(host), copy, kRecursive);
  for (std::uint64_t number = 4; number <= 5; ++number) {
    m_cluster.Start(host);
    ApplyDocuments(number, number);
    m_cluster.WaitForDocument(host, number);
    Stop(host);
  }
  RestoreFolder(host, copy);
  ExpectRefused(host);
}

// Guards against a host that does not start after a crash in the middle of a
// write. Only a record that was not acknowledged can be torn, so the outgoing
// connections of the host are cut and the leader receives no acknowledgement.
TEST_F(ControlDisks, TornLastRecordIsTruncated) {
  m_cluster.StartAll();
  ApplyDocuments(1, 3);
  const int host = FindFollower();
  m_cluster.WaitForDocument(host, 3);
  m_cluster.CutOutgoing(host);
  const std::string segment = LastSegment(host);
  const auto size = fs::file_size(segment);
  ApplyDocuments(4, 4);
  WaitUntil("the host has written the record",
            [&] { return fs::file_size(segment) > size; });
  m_cluster.Host(host).Kill();
  fs::resize_file(segment, fs::file_size(segment) - 3);
  m_cluster.Heal(host);
  m_cluster.Start(host);
  WaitUntil("the torn tail is reported", [&] {
    return m_cluster.Host(host).HasLogged("TornTailTruncated");
  });
  ApplyDocuments(5, 5);
  m_cluster.WaitForDocument(host, 5);
  ExpectAllInHistory();
}

// Guards against a corrupt record that is taken for a torn tail and truncated.
// Every byte of a record is verified, its length included: a flipped bit is
// detected at each of 40 offsets from the middle of the segment on.
TEST_F(ControlDisks, CorruptMiddleRecordRefusesToStart) {
  m_cluster.StartAll();
  ApplyDocuments(1, 6);
  const int host = FindFollower();
  m_cluster.WaitForDocument(host, 6);
  m_cluster.Host(host).Kill();
  const std::string segment = LastSegment(host);
  const std::string intact = ReadText(segment);
  for (std::size_t i = 0; i < 40; ++i) {
    std::string damaged = intact;
    const std::size_t offset = intact.size() / 2 + i * 7;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x40);
    std::ofstream(segment, std::ios::binary) << damaged;
    const std::size_t count_before =
        CountInLog(m_cluster.Host(host), "LogCorrupt");
    m_cluster.Start(host);
    EXPECT_NE(m_cluster.Host(host).Wait(), 0) << "offset " << offset;
    EXPECT_EQ(CountInLog(m_cluster.Host(host), "LogCorrupt"), count_before + 1);
  }
  std::ofstream(segment, std::ios::binary) << intact;
  m_cluster.Start(host);
  ApplyDocuments(7, 7);
  m_cluster.WaitForDocument(host, 7);
}

class ControlSnapshots : public ControlDisks {
 protected:
  ControlSnapshots() : ControlDisks({.m_snapshot_every = 64}) {}
};

// Guards against a host that cannot catch up after the others have replaced the
// log entries it needs by a snapshot, and against an installed snapshot that is
// lost at a restart.
TEST_F(ControlSnapshots, HostThatMissed500ChangesCatchesUpBySnapshot) {
  m_cluster.StartAll();
  ApplyDocuments(1, 2);
  const int host = FindFollower();
  m_cluster.Host(host).Kill();
  ApplyDocuments(3, 502);
  m_cluster.Start(host);
  m_cluster.WaitForDocument(host, 502);
  EXPECT_TRUE(m_cluster.Host(host).HasLogged("SnapshotInstalled"));
  // The host stored the snapshot: a majority that includes it has everything.
  m_cluster.Host(m_cluster.WaitForLeader()).Kill();
  ExpectAllInHistory();
  ApplyDocuments(503, 503);
  for (int one = 0; one < 3; ++one)
    m_cluster.Host(one).Kill();
  m_cluster.StartAll();
  ExpectAllInHistory();
}

}  // namespace
}  // namespace jujube::process
