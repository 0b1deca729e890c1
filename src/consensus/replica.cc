// Dispatch of events, persistence and applying entries. The rest of Replica is
// in replica_election.cc, replica_leader.cc, replica_replication.cc and
// replica_follower.cc.

#include "consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/result.h"
#include "gen/consensus_wire.h"

namespace jujube::consensus {

namespace {

// Limit of LogEntry in the schema.
constexpr std::size_t kMaxEntryBytes = 16U << 20U;

std::uint64_t LastIndexOf(const RestoredState& restored) {
  if (!restored.m_entries.empty())
    return restored.m_entries.back().m_index;
  return restored.m_snapshot ? restored.m_snapshot->m_last_index : 0;
}

}  // namespace

Replica::Replica(VoterId self,
                 const ReplicaOptions& options,
                 const RestoredState& restored,
                 MonoTime now)
    : m_self(std::move(self)),
      m_options(options),
      m_now(now),
      m_random_state(options.m_random_seed),
      m_state(restored.m_state),
      m_issued_state(restored.m_state),
      m_log(0, 0),
      m_membership(0, {}),
      m_snapshot(restored.m_snapshot),
      m_persist_queue(LastIndexOf(restored)),
      m_commit_index(0),
      m_applied_index(0) {
  if (m_snapshot) {
    m_log.Reset(m_snapshot->m_last_index, m_snapshot->m_last_term);
    m_membership =
        MembershipLog(m_snapshot->m_last_index, m_snapshot->m_voters);
    m_commit_index = m_snapshot->m_last_index;
    m_applied_index = m_snapshot->m_last_index;
  }
  for (const LogEntry& entry : restored.m_entries)
    AppendToLog(entry);
  ResetElectionTimer();
}

Actions Replica::Step(MonoTime now, const Event& event) {
  m_now = now;
  // Check before the event: a leader that was suspended may have been replaced
  // meanwhile and must not act on the event.
  CheckQuorum();
  std::visit([this](const auto& typed_event) { HandleEvent(typed_event); },
             event);
  FinishStep();
  return std::exchange(m_actions, {});
}

MonoTime Replica::NextDeadline() const {
  return m_role == Role::kLeader ? m_next_heartbeat : m_election_deadline;
}

SnapshotInfo Replica::AppliedInfo() const {
  return {.m_last_index = m_applied_index,
          .m_last_term = m_log.TermAt(m_applied_index).value_or(0),
          .m_voters = m_membership.At(m_applied_index)};
}

ReplicaStatus Replica::Status() const {
  return {.m_role = m_role,
          .m_term = m_state.m_term,
          .m_leader = m_leader,
          .m_first_index = m_log.BaseIndex() + 1,
          .m_last_index = m_log.LastIndex(),
          .m_synced_index = m_persist_queue.SyncedIndex(),
          .m_commit_index = m_commit_index,
          .m_applied_index = m_applied_index,
          .m_voters = m_membership.Current(),
          .m_current_at = m_current_at};
}

void Replica::HandleEvent(const Tick& /*event*/) {
  if (m_role == Role::kLeader) {
    TickLeader();
    return;
  }
  if (m_now < m_election_deadline)
    return;
  if (IsVoter(m_membership.Current(), m_self))
    StartElection(true, false);
  else
    ResetElectionTimer();
}

void Replica::HandleEvent(const MessageReceived& event) {
  DispatchMessage(event.m_message);
}

// Replies to a leader of an older term with the current term, so that it steps
// down.
void Replica::ReplyToStaleMessage(const Message& message) {
  const bool from_leader = std::holds_alternative<AppendRequest>(message) ||
                           std::holds_alternative<SnapshotChunk>(message);
  if (from_leader) {
    SendAfterSync(AppendReply{
        .m_from = m_self, .m_to = SenderOf(message), .m_term = m_state.m_term});
  }
}

void Replica::DispatchMessage(const Message& message) {
  if (ReceiverOf(message) != m_self) {
    m_actions.m_wrong_folder_sender = SenderOf(message);
    return;
  }
  // A vote request raises the term only after further checks. A granted
  // pre-vote carries the term of the planned election, which has not started
  // yet.
  if (const auto* request = std::get_if<VoteRequest>(&message)) {
    HandleMessage(*request);
    return;
  }
  const auto* vote = std::get_if<VoteReply>(&message);
  const bool pre_vote_granted =
      vote != nullptr && vote->m_pre_vote && vote->m_granted;
  const std::uint64_t term = TermOf(message);
  if (!pre_vote_granted && term > m_state.m_term)
    BecomeFollower(term, std::nullopt);
  if (term < m_state.m_term) {
    ReplyToStaleMessage(message);
    return;
  }
  std::visit(
      [this](const auto& typed_message) { HandleMessage(typed_message); },
      message);
}

void Replica::HandleEvent(const Propose& event) {
  if (!EnsureAcceptsProposals(event.m_token))
    return;
  if (event.m_data.size() > kMaxEntryBytes) {
    RefuseRequest(event.m_token, ErrorCode::kInvalidInput,
                  "command size is " + std::to_string(event.m_data.size()) +
                      " bytes; the limit is " + std::to_string(kMaxEntryBytes));
    return;
  }
  const std::size_t uncommitted_bytes = m_log.BytesAfter(m_commit_index);
  if (uncommitted_bytes + event.m_data.size() >
          m_options.m_max_uncommitted_bytes &&
      uncommitted_bytes > 0) {
    RefuseRequest(event.m_token, ErrorCode::kUnavailable,
                  "too much uncommitted data in the log");
    return;
  }
  if (m_log.Bytes() + event.m_data.size() > m_options.m_max_log_bytes &&
      m_log.Bytes() > m_options.m_retained_bytes) {
    RefuseRequest(event.m_token, ErrorCode::kUnavailable,
                  "the log is full until a snapshot is stored");
    return;
  }
  AppendToLog({.m_index = m_log.LastIndex() + 1,
               .m_term = m_state.m_term,
               .m_kind = EntryKind::kCommand,
               .m_data = event.m_data});
  m_actions.m_accepted.push_back({.m_token = event.m_token,
                                  .m_index = m_log.LastIndex(),
                                  .m_term = m_state.m_term});
  Replicate();
}

void Replica::HandleEvent(const SyncDone& event) {
  for (Message& message : m_persist_queue.CompleteUpTo(event.m_number)) {
    // A candidate sends its own vote to itself, so that the vote counts only
    // once it is durable.
    if (ReceiverOf(message) == m_self)
      DispatchMessage(message);
    else
      Send(std::move(message));
  }
  AdvanceCommitIndex();
}

void Replica::HandleEvent(const StorageFull& event) {
  m_storage_full = event.m_full;
}

void Replica::HandleEvent(const SnapshotTaken& event) {
  const std::uint64_t index = event.m_info.m_last_index;
  if (m_snapshot && index <= m_snapshot->m_last_index)
    return;
  assert(index <= m_applied_index && "a snapshot covers only applied entries");
  m_snapshot = event.m_info;
  const std::uint64_t base = m_log.BaseWithin(
      index, m_options.m_retained_entries, m_options.m_retained_bytes);
  m_log.CompactTo(base);
  m_membership.CompactTo(base);
}

void Replica::Send(Message message) {
  m_actions.m_send.push_back(std::move(message));
}

void Replica::SendAfterSync(Message message) {
  m_messages_after_sync.push_back(std::move(message));
}

void Replica::AppendToLog(LogEntry entry) {
  if (entry.m_kind == EntryKind::kVoters) {
    auto voters = DecodeVoters(entry.m_data);
    if (voters)
      m_membership.Append(entry.m_index, std::move(voters).value());
  }
  m_log.Append(std::move(entry));
}

void Replica::TruncateLogFrom(std::uint64_t index) {
  assert(index > m_commit_index && "committed entries are never replaced");
  m_log.TruncateFrom(index);
  m_membership.TruncateFrom(index);
  m_persist_queue.TruncateFrom(index);
}

// Applies only entries that are durable on this replica, so that a snapshot of
// the applied state is never ahead of the log on disk.
void Replica::ApplyCommittedEntries() {
  const std::uint64_t end =
      std::min(m_commit_index, m_persist_queue.SyncedIndex());
  while (m_applied_index < end)
    m_actions.m_apply.push_back(m_log.At(++m_applied_index));
}

// Until a leader has committed an entry of its term, its commit index may be
// behind entries that an earlier leader committed.
void Replica::UpdateCurrentTime() {
  const bool is_leader = m_role == Role::kLeader;
  const std::uint64_t required_index =
      is_leader ? m_commit_index : m_leader_commit_index;
  if (!m_leader || m_applied_index < required_index ||
      m_log.TermAt(m_applied_index) != m_state.m_term)
    return;
  m_current_at = std::max(
      m_current_at, is_leader ? LastQuorumContact() : m_last_leader_contact);
}

void Replica::FinishStep() {
  ApplyCommittedEntries();
  UpdateCurrentTime();
  CompleteReads();
  const bool state_changed = m_state != m_issued_state;
  const std::uint64_t first_new_index = m_persist_queue.NextIndex();
  if (state_changed || first_new_index <= m_log.LastIndex()) {
    Persist persist;
    if (state_changed)
      persist.m_state = m_state;
    for (std::uint64_t index = first_new_index; index <= m_log.LastIndex();
         ++index)
      persist.m_entries.push_back(m_log.At(index));
    persist.m_number = m_persist_queue.Issue(m_log.LastIndex());
    m_issued_state = m_state;
    m_actions.m_persist = std::move(persist);
  }
  for (Message& message : std::exchange(m_messages_after_sync, {})) {
    if (m_persist_queue.IsIdle())
      Send(std::move(message));
    else
      m_persist_queue.DelayUntilSynced(std::move(message));
  }
}

void Replica::RefuseRequest(std::uint64_t token,
                            ErrorCode code,
                            std::string message) {
  m_actions.m_refused.push_back(
      {.m_token = token, .m_error = MakeError(code, std::move(message))});
}

}  // namespace jujube::consensus
