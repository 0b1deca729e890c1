// Actions: the work that Replica::Step returns to its caller. Section 2 of
// consensus/replica.h gives the order of execution.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/messages.h"
#include "core/error.h"
#include "gen/consensus.h"

namespace jujube::consensus {

enum class Role : std::uint8_t {
  kFollower,
  kPreCandidate,  // runs a pre-vote before it raises its term
  kCandidate,
  kLeader,
};

struct RoleChange {
  Role m_role = Role::kFollower;
  std::uint64_t m_term = 0;
  std::optional<VoterId> m_leader;  // if known
  // A leader stepped down because a majority did not reply in time.
  bool m_lost_quorum = false;

  friend auto operator<=>(const RoleChange&, const RoleChange&) = default;
};

// Append to the log and sync, then report SyncDone. Execute Persists in the
// order of m_number.
struct Persist {
  std::uint64_t m_number = 0;
  std::optional<HardState> m_state;
  // Replace all stored entries from the index of the first one on.
  std::vector<LogEntry> m_entries;

  friend auto operator<=>(const Persist&, const Persist&) = default;
};

// Append a received snapshot chunk to the file, then report SnapshotWritten. A
// chunk with offset 0 discards what was received before.
struct SnapshotWrite {
  SnapshotInfo m_info;
  std::uint64_t m_offset = 0;
  std::string m_data;
  bool m_is_last_chunk = false;  // sync the snapshot before the report

  friend auto operator<=>(const SnapshotWrite&, const SnapshotWrite&) = default;
};

// Read a chunk of a stored snapshot, then report SnapshotReadDone.
struct SnapshotRead {
  VoterId m_to;
  std::uint64_t m_last_index = 0;
  std::uint64_t m_offset = 0;
  std::uint64_t m_bytes = 0;

  friend auto operator<=>(const SnapshotRead&, const SnapshotRead&) = default;
};

// A proposal or membership change was appended to the leader's log. It is
// committed once an entry with this index and term appears in m_apply. An
// applied entry with this index and another term means that the proposal was
// lost. If the role changes first, the outcome is unknown.
struct AcceptedProposal {
  std::uint64_t m_token = 0;
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;

  friend auto operator<=>(const AcceptedProposal&,
                          const AcceptedProposal&) = default;
};

// The request was rejected without any effect.
struct RefusedRequest {
  std::uint64_t m_token = 0;
  Error m_error;

  friend auto operator<=>(const RefusedRequest&,
                          const RefusedRequest&) = default;
};

struct Actions {
  // The last role change of this Step; earlier ones are not reported.
  std::optional<RoleChange> m_role;
  std::optional<Persist> m_persist;
  std::vector<Message> m_send;  // delivery may lose, repeat or reorder them
  std::optional<SnapshotWrite> m_snapshot_write;
  std::vector<SnapshotRead> m_snapshot_reads;
  // Load this snapshot before m_apply.
  std::optional<SnapshotInfo> m_install_snapshot;
  std::vector<LogEntry> m_apply;  // committed entries in order, each one once
  std::vector<AcceptedProposal> m_accepted;
  std::vector<RefusedRequest> m_refused;
  // Tokens of completed reads; the state after m_apply is current for them.
  std::vector<std::uint64_t> m_completed_reads;
  // Sender of a dropped message to another folder identity of this host.
  std::optional<VoterId> m_wrong_folder_sender;

  friend bool operator==(const Actions&, const Actions&) = default;
};

}  // namespace jujube::consensus
