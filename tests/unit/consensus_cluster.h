// Cluster: replicas with fake disks, network and clock that a test controls.
// Every step checks the safety properties of the replicated log.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "consensus/replica.h"
#include "core/hash.h"
#include "storage/fake_disk.h"
#include "storage/log_store.h"

namespace jujube::consensus {

using Store = storage::LogStore<storage::FakeDiskRef>;
using std::chrono::milliseconds;

class Cluster {
 public:
  struct Node {
    std::unique_ptr<storage::FakeDisk> m_disk;
    std::optional<Store> m_store;
    std::optional<Replica> m_replica;
    VoterId m_id;
    // Pending disk operations in order. A job returns false if it must be run
    // again later.
    std::deque<std::function<bool()>> m_disk_jobs;
    std::uint64_t m_applied_index = 0;
    // Hash chain of all applied entries. It is the replicated state, so
    // snapshots contain it.
    std::string m_state_hash;
    std::vector<RefusedRequest> m_refused;
    std::vector<AcceptedProposal> m_accepted;
    std::set<std::uint64_t> m_completed_reads;
    std::uint64_t m_installed_snapshots = 0;
    bool m_lost_quorum = false;
    bool m_wrong_folder = false;
    bool m_isolated = false;
    int m_partition = 0;  // messages pass only within a partition
    std::uint64_t m_starts = 0;

    bool IsRunning() const { return m_replica.has_value(); }
  };

  // The first `voter_count` of `node_count` replicas are the initial voters.
  Cluster(std::size_t voter_count,
          std::size_t node_count,
          ReplicaOptions options = {})
      : m_options(options) {
    Voters initial_voters;
    for (std::size_t i = 0; i < node_count; ++i) {
      Node& node = CreateNode();
      if (i < voter_count)
        initial_voters.m_voters.push_back(node.m_id);
    }
    for (std::size_t i = 0; i < node_count; ++i)
      StartNode(i, i < voter_count ? &initial_voters : nullptr);
  }

  // Starts a host with an empty disk and returns its position.
  std::size_t AddNode() {
    CreateNode();
    StartNode(m_nodes.size() - 1, nullptr);
    return m_nodes.size() - 1;
  }

  // Ends the process; unsynced data is lost.
  void Stop(std::size_t i) {
    Node& node = NodeAt(i);
    node.m_replica.reset();
    node.m_store.reset();
    node.m_disk_jobs.clear();
    node.m_disk->Crash(0);
  }
  void Start(std::size_t i) { StartNode(i, nullptr); }

  // Replaces the disk of a stopped node by an empty one.
  void LoseDisk(std::size_t i) {
    Node& node = NodeAt(i);
    node.m_disk = std::make_unique<storage::FakeDisk>();
    node.m_id.m_folder = ++m_last_folder;
  }

  std::uint64_t LastCommittedIndex() const {
    return m_committed_entries.empty() ? 0
                                       : m_committed_entries.rbegin()->first;
  }

  Node& NodeAt(std::size_t i) { return m_nodes[i]; }
  std::size_t NodeCount() const { return m_nodes.size(); }
  MonoTime Now() const { return m_now; }
  ReplicaStatus Status(std::size_t i) { return NodeAt(i).m_replica->Status(); }

  void Step(std::size_t i, const Event& event) {
    ExecuteActions(i, NodeAt(i).m_replica->Step(m_now, event));
  }

  // Drops pending disk jobs and unsynced data except its first
  // `surviving_bytes`, removes the limit of disk space, then restarts.
  void Crash(std::size_t i, std::uint64_t surviving_bytes = 0) {
    Node& node = NodeAt(i);
    node.m_replica.reset();
    node.m_store.reset();
    node.m_disk_jobs.clear();
    node.m_disk->Crash(surviving_bytes);
    node.m_disk->m_free_bytes = UINT64_MAX;
    StartNode(i, nullptr);
  }

  // Advances the clock and passes Ticks that are due.
  void AdvanceClock(milliseconds duration) {
    m_now += duration;
    for (std::size_t i = 0; i < NodeCount(); ++i) {
      if (NodeAt(i).IsRunning() && m_now >= NodeAt(i).m_replica->NextDeadline())
        Step(i, Tick{});
    }
  }

  bool RunDiskJob(std::size_t i) {
    Node& node = NodeAt(i);
    if (node.m_disk_jobs.empty())
      return false;
    const std::function<bool()> job = node.m_disk_jobs.front();
    if (!job())
      return false;
    node.m_disk_jobs.pop_front();
    return true;
  }

  // Delivers the queued message at `position`, or drops it if the sender or
  // receiver is isolated. With `keep_copy`, the message stays in the queue and
  // can be delivered again.
  void Deliver(std::size_t position, bool keep_copy = false) {
    const Message message = m_network[position];
    if (!keep_copy)
      m_network.erase(m_network.begin() +
                      static_cast<std::ptrdiff_t>(position));
    const auto from = IndexOf(SenderOf(message).m_host);
    const auto to = IndexOf(ReceiverOf(message).m_host);
    if (CanReach(from, to))
      Step(to, MessageReceived{message});
  }

