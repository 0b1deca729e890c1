// The follower's side of append and snapshot messages in Replica.

#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace jujube::consensus {

namespace {

// Whether the entries have consecutive indexes; a message of a faulty peer may
// not.
bool EntriesFollow(const AppendRequest& request) {
  std::uint64_t index = request.m_previous_index;
  return std::all_of(
      request.m_entries.begin(), request.m_entries.end(),
      [&](const LogEntry& entry) { return entry.m_index == ++index; });
}

}  // namespace

void Replica::HearLeader(const VoterId& leader) {
  if (m_role != Role::kFollower || m_leader != leader)
    BecomeFollower(m_state.m_term, leader);
  m_leader_contact = m_now;
  ResetElectionTimer();
}

// Where the leader should look next: before all entries of the term that does
// not match, since probably none of them does.
std::uint64_t Replica::MismatchHint(const AppendRequest& request) const {
  if (request.m_previous_index > m_log.LastIndex())
    return m_log.LastIndex();
  std::uint64_t index = request.m_previous_index;
  const auto term = m_log.TermAt(index);
  while (index > m_commit && m_log.TermAt(index) == term)
    --index;
  return index;
}

void Replica::TakeEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.m_index <= m_commit)
      continue;
    if (m_log.TermAt(entry.m_index) == entry.m_term)
      continue;
    if (entry.m_index <= m_log.LastIndex())
      TruncateLog(entry.m_index);
    AppendToLog(entry);
  }
}

void Replica::Handle(const AppendRequest& request) {
  if (m_role == Role::kLeader || !EntriesFollow(request))
    return;
  HearLeader(request.m_from);
  AppendReply reply{.m_from = m_self,
                    .m_to = request.m_from,
                    .m_term = m_state.m_term,
                    .m_read_round = request.m_read_round};
  // Committed entries match in every log, so their terms are not compared.
  const bool matches =
      request.m_previous_index <= m_commit ||
      m_log.TermAt(request.m_previous_index) == request.m_previous_term;
  if (matches) {
    TakeEntries(request.m_entries);
    reply.m_accepted = true;
    reply.m_match_index = request.m_previous_index + request.m_entries.size();
    m_commit = std::max(m_commit,
                        std::min(request.m_commit_index, reply.m_match_index));
  } else {
    reply.m_match_index = MismatchHint(request);
  }
  SendAfterSync(std::move(reply));
}

void Replica::ReplySnapshot(const VoterId& to,
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

void Replica::Handle(const SnapshotChunk& chunk) {
  if (m_role == Role::kLeader)
    return;
  HearLeader(chunk.m_from);
  const bool writing = m_reception && m_reception->m_writing;
  if (writing)
    return;  // a repeated part; the leader repeats it if it is still needed
  if (chunk.m_last_index <= m_applied) {
    ReplySnapshot(chunk.m_from, chunk.m_last_index, chunk.m_total_bytes, true);
    return;
  }
  const SnapshotInfo info{.m_last_index = chunk.m_last_index,
                          .m_last_term = chunk.m_last_term,
                          .m_voters = chunk.m_voters};
  // Two leaders may encode the same state differently, so parts of different
  // senders are not mixed.
  const bool same = m_reception && m_reception->m_from == chunk.m_from &&
                    m_reception->m_term == chunk.m_term &&
                    m_reception->m_info == info &&
                    m_reception->m_total_bytes == chunk.m_total_bytes;
  if (!same) {
    m_reception = Reception{.m_from = chunk.m_from,
                            .m_term = chunk.m_term,
                            .m_info = info,
                            .m_total_bytes = chunk.m_total_bytes};
  }
  if (chunk.m_offset != m_reception->m_next_offset) {
    ReplySnapshot(chunk.m_from, chunk.m_last_index, m_reception->m_next_offset,
                  false);
    return;
  }
  const std::uint64_t end = chunk.m_offset + chunk.m_data.size();
  m_reception->m_writing = true;
  m_actions.m_snapshot_write =
      SnapshotWrite{.m_info = info,
                    .m_offset = chunk.m_offset,
                    .m_data = chunk.m_data,
                    .m_last = end >= chunk.m_total_bytes};
}

void Replica::On(const SnapshotWritten& event) {
  if (!m_reception || m_reception->m_info.m_last_index != event.m_last_index)
    return;
  m_reception->m_writing = false;
  // The leader repeats the part after an election timeout.
  if (event.m_failed)
    return;
  m_reception->m_next_offset = event.m_next_offset;
  const Reception reception = *m_reception;
  if (event.m_installed) {
    m_reception.reset();
    InstallSnapshot(reception.m_info);
  }
  ReplySnapshot(reception.m_from, event.m_last_index, event.m_next_offset,
                event.m_installed);
}

void Replica::InstallSnapshot(const SnapshotInfo& info) {
  const std::uint64_t index = info.m_last_index;
  m_snapshot = info;
  // The log may have caught up while the snapshot was written.
  if (index <= m_applied)
    return;
  if (m_log.TermAt(index) == info.m_last_term) {
    m_log.CompactTo(index);
    m_membership.CompactTo(index);
    m_persists.RaiseTo(index);
  } else {
    m_log.Reset(index, info.m_last_term);
    m_membership = MembershipLog(index, info.m_voters);
    m_persists.ResetTo(index);
  }
  m_commit = std::max(m_commit, index);
  m_applied = index;
  m_actions.m_install = info;
}

}  // namespace jujube::consensus
