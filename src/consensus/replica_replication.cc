// The leader's side of append and snapshot messages in Replica.

#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace jujube::consensus {

FollowerProgress* Replica::ProgressOf(const VoterId& replica) {
  const auto found = m_progress.find(replica);
  return found == m_progress.end() ? nullptr : &found->second;
}

const FollowerProgress* Replica::ProgressOf(const VoterId& replica) const {
  const auto found = m_progress.find(replica);
  return found == m_progress.end() ? nullptr : &found->second;
}

void Replica::SendAppend(const VoterId& to,
                         const FollowerProgress& progress,
                         std::vector<LogEntry> entries) {
  const bool is_sending_snapshot = progress.m_mode == SendMode::kSnapshot;
  // While a snapshot is being sent, the message only serves as a heartbeat.
  const std::uint64_t previous_index =
      is_sending_snapshot ? 0 : progress.m_next_index - 1;
  Send(AppendRequest{
      .m_from = m_self,
      .m_to = to,
      .m_term = m_state.m_term,
      .m_previous_index = previous_index,
      .m_previous_term =
          is_sending_snapshot ? 0 : m_log.TermAt(previous_index).value_or(0),
      .m_commit_index = m_commit_index,
      .m_read_round = m_read_round,
      .m_entries = std::move(entries)});
}

void Replica::SendHeartbeats() {
  m_next_heartbeat = m_now + m_options.m_heartbeat;
  for (auto& [member, progress] : m_progress) {
    if (progress.m_mode == SendMode::kSnapshot) {
      SendAppend(member, progress, {});
      // The chunk or its reply was lost; read and send the chunk again.
      if (m_now >= progress.m_chunk_requested_at + m_options.m_election_timeout)
        RequestSnapshotChunk(member, &progress);
      continue;
    }
    if (!m_log.TermAt(progress.m_next_index - 1)) {
      StartSnapshotTransfer(member, &progress);
      SendAppend(member, progress, {});
      continue;
    }
    // The heartbeat follows the last entry sent, so a rejection reveals that an
    // earlier message was lost.
    SendAppend(member, progress, {});
    progress.m_probe_sent = true;
  }
}

void Replica::Replicate() {
  for (auto& [member, progress] : m_progress)
    ReplicateTo(member, &progress);
}

void Replica::ReplicateTo(const VoterId& to, FollowerProgress* progress) {
  if (progress->m_mode == SendMode::kSnapshot)
    return;
  if (!m_log.TermAt(progress->m_next_index - 1)) {
    StartSnapshotTransfer(to, progress);
    return;
  }
  if (progress->m_mode == SendMode::kProbe) {
    if (!std::exchange(progress->m_probe_sent, true))
      SendAppend(to, *progress, {});
    return;
  }
  while (progress->m_next_index <= m_log.LastIndex() &&
         progress->m_in_flight.size() < m_options.m_max_messages_in_flight &&
         progress->m_bytes_in_flight < m_options.m_max_bytes_in_flight) {
    auto entries =
        m_log.Slice(progress->m_next_index, m_options.m_max_message_entries,
                    m_options.m_max_message_bytes);
    FollowerProgress::MessageInFlight message{.m_last_index =
                                                  entries.back().m_index};
    for (const LogEntry& entry : entries)
      message.m_bytes += entry.m_data.size();
    SendAppend(to, *progress, std::move(entries));
    progress->m_next_index = message.m_last_index + 1;
    progress->AddInFlight(message);
  }
}

void Replica::HandleMessage(const AppendReply& reply) {
  FollowerProgress* progress = ProgressOf(reply.m_from);
  if (m_role != Role::kLeader || progress == nullptr)
    return;
  progress->m_last_contact = m_now;
  progress->m_read_round = std::max(progress->m_read_round, reply.m_read_round);
  AdvanceReadRounds();
  if (reply.m_accepted && reply.m_match_index <= m_log.LastIndex()) {
    progress->AdvanceMatch(reply.m_match_index);
    if (progress->m_mode == SendMode::kProbe)
      progress->m_mode = SendMode::kReplicate;
    AdvanceCommitIndex();
  } else if (!reply.m_accepted && progress->m_mode != SendMode::kSnapshot) {
    // The hint skips a whole term and may be below the match index.
    const std::uint64_t hint =
        std::max(reply.m_match_index, progress->m_match_index);
    if (hint + 1 < progress->m_next_index)
      progress->ProbeAfter(hint);
  }
  // A commit can end leadership, which invalidates `progress`.
  if (m_role != Role::kLeader)
    return;
  ReplicateTo(reply.m_from, progress);
  if (m_pending_transfer && m_pending_transfer->m_to == reply.m_from)
    ContinueTransfer();
}

void Replica::StartSnapshotTransfer(const VoterId& to,
                                    FollowerProgress* progress) {
  if (!m_snapshot)
    return;
  progress->m_mode = SendMode::kSnapshot;
  progress->ClearInFlight();
  progress->m_snapshot = *m_snapshot;
  progress->m_snapshot_offset = 0;
  RequestSnapshotChunk(to, progress);
}

void Replica::RequestSnapshotChunk(const VoterId& to,
                                   FollowerProgress* progress) {
  progress->m_chunk_requested_at = m_now;
  m_actions.m_snapshot_reads.push_back(
      {.m_to = to,
       .m_last_index = progress->m_snapshot.m_last_index,
       .m_offset = progress->m_snapshot_offset,
       .m_bytes = m_options.m_snapshot_chunk_bytes});
}

void Replica::HandleEvent(const SnapshotReadDone& event) {
  FollowerProgress* progress = ProgressOf(event.m_to);
  if (m_role != Role::kLeader || progress == nullptr ||
      progress->m_mode != SendMode::kSnapshot ||
      progress->m_snapshot.m_last_index != event.m_last_index ||
      progress->m_snapshot_offset != event.m_offset)
    return;
  if (event.m_missing) {
    if (m_snapshot->m_last_index > event.m_last_index)
      StartSnapshotTransfer(event.m_to, progress);
    return;
  }
  Send(SnapshotChunk{.m_from = m_self,
                     .m_to = event.m_to,
                     .m_term = m_state.m_term,
                     .m_last_index = event.m_last_index,
                     .m_last_term = progress->m_snapshot.m_last_term,
                     .m_voters = progress->m_snapshot.m_voters,
                     .m_offset = event.m_offset,
                     .m_total_bytes = event.m_total_bytes,
                     .m_data = event.m_data});
}

void Replica::HandleMessage(const SnapshotReply& reply) {
  FollowerProgress* progress = ProgressOf(reply.m_from);
  if (m_role != Role::kLeader || progress == nullptr)
    return;
  progress->m_last_contact = m_now;
  if (progress->m_mode != SendMode::kSnapshot ||
      progress->m_snapshot.m_last_index != reply.m_last_index)
    return;
  if (reply.m_installed) {
    progress->AdvanceMatch(reply.m_last_index);
    progress->ProbeAfter(progress->m_match_index);
    AdvanceCommitIndex();
    if (m_role == Role::kLeader)
      ReplicateTo(reply.m_from, progress);
  } else if (reply.m_next_offset != progress->m_snapshot_offset) {
    progress->m_snapshot_offset = reply.m_next_offset;
    RequestSnapshotChunk(reply.m_from, progress);
  }
}

}  // namespace jujube::consensus
