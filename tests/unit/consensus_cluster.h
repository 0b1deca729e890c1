// Cluster: replicas with fake disks, a network and a clock under the control of
// a test. Every step checks the properties that must always hold.

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
    // Disk work in order; false if it has to be repeated later.
    std::deque<std::function<bool()>> m_jobs;
    std::uint64_t m_applied = 0;
    std::string m_state;  // hash of all applied commands
    std::vector<Refused> m_refused;
    std::vector<Accepted> m_accepted;
    std::set<std::uint64_t> m_answered_reads;
    std::uint64_t m_installs = 0;
    bool m_lost_quorum = false;
    bool m_foreign = false;
    bool m_isolated = false;
  };

  // The first `voters` of `nodes` replicas form the membership.
  Cluster(std::size_t voters, std::size_t nodes, ReplicaOptions options = {})
      : m_options(options) {
    Voters founding;
    for (std::size_t i = 0; i < nodes; ++i) {
      Node& node = m_nodes.emplace_back();
      node.m_disk = std::make_unique<storage::FakeDisk>();
      node.m_id = {{"c" + std::to_string(i)}, 100 + i};
      if (i < voters)
        founding.m_voters.push_back(node.m_id);
    }
    for (std::size_t i = 0; i < nodes; ++i)
      Start(i, i < voters ? &founding : nullptr);
  }

  Node& At(std::size_t i) { return m_nodes[i]; }
  std::size_t Count() const { return m_nodes.size(); }
  MonoTime Now() const { return m_now; }
  ReplicaStatus Status(std::size_t i) { return At(i).m_replica->Status(); }

  void Step(std::size_t i, const Event& event) {
    Carry(i, At(i).m_replica->Step(m_now, event));
  }

  // Loses unsynced data except the first `torn` bytes, and starts again.
  void Crash(std::size_t i, std::uint64_t torn = 0) {
    Node& node = At(i);
    node.m_replica.reset();
    node.m_store.reset();
    node.m_jobs.clear();
    node.m_disk->Crash(torn);
    node.m_disk->m_free_bytes = UINT64_MAX;
    Start(i, nullptr);
  }

  // Time passes for every replica.
  void Advance(milliseconds time) {
    m_now += time;
    for (std::size_t i = 0; i < Count(); ++i) {
      if (m_now >= At(i).m_replica->NextDeadline())
        Step(i, Tick{});
    }
  }

  bool RunJob(std::size_t i) {
    Node& node = At(i);
    if (node.m_jobs.empty())
      return false;
    const std::function<bool()> job = node.m_jobs.front();
    if (!job())
      return false;
    node.m_jobs.pop_front();
    return true;
  }

  void Deliver(std::size_t position, bool keep = false) {
    const Message message = m_network[position];
    if (!keep)
      m_network.erase(m_network.begin() +
                      static_cast<std::ptrdiff_t>(position));
    const auto from = IndexOf(SenderOf(message).m_host);
    const auto to = IndexOf(ReceiverOf(message).m_host);
    if (!At(from).m_isolated && !At(to).m_isolated)
      Step(to, Received{message});
  }

  // Delivers messages and finishes disk work until nothing is left to do.
  void Settle() {
    for (bool busy = true; busy;) {
      busy = false;
      for (std::size_t i = 0; i < Count(); ++i)
        busy = RunJob(i) || busy;
      if (!m_network.empty()) {
        Deliver(0);
        busy = true;
      }
    }
  }

  // Time passes with a sound network and disks.
  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      Advance(milliseconds(10));
      Settle();
    }
  }

  std::optional<std::size_t> Leader() {
    std::optional<std::size_t> leader;
    for (std::size_t i = 0; i < Count(); ++i) {
      const bool leads = Status(i).m_role == Role::kLeader;
      if (leads && (!leader || Status(i).m_term > Status(*leader).m_term))
        leader = i;
    }
    return leader;
  }

  std::size_t MustLead() {
    Run(milliseconds(3000));
    const auto leader = Leader();
    EXPECT_TRUE(leader);
    return leader.value_or(0);
  }

  void Propose(std::size_t i, const std::string& data) {
    Step(i, consensus::Propose{.m_token = ++m_token, .m_data = data});
  }

  void Change(std::size_t i, MembershipStep step, std::size_t replica) {
    Step(i, ChangeMembership{.m_token = ++m_token,
                             .m_step = step,
                             .m_replica = At(replica).m_id});
  }

  std::uint64_t Read(std::size_t i) {
    m_read_floor[++m_token] =
        m_committed.empty() ? 0 : m_committed.rbegin()->first;
    Step(i, consensus::Read{.m_token = m_token});
    return m_token;
  }

  void TakeSnapshot(std::size_t i) {
    Node& node = At(i);
    const SnapshotInfo info = node.m_replica->AppliedInfo();
    if (info.m_last_index <= node.m_replica->Status().m_first_index ||
        m_receiving.contains(i))
      return;
    const std::string state = node.m_state;
    node.m_jobs.emplace_back([this, i, info, state] {
      const auto written = At(i).m_store->WriteSnapshot(info, state);
      if (written)
        Step(i, SnapshotTaken{info});
      return true;
    });
  }

  std::deque<Message> m_network;

 private:
  std::size_t IndexOf(const HostId& host) const {
    return static_cast<std::size_t>(host.m_value.at(1) - '0');
  }

  void Start(std::size_t i, const Voters* founding) {
    Node& node = At(i);
    // Small segments, so that schedules cross their ends.
    auto store = Store::Open(storage::FakeDiskRef{node.m_disk.get()},
                             {.m_segment_bytes = 600}, node.m_id.m_folder);
    ASSERT_TRUE(store) << store.error().m_message;
    node.m_store.emplace(std::move(store).value());
    if (founding != nullptr) {
      ASSERT_TRUE(node.m_store->Found(*founding));
      node.m_store.reset();
      Start(i, nullptr);
      return;
    }
    m_receiving.erase(i);
    const storage::RecoveredLog log = node.m_store->TakeRecovered();
    LoadState(i, log.m_snapshot.value_or(SnapshotInfo{}));
    ReplicaOptions options = m_options;
    options.m_random_seed = MixHash(i + 1, log.m_identity.m_starts);
    node.m_replica.emplace(
        node.m_id, options,
        RestoredState{log.m_state, log.m_snapshot, log.m_entries}, m_now);
  }

  void LoadState(std::size_t i, const SnapshotInfo& info) {
    Node& node = At(i);
    node.m_applied = info.m_last_index;
    node.m_state.clear();
    if (info.m_last_index > 0)
      node.m_state =
          node.m_store->ReadSnapshot(info.m_last_index, 0, UINT64_MAX).value();
  }

  void Carry(std::size_t i, Actions actions) {
    Node& node = At(i);
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
    if (actions.m_install) {
      LoadState(i, *actions.m_install);
      ++node.m_installs;
    }
    for (const LogEntry& entry : actions.m_apply)
      Apply(&node, entry);
    for (const std::uint64_t token : actions.m_reads) {
      EXPECT_GE(node.m_applied, m_read_floor[token]) << "stale read";
      node.m_answered_reads.insert(token);
    }
    node.m_accepted.insert(node.m_accepted.end(), actions.m_accepted.begin(),
                           actions.m_accepted.end());
    node.m_refused.insert(node.m_refused.end(), actions.m_refused.begin(),
                          actions.m_refused.end());
    node.m_foreign = node.m_foreign || actions.m_foreign;
  }

  void CheckRole(std::size_t i, const RoleChange& change) {
    At(i).m_lost_quorum = At(i).m_lost_quorum || change.m_lost_quorum;
    if (change.m_role != Role::kLeader)
      return;
    const auto [known, first] = m_leaders.emplace(change.m_term, i);
    EXPECT_EQ(known->second, i) << "two leaders in term " << change.m_term;
  }

  void Apply(Node* node, const LogEntry& entry) {
    ASSERT_EQ(entry.m_index, node->m_applied + 1) << "gap or repetition";
    const auto [known, first] = m_committed.emplace(entry.m_index, entry);
    ASSERT_EQ(known->second, entry) << "a committed entry was replaced";
    node->m_applied = entry.m_index;
    // Long enough that a snapshot needs several parts.
    node->m_state = Sha256(node->m_state + entry.m_data) + std::string(64, 's');
  }

  void QueuePersist(std::size_t i, Persist persist) {
    const std::uint64_t number = persist.m_number;
    At(i).m_jobs.emplace_back([this, i, persist = std::move(persist)] {
      const auto appended =
          At(i).m_store->Append(persist.m_state, persist.m_entries);
      Step(i, StorageFull{!appended});
      return appended.has_value();
    });
    // A job of its own, so that a crash can come between append and sync.
    At(i).m_jobs.emplace_back([this, i, number] {
      EXPECT_TRUE(At(i).m_store->Sync());
      Step(i, SyncDone{number});
      return true;
    });
  }

  void QueueSnapshotWrite(std::size_t i, SnapshotWrite write) {
    if (write.m_last)
      m_receiving.insert(i);
    At(i).m_jobs.emplace_back([this, i, write = std::move(write)] {
      Store& store = *At(i).m_store;
      const bool stored = store.WriteReceived(write.m_offset, write.m_data) &&
                          (!write.m_last || store.FinishReceive(write.m_info));
      m_receiving.erase(i);
      Step(i, SnapshotWritten{
                  .m_last_index = write.m_info.m_last_index,
                  .m_next_offset = write.m_offset + write.m_data.size(),
                  .m_installed = stored && write.m_last,
                  .m_failed = !stored});
      return true;
    });
  }

  void QueueSnapshotRead(std::size_t i, const SnapshotRead& read) {
    At(i).m_jobs.emplace_back([this, i, read] {
      Store& store = *At(i).m_store;
      const auto total = store.SnapshotBytes(read.m_last_index);
      SnapshotPart part{.m_to = read.m_to,
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
  std::vector<Node> m_nodes;
  MonoTime m_now{};
  std::uint64_t m_token = 0;
  std::set<std::size_t> m_receiving;  // final part on its way to the disk
  std::map<std::uint64_t, std::size_t> m_leaders;       // by term
  std::map<std::uint64_t, LogEntry> m_committed;        // by index
  std::map<std::uint64_t, std::uint64_t> m_read_floor;  // by token
};

}  // namespace jujube::consensus
