// Replicated state machine of the control daemons.
//
// Every replica applies the same committed commands in the same order and
// reaches the same state, because Apply() reads no clock, no random source and
// no setting. Sections: 1. use, 2. commands, 3. time, 4. reading, 5. snapshots.
//
// 1. Use
//
//   leader                                  every replica
//   ------                                  -------------
//   a request arrives
//   entry = MakeCommand(message, wall_time) (control/command.h)
//   propose(entry) ----- committed -------> result = state.Apply(index, entry)
//   answer from `result`                    publish result.m_change, if any
//
// Only the replica that proposed the command sends an answer, after Apply(). If
// it loses leadership before the command is committed, the outcome is unknown
// and the sender has to retry; every command can be resent safely.
//
//   documents  control::PrepareApply() checks a document, answers a resent one
//              and builds the ApplyCommand (control/proposal.h)
//   drains     DrainCommand, built from a Drain and the operator name
//   claims     ClaimRequest and ClaimFinish, unchanged
//   renewals   RenewCommand from limits::Planner (renewals), limits::LeaseClock
//              (expired_index) and control::HostLeaseMonitor (lost); one
//              command serves all hosts whose requests arrived within a short
//              interval
//   removal    RemoveHostCommand, built from a HostName and the operator name
//   shifts     ShiftCommand from control::ShiftDriver
//
// 2. Commands and their answers (CommandResult.m_answer)
//
//   Apply       ApplyAnswer. The document number must exceed the current one.
//               A resent document (same number and digest) gets the first
//               answer again; the same number with another digest is a
//               conflict, and the answer names the accepted document. A command
//               whose base is no longer in force changes nothing (BaseChanged):
//               call PrepareApply() again.
//   Drain       DrainAnswer. Setting a drain twice changes nothing.
//   Claim       ClaimReply, see control/claim_store.h. Registers the sender if
//               its incarnation is new or its lease was lost. StaleHost if a
//               newer incarnation is registered, an operator removed this one,
//               the document does not contain the host, or the registry is
//               full.
//   Finish      ClaimFinishReply.
//   Renew       RenewAnswers: an AllotmentReply for each accepted renewal.
//               Late, repeated and stale renewals get none. See
//               limits/ledger.h.
//   RemoveHost  RemoveAnswer.
//   Shift       ShiftAnswer. A step that was planned for another feed index
//               changes nothing; the leader plans again.
//
// An entry that cannot be decoded changes only AppliedIndex().
//
// 3. Time
//
// The replicated time is the highest wall time of all commands so far. The age
// of claims is measured on it, so all replicas agree. It never moves back, even
// if a leader with a slower clock takes over. Leases do not depend on it: the
// leader measures them and reports expired ones in a RenewCommand.
//
// 4. Reading
//
// One thread owns the state machine. A read that must return the latest state
// has to pass the read barrier of the log first. FeedState and FeedChange are
// sent to entry hosts. If a change is too large for one message, CommandResult
// has m_feed_changed set but no m_change, and subscribers need the whole
// FeedState.
//
// 5. Snapshots
//
// A state machine can be copied; the copy shares the document. SnapshotWriter
// and SnapshotLoader (control/snapshot.h) write and load it.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "control/claim_store.h"
#include "control/configuration.h"
#include "control/host_registry.h"
#include "core/result.h"
#include "gen/allotments.h"
#include "gen/control.h"
#include "gen/feed.h"
#include "limits/ledger.h"
#include "limits/topology.h"

namespace jujube::control {

// Answer to one renewal.
struct RenewAnswer {
  HostId m_host;
  std::uint64_t m_incarnation = 0;
  AllotmentReply m_reply;

  friend auto operator<=>(const RenewAnswer&, const RenewAnswer&) = default;
};

using RenewAnswers = std::vector<RenewAnswer>;

struct RemoveAnswer {
  bool m_was_registered = false;  // the host was registered

  friend auto operator<=>(const RemoveAnswer&, const RemoveAnswer&) = default;
};

using CommandAnswer = std::variant<ApplyAnswer,
                                   DrainAnswer,
                                   ClaimReply,
                                   ClaimFinishReply,
                                   RenewAnswers,
                                   RemoveAnswer,
                                   ShiftAnswer>;

struct CommandResult {
  CommandAnswer m_answer;
  bool m_feed_changed = false;         // FeedIndex() increased
  std::optional<FeedChange> m_change;  // for subscribers at the previous index
};

class StateMachine {
 public:
  StateMachine() = default;

  // Restores a state; used by SnapshotLoader.
  StateMachine(const ControlSnapshotHead& head,
               std::vector<CallerBlock> blocks,
               std::vector<ClaimRecord> claims,
               const std::vector<LedgerLine>& lines);

  // Applies a committed command. Indexes must rise but may have gaps, which are
  // log entries of other kinds. Returns an error and changes nothing if the
  // index was already applied.
  Result<CommandResult> Apply(std::uint64_t index, std::string_view command);

  std::uint64_t AppliedIndex() const { return m_applied_index; }
  std::uint64_t ReplicatedTimeMs() const { return m_time; }  // Unix ms

  const Configuration& Config() const { return m_config; }
  const ClaimStore& Claims() const { return m_claims; }
  const HostRegistry& Hosts() const { return m_hosts; }
  const limits::Ledger& Ledger() const { return m_ledger; }
  const limits::Topology& Topology() const { return m_topology; }

  // The complete configuration for entry hosts.
  FeedState Feed() const;

  // Status and document history for operators.
  ControlStatus Status() const;
  const std::vector<HistoryEntry>& History() const {
    return m_config.History();
  }

  friend bool operator==(const StateMachine&, const StateMachine&) = default;

 private:
  Result<CommandAnswer> Dispatch(const Command& command, std::uint64_t index);
  ApplyAnswer Execute(const ApplyCommand& command, std::uint64_t index);
  DrainAnswer Execute(const DrainCommand& command, std::uint64_t index);
  ClaimReply Execute(const ClaimRequest& request, std::uint64_t index);
  ClaimFinishReply Execute(const ClaimFinish& finish, std::uint64_t index);
  RenewAnswers Execute(const RenewCommand& command, std::uint64_t index);
  RemoveAnswer Execute(const RemoveHostCommand& command, std::uint64_t index);
  ShiftAnswer Execute(const ShiftCommand& command, std::uint64_t index);
  std::optional<FeedChange> MakeFeedChange(std::uint64_t previous_feed_index,
                                           const Deployment& previous_document,
                                           const Command& command) const;

  std::uint64_t m_applied_index = 0;
  std::uint64_t m_time = 0;
  Configuration m_config;
  HostRegistry m_hosts;
  ClaimStore m_claims;
  limits::Ledger m_ledger;
  limits::Topology m_topology;  // derived from the document
};

}  // namespace jujube::control
