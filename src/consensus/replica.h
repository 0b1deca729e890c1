// Replica: one member of a replicated log (Raft) as a deterministic state
// machine.
//
// Contents
//   1. Use
//   2. Order of actions
//   3. Proposals, reads and transfer
//   4. Membership
//   5. Snapshots
//   6. Failures
//
// 1. Use
//
//   storage::RecoveredLog log = store.TakeRecoveredLog();
//   const VoterId self{settings.m_host, log.m_identity.m_folder};
//   Replica replica(self, options,
//                   {log.m_state, log.m_snapshot, log.m_entries}, now);
//   Actions actions = replica.Step(now, Tick{});  // or any other event
//
// The caller loads the application state from the newest snapshot before it
// applies entries. Step processes one event and returns the actions that the
// caller has to execute. Only Step changes a replica, and the same sequence of
// events gives the same actions. A Replica is not thread-safe; it neither
// blocks nor reads a clock. `now` must not decrease and must include time
// during which the machine was suspended (MonoClock). When NextDeadline is
// reached, pass a Tick.
//
// 2. Order of actions
//
// Execute m_install_snapshot before m_apply, and m_apply before
// m_completed_reads. Messages in m_send may be sent at once, in any order: a
// message that must wait until all Persists issued so far are durable is
// returned by the Step that handles the SyncDone of the last of them. Disk
// operations (m_persist, m_snapshot_write, m_snapshot_reads) may run on another
// thread, in the order of the Steps that returned them, and for one Step in the
// order of this table:
//
//   m_persist          store.Append, store.Sync        -> SyncDone
//   m_snapshot_write   WriteReceivedChunk; if m_is_last_chunk,
//                      InstallReceivedSnapshot         -> SnapshotWritten
//   m_snapshot_reads   ReadSnapshot, SnapshotBytes     -> SnapshotReadDone
//
// If the store reports a full disk for a Persist, pass StorageFull{true} and
// retry the same Persist before any later one. When it has succeeded, pass
// StorageFull{false}, then SyncDone. For a SnapshotWrite, report m_failed; the
// leader sends the chunk again. If a SnapshotRead fails with kNotFound, the
// snapshot was deleted meanwhile: pass SnapshotReadDone with m_missing. On any
// other storage error, end the process.
//
// Send each message to the host of its receiver; drop it if that host is not
// connected or its send queue is full. Pass a received message to Step only if
// its sender is the authenticated peer of the connection and StartRegistry has
// accepted that peer.
//
// 3. Proposals, reads and transfer
//
// The outcome of Propose is in m_accepted or m_refused, with the same token.
// An accepted proposal is not yet committed: wait until the entry appears in
// m_apply with the same index and term. m_apply also contains entries of kind
// Blank and Voters, which carry no command. If m_role reports that this replica
// is no longer the leader, the outcome of proposals not yet applied is unknown.
//
// The token of a ReadBarrier appears in m_completed_reads once a majority has
// confirmed the leader; the state after m_apply of the same Actions is then
// current. The read is refused if leadership is lost first. Reads that arrive
// during a confirmation round share the next round.
//
// TransferLeadership starts a leadership transfer, during which proposals are
// refused. The transfer has succeeded when m_role reports another leader. It is
// aborted after an election timeout. Its token appears only in m_refused; an
// aborted transfer is not reported. A transfer is also refused while the disk
// of the leader is full or another transfer is in progress.
//
// 4. Membership
//
// A replica is identified by its host and the identity of its data folder.
// Messages to another folder on the same host are dropped
// (m_wrong_folder_sender). With an empty folder, call DecideFounding
// (consensus/founding.h) first. ChangeMembership is refused while the previous
// change is not committed:
//   - kAddLearner: the replica starts to receive the log;
//   - kPromote: refused until the learner's durable log includes the entry that
//     added it, and with it everything committed before; also refused while
//     another folder of the same host is a voter;
//   - kRemove: a leader that removes itself steps down once the removal is
//     committed.
// To replace a lost disk, add the new identity as a learner, remove the old
// identity, then promote the new one.
//
// 5. Snapshots
//
// After a number of applied entries, copy the application state and
// info = AppliedInfo() at the same moment, store both as a snapshot, and report
// SnapshotTaken{info} when it is durable. Call AppliedInfo only after
// m_install_snapshot and m_apply of the latest Actions have been executed: Step
// counts an entry as applied when it returns the entry in m_apply. After
// SnapshotTaken, the replica drops older entries from memory, except for the
// last m_retained_entries before the snapshot. Do not store a snapshot between
// a SnapshotWrite with m_is_last_chunk and its SnapshotWritten. A replica that
// lacks entries which the leader has already dropped receives a snapshot: load
// the one in m_install_snapshot, then continue with m_apply.
//
// 6. Failures
//
// A leader that receives no replies from a majority for an election timeout
// steps down and reports m_lost_quorum. m_role holds only the last role change
// of a Step; earlier ones are not reported. Pre-votes keep an isolated replica
// from raising its term, so it does not force an election when it reconnects.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/actions.h"
#include "consensus/events.h"
#include "consensus/follower_progress.h"
#include "consensus/log_window.h"
#include "consensus/membership_log.h"
#include "consensus/persist_queue.h"
#include "consensus/replica_options.h"
#include "consensus/replica_status.h"
#include "consensus/restored_state.h"
#include "core/clock.h"
#include "gen/consensus.h"