  bool CanReach(std::size_t from, std::size_t to) {
    const Node& sender = NodeAt(from);
    const Node& receiver = NodeAt(to);
    return !sender.m_isolated && !receiver.m_isolated && sender.IsRunning() &&
           receiver.IsRunning() && sender.m_partition == receiver.m_partition;
  }

  // Delivers messages and runs disk jobs until none is left or all remaining
  // jobs fail. The clock does not advance.
  void RunUntilIdle() {
    for (bool made_progress = true; made_progress;) {
      made_progress = false;
      for (std::size_t i = 0; i < NodeCount(); ++i)
        made_progress = RunDiskJob(i) || made_progress;
      if (!m_network.empty()) {
        Deliver(0);
        made_progress = true;
      }
    }
  }

  // Advances the clock in small steps and completes all work in each step.
  void RunFor(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration;
         passed += milliseconds(10)) {
      AdvanceClock(milliseconds(10));
      RunUntilIdle();
    }
  }

  // The leader with the highest term; an outdated leader may exist beside it.
  std::optional<std::size_t> Leader() {
    std::optional<std::size_t> leader;
    for (std::size_t i = 0; i < NodeCount(); ++i) {
      if (!NodeAt(i).IsRunning())
        continue;
      const bool is_leader = Status(i).m_role == Role::kLeader;
      if (is_leader && (!leader || Status(i).m_term > Status(*leader).m_term))
        leader = i;
    }
    return leader;
  }

  // Runs long enough for an election and fails the test without a leader.
  std::size_t ElectLeader() {
    RunFor(milliseconds(3000));
    const auto leader = Leader();
    EXPECT_TRUE(leader);
    return leader.value_or(0);
  }

  void Propose(std::size_t i, const std::string& data) {
    Step(i, consensus::Propose{.m_token = ++m_last_token, .m_data = data});
  }

  void ChangeMember(std::size_t i, MembershipStep step, std::size_t replica) {
    Step(i, ChangeMembership{.m_token = ++m_last_token,
                             .m_step = step,
                             .m_replica = NodeAt(replica).m_id});
  }

  std::uint64_t Read(std::size_t i) {
    m_min_read_index[++m_last_token] = LastCommittedIndex();
    Step(i, consensus::ReadBarrier{.m_token = m_last_token});
    return m_last_token;
  }

  void TakeSnapshot(std::size_t i) {
    Node& node = NodeAt(i);
    const SnapshotInfo info = node.m_replica->AppliedInfo();
    if (info.m_last_index <= node.m_replica->Status().m_first_index ||
        m_final_chunk_writers.contains(i))
      return;
    const std::string state = node.m_state_hash;
    node.m_disk_jobs.emplace_back([this, i, info, state] {
      const auto written = NodeAt(i).m_store->WriteSnapshot(info, state);
      if (written)
        Step(i, SnapshotTaken{info});
      return true;
    });
  }

  std::deque<Message> m_network;  // messages that are not delivered yet

 private:
  static std::size_t IndexOf(const HostId& host) {
    return std::stoul(host.m_value.substr(1));
  }

  Node& CreateNode() {
    Node& node = m_nodes.emplace_back();
    node.m_disk = std::make_unique<storage::FakeDisk>();
    node.m_id = {{"c" + std::to_string(m_nodes.size() - 1)}, ++m_last_folder};
    return node;
  }

  // Opens the store and starts the replica. With `initial_voters`, first stores
  // them in the empty folder.
  void StartNode(std::size_t i, const Voters* initial_voters) {
    Node& node = NodeAt(i);
    // Small segments, so that the log of a test spans several of them.
    auto store = Store::Open(storage::FakeDiskRef{node.m_disk.get()},
                             {.m_segment_bytes = 600}, node.m_id.m_folder);
    ASSERT_TRUE(store) << store.error().m_message;
    node.m_store.emplace(std::move(store).value());
    if (initial_voters != nullptr) {
      ASSERT_TRUE(node.m_store->WriteInitialMembership(*initial_voters));
      node.m_store.reset();
      StartNode(i, nullptr);
      return;
    }
    m_final_chunk_writers.erase(i);
    const storage::RecoveredLog log = node.m_store->TakeRecoveredLog();
    LoadState(i, log.m_snapshot.value_or(SnapshotInfo{}));
    ReplicaOptions options = m_options;
    options.m_random_seed = MixHash(i + 1, log.m_identity.m_starts);
    ++node.m_starts;
    node.m_replica.emplace(
        node.m_id, options,
        RestoredState{log.m_state, log.m_snapshot, log.m_entries}, m_now);
  }

  void LoadState(std::size_t i, const SnapshotInfo& info) {
    Node& node = NodeAt(i);
    node.m_applied_index = info.m_last_index;
    node.m_state_hash.clear();
    if (info.m_last_index > 0)
      node.m_state_hash =
          node.m_store->ReadSnapshot(info.m_last_index, 0, UINT64_MAX).value();
  }

