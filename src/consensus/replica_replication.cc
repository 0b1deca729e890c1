// The leader's side of append and snapshot messages in Replica.

#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace jujube::consensus {

FollowerProgress* Replica::ProgressOf(const VoterId& replica) {
  const auto found = m_progress.find(replica);
  return found == m_progress.end() ? nullptr : &found->second;
}

void Replica::SendAppend(const VoterId& to,
                         const FollowerProgress& progress,
                         std::vector<LogEntry> entries) {
  const bool snapshot = progress.m_mode == SendMode::kSnapshot;
  // While a snapshot is sent, the message is only a heartbeat.
  const std::uint64_t previous = snapshot ? 0 : progress.m_next - 1;
  Send(AppendRequest{
      .m_from = m_self,
      .m_to = to,
      .m_term = m_state.m_term,
      .m_previous_index = previous,
      .m_previous_term = snapshot ? 0 : m_log.TermAt(previous).value_or(0),
      .m_commit_index = m_commit,
      .m_read_round = m_read_round,
      .m_entries = std::move(entries)});
}

void Replica::SendHeartbeats() {
  m_next_heartbeat = m_now + m_options.m_heartbeat;
  for (auto& [member, progress] : m_progress) {
    if (progress.m_mode == SendMode::kSnapshot) {
      SendAppend(member, progress, {});
      // The part or its answer was lost.
      if (m_now >= progress.m_snapshot_sent + m_options.m_election_timeout)
        ReadSnapshotPart(member, &progress);
      continue;
    }
    if (!m_log.TermAt(progress.m_next - 1)) {
      StartSnapshot(member, &progress);
      SendAppend(member, progress, {});
      continue;
    }
    // At the end of what was sent, so that the answer reveals a loss.
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
  if (!m_log.TermAt(progress->m_next - 1)) {
    StartSnapshot(to, progress);
    return;
  }
  if (progress->m_mode == SendMode::kProbe) {
    if (!std::exchange(progress->m_probe_sent, true))
      SendAppend(to, *progress, {});
    return;
  }
  while (progress->m_next <= m_log.LastIndex() &&
         progress->m_in_flight.size() < m_options.m_max_messages_in_flight) {
    auto entries =
        m_log.Slice(progress->m_next, m_options.m_max_message_entries,
                    m_options.m_max_message_bytes);
    const std::uint64_t last = entries.back().m_index;
    SendAppend(to, *progress, std::move(entries));
    progress->m_next = last + 1;
    progress->m_in_flight.push_back(last);
  }
}

void Replica::Handle(const AppendReply& reply) {
  FollowerProgress* progress = ProgressOf(reply.m_from);
  if (m_role != Role::kLeader || progress == nullptr)
    return;
  progress->m_contact = m_now;
  progress->m_read_round = std::max(progress->m_read_round, reply.m_read_round);
  ConfirmReads();
  if (reply.m_accepted && reply.m_match_index <= m_log.LastIndex()) {
    progress->Confirm(reply.m_match_index);
    if (progress->m_mode == SendMode::kProbe)
      progress->m_mode = SendMode::kReplicate;
    AdvanceCommit();
  } else if (!reply.m_accepted && progress->m_mode != SendMode::kSnapshot) {
    // The hint skips a whole term and may lie below what is confirmed.
    const std::uint64_t hint = std::max(reply.m_match_index, progress->m_match);
    if (hint + 1 < progress->m_next)
      progress->ProbeAfter(hint);
  }
  // A commit can end the leadership, and with it all progress.
  if (m_role != Role::kLeader)
    return;
  ReplicateTo(reply.m_from, progress);
  if (m_handover && m_handover->m_to == reply.m_from)
    ContinueHandover();
}

void Replica::StartSnapshot(const VoterId& to, FollowerProgress* progress) {
  if (!m_snapshot)
    return;
  progress->m_mode = SendMode::kSnapshot;
  progress->m_in_flight.clear();
  progress->m_snapshot = *m_snapshot;
  progress->m_snapshot_offset = 0;
  ReadSnapshotPart(to, progress);
}

void Replica::ReadSnapshotPart(const VoterId& to, FollowerProgress* progress) {
  progress->m_snapshot_sent = m_now;
  m_actions.m_snapshot_reads.push_back(
      {.m_to = to,
       .m_last_index = progress->m_snapshot.m_last_index,
       .m_offset = progress->m_snapshot_offset,
       .m_bytes = m_options.m_snapshot_chunk_bytes});
}

void Replica::On(const SnapshotPart& event) {
  FollowerProgress* progress = ProgressOf(event.m_to);
  if (m_role != Role::kLeader || progress == nullptr ||
      progress->m_mode != SendMode::kSnapshot ||
      progress->m_snapshot.m_last_index != event.m_last_index ||
      progress->m_snapshot_offset != event.m_offset)
    return;
  if (event.m_missing) {
    if (m_snapshot->m_last_index > event.m_last_index)
      StartSnapshot(event.m_to, progress);
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

void Replica::Handle(const SnapshotReply& reply) {
  FollowerProgress* progress = ProgressOf(reply.m_from);
  if (m_role != Role::kLeader || progress == nullptr)
    return;
  progress->m_contact = m_now;
  if (progress->m_mode != SendMode::kSnapshot ||
      progress->m_snapshot.m_last_index != reply.m_last_index)
    return;
  if (reply.m_installed) {
    progress->Confirm(reply.m_last_index);
    progress->ProbeAfter(progress->m_match);
    AdvanceCommit();
    if (m_role == Role::kLeader)
      ReplicateTo(reply.m_from, progress);
  } else if (reply.m_next_offset != progress->m_snapshot_offset) {
    progress->m_snapshot_offset = reply.m_next_offset;
    ReadSnapshotPart(reply.m_from, progress);
  }
}

}  // namespace jujube::consensus
