// Replica: one member of the replicated log, as a deterministic state machine.
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
//   storage::RecoveredLog log = store.TakeRecovered();
//   const VoterId self{settings.m_host, log.m_identity.m_folder};
//   Replica replica(self, options,
//                   {log.m_state, log.m_snapshot, log.m_entries}, now);
//   Actions actions = replica.Step(now, Tick{});
//
// The caller loads the state machine from the newest snapshot before it
// applies anything. Step takes one event and returns what has to be done.
// There is no other way to change a replica, and the same events give the same
// actions. A Replica belongs to one thread and neither blocks nor reads a
// clock. `now` must not decrease and must count suspended time (MonoClock).
// Sleep until NextDeadline, then pass a Tick.
//
// 2. Order of actions
//
// Carry the members of Actions out in their order. Messages in m_send need
// nothing to be durable; those that do are returned by a later SyncDone. The
// disk work (m_persist, m_snapshot_write, m_snapshot_reads) may run on another
// thread, in the order in which it was returned:
//
//   m_persist          store.Append, store.Sync        -> SyncDone
//   m_snapshot_write   WriteReceived; if m_last, FinishReceive
//                                                      -> SnapshotWritten
//   m_snapshot_reads   ReadSnapshot, SnapshotBytes     -> SnapshotPart
//
// If the store reports a full disk for a Persist, pass StorageFull{true} and
// repeat the same Persist before any later one. Pass StorageFull{false} when
// it has succeeded, then SyncDone. For a SnapshotWrite report m_failed; the
// leader sends the part again. Any other fault ends the process.
//
// A message is sent to the host of its receiver; drop it if that host is not
// connected or its queue is full. Pass on only messages whose sender is the
// authenticated peer that was accepted by StartRegistry.
//
// 3. Proposals, reads and transfer
//
// Propose is answered by m_accepted or m_refused with the same token. Accepted
// does not mean committed: wait until the entry appears in m_apply with the
// same index and term. Entries of kind Blank and Voters appear in m_apply too
// and carry no command. If m_role reports that this replica no longer leads,
// the outcome of a proposal that was not applied yet is unknown.
//
// Read gives its token in m_reads once a majority has confirmed the leader;
// the state after m_apply of the same Actions is then current. It is refused
// if leadership is lost first. Reads that arrive together share a round.
//
// Transfer starts a handover; during it proposals are refused. It succeeded
// when m_role names another leader. It is given up after an election timeout.
//
// 4. Membership
//
// A replica is a host with the identity of its data folder; messages to another
// folder on the same host are dropped (m_foreign). An empty folder calls
// DecideFounding (consensus/founding.h). ChangeMembership takes one step at a
// time and is refused while the previous one is not committed:
//   - kAddLearner: the replica receives the log;
//   - kPromote: refused until the learner durably holds the entry with which it
//     joined, and with it everything that was committed then; also refused
//     while another folder of the same host is a voter;
//   - kRemove: a leader that removes itself steps down once that is committed.
// To replace a lost disk: add the new identity, remove the old one, promote.
//
// 5. Snapshots
//
// When enough entries were applied, store a snapshot of the state machine with
// info = AppliedInfo(), taken together with the state, and report
// SnapshotTaken{info} when it is durable. Entries before it are then dropped
// from memory. Do not take one between a SnapshotWrite with m_last and its
// SnapshotWritten. A replica behind the leader's log gets m_install: load that
// snapshot, then continue with m_apply.
//
// 6. Failures
//
// A leader that hears from no majority for an election timeout steps down and
// reports m_lost_quorum. An isolated replica does not raise its term
// (pre-vote), so it does not disturb the others when it returns.

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

  // When the next Tick is due.
  MonoTime NextDeadline() const;

  // Position and membership that a snapshot of the applied state covers.
  SnapshotInfo AppliedInfo() const;

  const VoterId& Self() const { return m_self; }
  ReplicaStatus Status() const;

 private:
  struct WaitingRead {
    std::uint64_t m_token = 0;
    std::uint64_t m_index = 0;  // must be applied
    std::uint64_t m_round = 0;  // must be confirmed
  };
  struct Handover {
    VoterId m_to;
    MonoTime m_deadline{};
  };
  struct Reception {
    VoterId m_from;
    std::uint64_t m_term = 0;
    SnapshotInfo m_info;
    std::uint64_t m_next_offset = 0;
    std::uint64_t m_total_bytes = 0;
    bool m_writing = false;  // a part is on its way to the disk
  };

  // replica.cc: events, persistence, application
  void On(const Tick& event);
  void On(const Received& event);
  void On(const Propose& event);
  void On(const ChangeMembership& event);
  void On(const Read& event);
  void On(const Transfer& event);
  void On(const SyncDone& event);
  void On(const StorageFull& event);
  void On(const SnapshotTaken& event);
  void On(const SnapshotPart& event);
  void On(const SnapshotWritten& event);
  void Dispatch(const Message& message);
  void AnswerOldTerm(const Message& message);
  void Send(Message message);
  void SendAfterSync(Message message);
  void Finish();
  void ApplyCommitted();
  void AppendToLog(LogEntry entry);
  void TruncateLog(std::uint64_t index);
  void Refuse(std::uint64_t token, ErrorCode code, std::string message);

  // replica_election.cc
  void Handle(const VoteRequest& request);
  void Handle(const VoteReply& reply);
  void Handle(const TimeoutNow& request);
  void StartElection(bool pre_vote, bool transfer);
  void RequestVotes(bool pre_vote, bool transfer);
  void CountVotes();
  void BecomeFollower(std::uint64_t term, std::optional<VoterId> leader);
  void BecomeLeader();
  void ReportRole(bool lost_quorum = false);
  void ResetElectionTimer();
  bool HearsLeader() const;
  bool LogIsUpToDate(const VoteRequest& request) const;

  // replica_leader.cc
  void CheckQuorum();
  void TickLeader();
  void AdvanceCommit();
  void FollowMembership();
  void StartReadRound();
  void ConfirmReads();
  void AnswerReads();
  void FailReads();
  void ContinueHandover();
  bool ProposalsAreOpen(std::uint64_t token);
  std::optional<Error> CheckMembershipChange(
      const ChangeMembership& event) const;
  std::optional<Error> CheckPromotion(const VoterId& replica) const;
  std::uint64_t QuorumValue(std::vector<std::uint64_t> values) const;

  // replica_replication.cc: the leader's side of append and snapshot messages
  void Handle(const AppendReply& reply);
  void Handle(const SnapshotReply& reply);
  void Replicate();
  void ReplicateTo(const VoterId& to, FollowerProgress* progress);
  void SendAppend(const VoterId& to,
                  const FollowerProgress& progress,
                  std::vector<LogEntry> entries);
  void SendHeartbeats();
  void StartSnapshot(const VoterId& to, FollowerProgress* progress);
  void ReadSnapshotPart(const VoterId& to, FollowerProgress* progress);
  FollowerProgress* ProgressOf(const VoterId& replica);

  // replica_follower.cc
  void Handle(const AppendRequest& request);
  void Handle(const SnapshotChunk& chunk);
  void HearLeader(const VoterId& leader);
  std::uint64_t MismatchHint(const AppendRequest& request) const;
  void TakeEntries(const std::vector<LogEntry>& entries);
  void ReplySnapshot(const VoterId& to,
                     std::uint64_t last_index,
                     std::uint64_t next_offset,
                     bool installed);
  void InstallSnapshot(const SnapshotInfo& info);

  VoterId m_self;
  ReplicaOptions m_options;
  MonoTime m_now;
  std::uint64_t m_random;

  Role m_role = Role::kFollower;
  HardState m_state;
  HardState m_issued_state;  // last one that was handed to the disk
  std::optional<VoterId> m_leader;
  MonoTime m_leader_contact{};
  MonoTime m_election_deadline{};

  LogWindow m_log;
  MembershipLog m_membership;
  std::optional<SnapshotInfo> m_snapshot;  // newest durable one
  PersistQueue m_persists;
  std::uint64_t m_commit;
  std::uint64_t m_applied;
  bool m_storage_full = false;
  std::optional<Reception> m_reception;

  std::set<VoterId> m_votes;  // candidate

  std::map<VoterId, FollowerProgress> m_progress;  // leader
  MonoTime m_next_heartbeat{};
  std::uint64_t m_term_start = 0;  // first entry of the leader's term
  std::uint64_t m_read_round = 0;
  std::uint64_t m_confirmed_round = 0;
  std::vector<WaitingRead> m_reads;
  std::optional<Handover> m_handover;

  Actions m_actions;                  // of the current Step
  std::vector<Message> m_after_sync;  // sent by the current Step
};

}  // namespace jujube::consensus