namespace jujube::consensus {

class Replica {
 public:
  Replica(VoterId self,
          const ReplicaOptions& options,
          const RestoredState& restored,
          MonoTime now);

  Actions Step(MonoTime now, const Event& event);

  // Time at which the next Tick must be passed.
  MonoTime NextDeadline() const;

  // Log position and membership of the applied state, for a snapshot of it.
  // Call it only after m_install_snapshot and m_apply of the latest Actions
  // have been executed; before that, it is ahead of the application state.
  SnapshotInfo AppliedInfo() const;

  const VoterId& Self() const { return m_self; }
  ReplicaStatus Status() const;
  // Learners that kPromote would accept, except for another folder of the same
  // host that is still a voter. Empty unless this replica leads.
  std::vector<VoterId> CaughtUpLearners() const;

 private:
  struct PendingRead {
    std::uint64_t m_token = 0;
    std::uint64_t m_required_index = 0;  // must be applied first
    std::uint64_t m_required_round = 0;  // must be confirmed first
  };
  struct LeadershipTransfer {
    VoterId m_to;
    MonoTime m_deadline{};
  };
  struct IncomingSnapshot {
    VoterId m_from;
    std::uint64_t m_term = 0;
    SnapshotInfo m_info;
    std::uint64_t m_next_offset = 0;
    std::uint64_t m_total_bytes = 0;
    bool m_is_writing = false;  // a SnapshotWrite is outstanding
  };

  // replica.cc: dispatch of events, persistence, applying entries. Of the
  // HandleEvent overloads, ChangeMembership, ReadBarrier and TransferLeadership
  // are in replica_leader.cc, SnapshotReadDone is in replica_replication.cc and
  // SnapshotWritten is in replica_follower.cc.
  void HandleEvent(const Tick& event);
  void HandleEvent(const MessageReceived& event);
  void HandleEvent(const Propose& event);
  void HandleEvent(const ChangeMembership& event);
  void HandleEvent(const ReadBarrier& event);
  void HandleEvent(const TransferLeadership& event);
  void HandleEvent(const SyncDone& event);
  void HandleEvent(const StorageFull& event);
  void HandleEvent(const SnapshotTaken& event);
  void HandleEvent(const SnapshotReadDone& event);
  void HandleEvent(const SnapshotWritten& event);
  void DispatchMessage(const Message& message);
  void ReplyToStaleMessage(const Message& message);
  void Send(Message message);
  void SendAfterSync(Message message);
  void FinishStep();
  void ApplyCommittedEntries();
  void UpdateCurrentTime();
  void AppendToLog(LogEntry entry);
  void TruncateLogFrom(std::uint64_t index);
  void RefuseRequest(std::uint64_t token, ErrorCode code, std::string message);

