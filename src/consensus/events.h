// Event: an input of Replica::Step.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "consensus/messages.h"
#include "gen/consensus.h"

namespace jujube::consensus {

// Replica::NextDeadline has been reached.
struct Tick {
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

// A message arrived from an authenticated peer.
struct MessageReceived {
  Message m_message;

  friend auto operator<=>(const MessageReceived&,
                          const MessageReceived&) = default;
};

// Replicates a command. Only the leader accepts it.
struct Propose {
  std::uint64_t m_token = 0;  // chosen by the caller, returned in the outcome
  std::string m_data;         // encoded command, up to 16 MiB

  friend auto operator<=>(const Propose&, const Propose&) = default;
};

enum class MembershipStep : std::uint8_t {
  kAddLearner,  // add a replica that receives the log and does not vote
  kPromote,     // turn a learner into a voter
  kRemove,      // remove a voter or learner
};

// Changes the membership by one step. Only the leader accepts it.
struct ChangeMembership {
  std::uint64_t m_token = 0;
  MembershipStep m_step = MembershipStep::kAddLearner;
  VoterId m_replica;

  friend auto operator<=>(const ChangeMembership&,
                          const ChangeMembership&) = default;
};

// Requests a read barrier for a linearizable read. Only the leader accepts it.
struct ReadBarrier {
  std::uint64_t m_token = 0;

  friend auto operator<=>(const ReadBarrier&, const ReadBarrier&) = default;
};

// Transfers leadership to another voter, for example before a planned stop. If
// m_to is empty, the voter with the highest match index is chosen, and of those
// the one that replied last. The token
// appears only in m_refused; an aborted transfer is not reported.
struct TransferLeadership {
  std::uint64_t m_token = 0;
  std::optional<VoterId> m_to;

  friend auto operator<=>(const TransferLeadership&,
                          const TransferLeadership&) = default;
};

// The Persist with this number and all earlier Persists are durable.
struct SyncDone {
  std::uint64_t m_number = 0;

  friend auto operator<=>(const SyncDone&, const SyncDone&) = default;
};

// m_full is true: a Persist failed because the disk is full. False: it has
// succeeded since.
struct StorageFull {
  bool m_full = false;

  friend auto operator<=>(const StorageFull&, const StorageFull&) = default;
};

// A snapshot of this replica's own state machine is durable.
struct SnapshotTaken {
  SnapshotInfo m_info;  // from Replica::AppliedInfo

  friend auto operator<=>(const SnapshotTaken&, const SnapshotTaken&) = default;
};

// Result of a SnapshotRead.
struct SnapshotReadDone {
  VoterId m_to;                     // as in the SnapshotRead
  std::uint64_t m_last_index = 0;   // as in the SnapshotRead
  std::uint64_t m_offset = 0;       // as in the SnapshotRead
  std::uint64_t m_total_bytes = 0;  // size of the whole snapshot
  std::string m_data;               // bytes of the chunk
  bool m_missing = false;           // the snapshot has been deleted

  friend auto operator<=>(const SnapshotReadDone&,
                          const SnapshotReadDone&) = default;
};

// Result of a SnapshotWrite.
struct SnapshotWritten {
  std::uint64_t m_last_index = 0;   // as in the SnapshotWrite
  std::uint64_t m_next_offset = 0;  // bytes written so far
  bool m_installed = false;         // the whole snapshot is durable
  bool m_failed = false;            // not written: the disk is full

  friend auto operator<=>(const SnapshotWritten&,
                          const SnapshotWritten&) = default;
};

using Event = std::variant<Tick,
                           MessageReceived,
                           Propose,
                           ChangeMembership,
                           ReadBarrier,
                           TransferLeadership,
                           SyncDone,
                           StorageFull,
                           SnapshotTaken,
                           SnapshotReadDone,
                           SnapshotWritten>;

}  // namespace jujube::consensus
