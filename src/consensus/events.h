// Event: everything that a Replica reacts to.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "consensus/messages.h"
#include "gen/consensus.h"

namespace jujube::consensus {

// Time has passed; due at Replica::NextDeadline.
struct Tick {
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

// A message arrived from a peer that was authenticated.
struct Received {
  Message m_message;

  friend auto operator<=>(const Received&, const Received&) = default;
};

// Asks the leader to replicate a command.
struct Propose {
  std::uint64_t m_token = 0;  // chosen by the caller, repeated in the outcome
  std::string m_data;         // encoded command, up to 16 MiB

  friend auto operator<=>(const Propose&, const Propose&) = default;
};

enum class MembershipStep : std::uint8_t {
  kAddLearner,  // receives the log, has no vote
  kPromote,     // a learner becomes a voter
  kRemove,      // a voter or learner leaves
};

// Asks the leader for one change of membership.
struct ChangeMembership {
  std::uint64_t m_token = 0;
  MembershipStep m_step = MembershipStep::kAddLearner;
  VoterId m_replica;

  friend auto operator<=>(const ChangeMembership&,
                          const ChangeMembership&) = default;
};

// Asks the leader for a read barrier.
struct Read {
  std::uint64_t m_token = 0;

  friend auto operator<=>(const Read&, const Read&) = default;
};

// Asks the leader to hand over before a planned stop. Without a receiver the
// voter with the longest log is chosen.
struct Transfer {
  std::uint64_t m_token = 0;
  std::optional<VoterId> m_to;

  friend auto operator<=>(const Transfer&, const Transfer&) = default;
};

// The Persist with this number and all earlier ones are durable.
struct SyncDone {
  std::uint64_t m_number = 0;

  friend auto operator<=>(const SyncDone&, const SyncDone&) = default;
};

// The store refused a Persist for lack of space, or accepts them again.
struct StorageFull {
  bool m_full = false;

  friend auto operator<=>(const StorageFull&, const StorageFull&) = default;
};

// A snapshot of the own state machine is durable.
struct SnapshotTaken {
  SnapshotInfo m_info;  // as Replica::AppliedInfo gave it

  friend auto operator<=>(const SnapshotTaken&, const SnapshotTaken&) = default;
};

// Answers a SnapshotRead.
struct SnapshotPart {
  VoterId m_to;                     // as in the SnapshotRead
  std::uint64_t m_last_index = 0;   // as in the SnapshotRead
  std::uint64_t m_offset = 0;       // as in the SnapshotRead
  std::uint64_t m_total_bytes = 0;  // size of the whole snapshot
  std::string m_data;               // the part
  bool m_missing = false;           // the store no longer has the snapshot

  friend auto operator<=>(const SnapshotPart&, const SnapshotPart&) = default;
};

// Answers a SnapshotWrite.
struct SnapshotWritten {
  std::uint64_t m_last_index = 0;   // as in the SnapshotWrite
  std::uint64_t m_next_offset = 0;  // bytes written so far
  bool m_installed = false;         // the last part; the snapshot is durable
  bool m_failed = false;            // not written, for lack of space

  friend auto operator<=>(const SnapshotWritten&,
                          const SnapshotWritten&) = default;
};

using Event = std::variant<Tick,
                           Received,
                           Propose,
                           ChangeMembership,
                           Read,
                           Transfer,
                           SyncDone,
                           StorageFull,
                           SnapshotTaken,
                           SnapshotPart,
                           SnapshotWritten>;

}  // namespace jujube::consensus
