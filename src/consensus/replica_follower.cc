// The follower's side of append and snapshot messages in Replica.

#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace jujube::consensus {

namespace {

// False for a malformed message with gaps between its entries.
bool HasConsecutiveIndexes(const AppendRequest& request) {
  std::uint64_t index = request.m_previous_index;
  return std::all_of(
      request.m_entries.begin(), request.m_entries.end(),
      [&](const LogEntry& entry) { return entry.m_index == ++index; });
}

}  // namespace

void Replica::FollowLeader(const VoterId& leader) {
  if (m_role != Role::kFollower || m_leader != leader)
    BecomeFollower(m_state.m_term, leader);
  m_last_leader_contact = m_now;
  ResetElectionTimer();
}

// Index at which the leader should probe next. Skips all entries of the term
// that does not match, since probably none of them matches.
std::uint64_t Replica::NextProbeHint(const AppendRequest& request) const {
  if (request.m_previous_index > m_log.LastIndex())
    return m_log.LastIndex();
  std::uint64_t index = request.m_previous_index;
  const auto term = m_log.TermAt(index);
  while (index > m_commit_index && m_log.TermAt(index) == term)
    --index;
  return index;
}

void Replica::MergeEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.m_index <= m_commit_index)
      continue;
    if (m_log.TermAt(entry.m_index) == entry.m_term)
      continue;
    if (entry.m_index <= m_log.LastIndex())
      TruncateLogFrom(entry.m_index);
    AppendToLog(entry);
  }
}

void Replica::HandleMessage(const AppendRequest& request) {
  if (m_role == Role::kLeader || !HasConsecutiveIndexes(request))
    return;
  FollowLeader(request.m_from);
  m_leader_commit_index =
      std::max(m_leader_commit_index, request.m_commit_index);
  AppendReply reply{.m_from = m_self,
                    .m_to = request.m_from,
                    .m_term = m_state.m_term,
                    .m_read_round = request.m_read_round};
  // Committed entries are the same in all logs, so their terms need no check.
  const bool matches =
      request.m_previous_index <= m_commit_index ||
      m_log.TermAt(request.m_previous_index) == request.m_previous_term;
  if (matches) {
    MergeEntries(request.m_entries);
    reply.m_accepted = true;
    reply.m_match_index = request.m_previous_index + request.m_entries.size();
    m_commit_index = std::max(
        m_commit_index, std::min(request.m_commit_index, reply.m_match_index));
  } else {
    reply.m_match_index = NextProbeHint(request);
  }
  SendAfterSync(std::move(reply));
}

void Replica::SendSnapshotReply(const VoterId& to,
                                std::uint64_t last_index,
                                std::uint64_t next_offset,
                                bool installed) {
  SendAfterSync(SnapshotReply{.m_from = m_self,
                              .m_to = to,
                              .m_term = m_state.m_term,
                              .m_last_index = last_index,
                              .m_next_offset = next_offset,
                              .m_installed = installed});
}

void Replica::HandleMessage(const SnapshotChunk& chunk) {
  if (m_role == Role::kLeader)
    return;
  FollowLeader(chunk.m_from);
  const bool is_writing =
      m_incoming_snapshot && m_incoming_snapshot->m_is_writing;
  if (is_writing)
    return;  // usually a duplicate; the leader retries if it needs a reply
  if (chunk.m_last_index <= m_applied_index) {
    SendSnapshotReply(chunk.m_from, chunk.m_last_index, chunk.m_total_bytes,
                      true);
    return;
  }
  const SnapshotInfo info{.m_last_index = chunk.m_last_index,
                          .m_last_term = chunk.m_last_term,
                          .m_voters = chunk.m_voters};
  // Two leaders may encode the same state differently, so chunks from different
  // senders must not be combined.
  const bool continues_transfer =
      m_incoming_snapshot && m_incoming_snapshot->m_from == chunk.m_from &&
      m_incoming_snapshot->m_term == chunk.m_term &&
      m_incoming_snapshot->m_info == info &&
      m_incoming_snapshot->m_total_bytes == chunk.m_total_bytes;
  if (!continues_transfer) {
    m_incoming_snapshot =
        IncomingSnapshot{.m_from = chunk.m_from,
                         .m_term = chunk.m_term,
                         .m_info = info,
                         .m_total_bytes = chunk.m_total_bytes};
  }
  if (chunk.m_offset != m_incoming_snapshot->m_next_offset) {
    SendSnapshotReply(chunk.m_from, chunk.m_last_index,
                      m_incoming_snapshot->m_next_offset, false);
    return;
  }
  const std::uint64_t end_offset = chunk.m_offset + chunk.m_data.size();
  m_incoming_snapshot->m_is_writing = true;
  m_actions.m_snapshot_write =
      SnapshotWrite{.m_info = info,
                    .m_offset = chunk.m_offset,
                    .m_data = chunk.m_data,
                    .m_is_last_chunk = end_offset >= chunk.m_total_bytes};
}

void Replica::HandleEvent(const SnapshotWritten& event) {
  if (!m_incoming_snapshot ||
      m_incoming_snapshot->m_info.m_last_index != event.m_last_index)
    return;
  m_incoming_snapshot->m_is_writing = false;
  // The leader sends the chunk again after an election timeout.
  if (event.m_failed)
    return;
  m_incoming_snapshot->m_next_offset = event.m_next_offset;
  const IncomingSnapshot incoming = *m_incoming_snapshot;
  if (event.m_installed) {
    m_incoming_snapshot.reset();
    InstallSnapshot(incoming.m_info);
  }
  SendSnapshotReply(incoming.m_from, event.m_last_index, event.m_next_offset,
                    event.m_installed);
}

void Replica::InstallSnapshot(const SnapshotInfo& info) {
  const std::uint64_t index = info.m_last_index;
  m_snapshot = info;
  // The entries may have been applied while the snapshot was written.
  if (index <= m_applied_index)
    return;
  if (m_log.TermAt(index) == info.m_last_term) {
    m_log.CompactTo(index);
    m_membership.CompactTo(index);
    m_persist_queue.AdvanceTo(index);
  } else {
    m_log.Reset(index, info.m_last_term);
    m_membership = MembershipLog(index, info.m_voters);
    m_persist_queue.ResetTo(index);
  }
  m_commit_index = std::max(m_commit_index, index);
  m_applied_index = index;
  m_actions.m_install_snapshot = info;
}

}  // namespace jujube::consensus