  // replica_election.cc
  void HandleMessage(const VoteRequest& request);
  void HandleMessage(const VoteReply& reply);
  void HandleMessage(const TimeoutNow& request);
  // pre_vote: asks for votes without raising the term. transfer: the leader
  // requested the election for a leadership transfer, so voters consider it
  // even while they are in contact with that leader.
  void StartElection(bool pre_vote, bool transfer);
  void RequestVotes(bool pre_vote, bool transfer);
  void CountVotes();
  void BecomeFollower(std::uint64_t term, std::optional<VoterId> leader);
  void BecomeLeader();
  void ReportRole(bool lost_quorum = false);
  void ResetElectionTimer();
  bool HasRecentLeaderContact() const;
  bool IsCandidateLogUpToDate(const VoteRequest& request) const;

  // replica_leader.cc
  void CheckQuorum();
  // Time of the last reply of the slowest member of the fastest majority.
  MonoTime LastQuorumContact() const;
  void TickLeader();
  void AdvanceCommitIndex();
  void UpdateTrackedMembers();
  void StartReadRound();
  void AdvanceReadRounds();
  void CompleteReads();
  void FailPendingReads();
  void ContinueTransfer();  // of leadership
  bool EnsureAcceptsProposals(std::uint64_t token);
  std::optional<Error> CheckMembershipChange(
      const ChangeMembership& event) const;
  std::optional<Error> CheckPromotion(const VoterId& replica) const;
  std::optional<Error> CheckCaughtUp(const VoterId& learner) const;
  template <class T>
  static T HighestQuorumValue(std::vector<T> values);

  // replica_replication.cc: leader's side of append and snapshot messages
  void HandleMessage(const AppendReply& reply);
  void HandleMessage(const SnapshotReply& reply);
  void Replicate();
  void ReplicateTo(const VoterId& to, FollowerProgress* progress);
  void SendAppend(const VoterId& to,
                  const FollowerProgress& progress,
                  std::vector<LogEntry> entries);
  void SendHeartbeats();
  void StartSnapshotTransfer(const VoterId& to, FollowerProgress* progress);
  void RequestSnapshotChunk(const VoterId& to, FollowerProgress* progress);
  FollowerProgress* ProgressOf(const VoterId& replica);
  const FollowerProgress* ProgressOf(const VoterId& replica) const;

  // replica_follower.cc: follower's side of the same messages
  void HandleMessage(const AppendRequest& request);
  void HandleMessage(const SnapshotChunk& chunk);
  void FollowLeader(const VoterId& leader);
  std::uint64_t NextProbeHint(const AppendRequest& request) const;
  void MergeEntries(const std::vector<LogEntry>& entries);
  void SendSnapshotReply(const VoterId& to,
                         std::uint64_t last_index,
                         std::uint64_t next_offset,
                         bool installed);
  void InstallSnapshot(const SnapshotInfo& info);

  VoterId m_self;
  ReplicaOptions m_options;
  MonoTime m_now;  // time of the current Step
  std::uint64_t m_random_state;

  Role m_role = Role::kFollower;
  HardState m_state;         // current term and vote
  HardState m_issued_state;  // last one included in a Persist
  std::optional<VoterId> m_leader;
  MonoTime m_last_leader_contact{};
  MonoTime m_election_deadline{};

  LogWindow m_log;
  MembershipLog m_membership;
  std::optional<SnapshotInfo> m_snapshot;  // newest durable snapshot
  PersistQueue m_persist_queue;
  std::uint64_t m_commit_index;
  // Highest index returned in m_apply or covered by a loaded snapshot.
  std::uint64_t m_applied_index;
  std::uint64_t m_leader_commit_index = 0;  // highest one in an AppendRequest
  MonoTime m_current_at{};                  // see ReplicaStatus
  bool m_storage_full = false;
  std::optional<IncomingSnapshot> m_incoming_snapshot;

  std::set<VoterId> m_granted_votes;  // of a candidate or pre-candidate

  // State of a leader.
  std::map<VoterId, FollowerProgress> m_progress;  // of the other members
  MonoTime m_next_heartbeat{};
  std::uint64_t m_term_start_index = 0;  // first entry of the leader's term
  std::uint64_t m_read_round = 0;        // newest read round started
  std::uint64_t m_confirmed_read_round = 0;
  std::vector<PendingRead> m_pending_reads;
  std::optional<LeadershipTransfer> m_pending_transfer;  // of leadership

  Actions m_actions;  // result of the current Step
  // Messages of the current Step that must not be sent before all Persists
  // issued so far are durable.
  std::vector<Message> m_messages_after_sync;
};

}  // namespace jujube::consensus