  void ExecuteActions(std::size_t i, Actions actions) {
    Node& node = NodeAt(i);
    if (actions.m_role)
      CheckRole(i, *actions.m_role);
    if (actions.m_persist)
      QueuePersist(i, *std::move(actions.m_persist));
    for (Message& message : actions.m_send)
      m_network.push_back(std::move(message));
    if (actions.m_snapshot_write)
      QueueSnapshotWrite(i, *std::move(actions.m_snapshot_write));
    for (const SnapshotRead& read : actions.m_snapshot_reads)
      QueueSnapshotRead(i, read);
    if (actions.m_install_snapshot) {
      LoadState(i, *actions.m_install_snapshot);
      ++node.m_installed_snapshots;
    }
    for (const LogEntry& entry : actions.m_apply)
      Apply(&node, entry);
    for (const std::uint64_t token : actions.m_completed_reads) {
      EXPECT_GE(node.m_applied_index, m_min_read_index[token]) << "stale read";
      node.m_completed_reads.insert(token);
    }
    node.m_accepted.insert(node.m_accepted.end(), actions.m_accepted.begin(),
                           actions.m_accepted.end());
    node.m_refused.insert(node.m_refused.end(), actions.m_refused.begin(),
                          actions.m_refused.end());
    node.m_wrong_folder |= actions.m_wrong_folder_sender.has_value();
  }

  void CheckRole(std::size_t i, const RoleChange& change) {
    NodeAt(i).m_lost_quorum = NodeAt(i).m_lost_quorum || change.m_lost_quorum;
    if (change.m_role != Role::kLeader)
      return;
    const auto [leader, inserted] = m_leader_by_term.emplace(change.m_term, i);
    EXPECT_EQ(leader->second, i) << "two leaders in term " << change.m_term;
  }

  void Apply(Node* node, const LogEntry& entry) {
    ASSERT_EQ(entry.m_index, node->m_applied_index + 1)
        << "missing or repeated entry";
    const auto [committed, inserted] =
        m_committed_entries.emplace(entry.m_index, entry);
    ASSERT_EQ(committed->second, entry) << "a committed entry was replaced";
    node->m_applied_index = entry.m_index;
    // Pad the state, so that a snapshot needs several chunks.
    node->m_state_hash =
        Sha256(node->m_state_hash + entry.m_data) + std::string(64, 's');
  }

  void QueuePersist(std::size_t i, Persist persist) {
    const std::uint64_t number = persist.m_number;
    NodeAt(i).m_disk_jobs.emplace_back([this, i, persist = std::move(persist)] {
      const auto appended =
          NodeAt(i).m_store->Append(persist.m_state, persist.m_entries);
      Step(i, StorageFull{!appended});
      return appended.has_value();
    });
    // The sync is a separate job, so that a crash can occur before it.
    NodeAt(i).m_disk_jobs.emplace_back([this, i, number] {
      EXPECT_TRUE(NodeAt(i).m_store->Sync());
      Step(i, SyncDone{number});
      return true;
    });
  }

  void QueueSnapshotWrite(std::size_t i, SnapshotWrite write) {
    if (write.m_is_last_chunk)
      m_final_chunk_writers.insert(i);
    NodeAt(i).m_disk_jobs.emplace_back([this, i, write = std::move(write)] {
      Store& store = *NodeAt(i).m_store;
      const bool stored =
          store.WriteReceivedChunk(write.m_offset, write.m_data) &&
          (!write.m_is_last_chunk ||
           store.InstallReceivedSnapshot(write.m_info));
      m_final_chunk_writers.erase(i);
      Step(i, SnapshotWritten{
                  .m_last_index = write.m_info.m_last_index,
                  .m_next_offset = write.m_offset + write.m_data.size(),
                  .m_installed = stored && write.m_is_last_chunk,
                  .m_failed = !stored});
      return true;
    });
  }

  void QueueSnapshotRead(std::size_t i, const SnapshotRead& read) {
    NodeAt(i).m_disk_jobs.emplace_back([this, i, read] {
      Store& store = *NodeAt(i).m_store;
      const auto total = store.SnapshotBytes(read.m_last_index);
      SnapshotReadDone part{.m_to = read.m_to,
                            .m_last_index = read.m_last_index,
                            .m_offset = read.m_offset,
                            .m_missing = !total};
      if (total) {
        part.m_total_bytes = total.value();
        part.m_data =
            store.ReadSnapshot(read.m_last_index, read.m_offset, read.m_bytes)
                .value();
      }
      Step(i, part);
      return true;
    });
  }

  ReplicaOptions m_options;
  std::deque<Node> m_nodes;
  MonoTime m_now{};
  std::uint64_t m_last_token = 0;
  std::uint64_t m_last_folder = 99;
  // Nodes with a pending write of the last chunk of a snapshot. TakeSnapshot
  // does nothing on them.
  std::set<std::size_t> m_final_chunk_writers;
  std::map<std::uint64_t, std::size_t> m_leader_by_term;
  std::map<std::uint64_t, LogEntry> m_committed_entries;    // by index
  std::map<std::uint64_t, std::uint64_t> m_min_read_index;  // by token
};

}  // namespace jujube::consensus
