// Actions: what the caller of Replica::Step has to do, in the order of the
// members.

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
  kPreCandidate,  // asks whether an election could succeed
  kCandidate,
  kLeader,
};

struct RoleChange {
  Role m_role = Role::kFollower;
  std::uint64_t m_term = 0;
  std::optional<VoterId> m_leader;  // if known
  bool m_lost_quorum = false;       // a leader stepped down for lack of answers

  friend auto operator<=>(const RoleChange&, const RoleChange&) = default;
};

// Append and sync, then report SyncDone. Persists are stored in the order of
// their numbers.
struct Persist {
  std::uint64_t m_number = 0;
  std::optional<HardState> m_state;
  std::vector<LogEntry> m_entries;  // replace the log from the first index on

  friend auto operator<=>(const Persist&, const Persist&) = default;
};

// Append a received part, then report SnapshotWritten. Offset 0 starts over.
struct SnapshotWrite {
  SnapshotInfo m_info;
  std::uint64_t m_offset = 0;
  std::string m_data;
  bool m_last = false;  // make the snapshot durable before the report

  friend auto operator<=>(const SnapshotWrite&, const SnapshotWrite&) = default;
};

// Read a part of a stored snapshot, then report SnapshotPart.
struct SnapshotRead {
  VoterId m_to;
  std::uint64_t m_last_index = 0;
  std::uint64_t m_offset = 0;
  std::uint64_t m_bytes = 0;

  friend auto operator<=>(const SnapshotRead&, const SnapshotRead&) = default;
};

// A proposal or membership change entered the log. It is committed when the
// entry with this index and this term is applied; an entry of another term at
// the index means that it was lost. After a change of role it is unknown.
struct Accepted {
  std::uint64_t m_token = 0;
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;

  friend auto operator<=>(const Accepted&, const Accepted&) = default;
};

// The request had no effect.
struct Refused {
  std::uint64_t m_token = 0;
  Error m_error;

  friend auto operator<=>(const Refused&, const Refused&) = default;
};

struct Actions {
  std::optional<RoleChange> m_role;
  std::optional<Persist> m_persist;
  std::vector<Message> m_send;  // may be lost, repeated or reordered
  std::optional<SnapshotWrite> m_snapshot_write;
  std::vector<SnapshotRead> m_snapshot_reads;
  std::optional<SnapshotInfo> m_install;  // load this snapshot before applying
  std::vector<LogEntry> m_apply;          // committed, in order, each once
  std::vector<Accepted> m_accepted;
  std::vector<Refused> m_refused;
  std::vector<std::uint64_t> m_reads;  // tokens; state after m_apply is current
  bool m_foreign = false;  // a message for another folder identity was dropped

  friend bool operator==(const Actions&, const Actions&) = default;
};

}  // namespace jujube::consensus
