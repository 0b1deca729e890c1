// The replicated state of the control daemons.
//
// Every replica applies the same committed commands in the same order and
// arrives at the same state: Apply() reads no clock, no random source and no
// setting. Sections: 1. use, 2. commands, 3. time, 4. reading, 5. snapshots.
//
// 1. Use
//
//   leader                                  every replica
//   ------                                  -------------
//   a request arrives
//   entry = MakeCommand(message, wall)      (control/command.h)
//   propose(entry) ----- committed -------> result = state.Apply(index, entry)
//   answer from `result`                    publish result.m_change, if any
//
// An answer is sent only by the replica that proposed the command, after
// Apply(). If the proposal is lost (no longer leader), the effect is unknown
// and the sender has to ask again; all commands can be sent again safely.
//
//   documents  control::PrepareApply() checks a document, answers a resent one
//              and makes the ApplyCommand (control/proposal.h)
//   drains     DrainCommand as it is
//   claims     ClaimRequest and ClaimFinish as they are
//   renewals   RenewCommand from limits::Planner (lines), limits::LeaseClock
//              (expired_index) and control::HostWatch (lost), for all hosts
//              that asked within some 50 ms
//   removal    RemoveHostCommand as it is
//
// 2. Commands and their answers (CommandResult.m_answer)
//
//   Apply       ApplyAnswer. The number must exceed the current one. The same
//               number and digest returns the first answer; the same number
//               with another digest is a conflict that names the winner. A
//               command whose base is no longer in force changes nothing
//               (BaseChanged): call PrepareApply() again.
//   Drain       DrainAnswer. Setting a drain twice changes nothing.
//   Claim       ClaimReply, see control/claim_store.h. Registers the sender if
//               its incarnation is new. StaleHost if a newer one is known, an
//               operator removed it, or the document has no such host.
//   Finish      ClaimFinishReply.
//   Renew       RenewAnswers: an AllotmentReply for each renewal that counts.
//               Late, repeated and stale ones get none. See limits/ledger.h.
//   RemoveHost  RemoveAnswer.
//   Shift       ShiftAnswer. A step that was planned for another feed index
//               changes nothing; the leader plans again.
//
// An entry that cannot be decoded changes nothing but AppliedIndex().
//
// 3. Time
//
// Replicated time is the highest wall time of all commands so far. It decides
// on the age of claims, so all replicas agree. It never goes back when a leader
// with a slower clock takes over. Leases do not depend on it: the leader
// measures them and states in a RenewCommand what has expired.
//
// 4. Reading
//
// One thread owns the state machine. Reads that must be current need the read
// barrier of the log first. FeedState and FeedChange are for entry hosts; a
// change is missing in CommandResult (with m_feed_changed set) if it is too
// large for one message, then subscribers need the snapshot.
//
// 5. Snapshots
//
// A state machine can be copied; the copy shares the document. Write it with
// SnapshotWriter, read it with SnapshotLoader (control/snapshot.h).

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
  bool m_known = false;  // the host was registered

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
  bool m_feed_changed = false;         // FeedIndex() is new
  std::optional<FeedChange> m_change;  // for subscribers of the index before
};

class StateMachine {
 public:
  StateMachine() = default;

  // Restores a state; used by SnapshotLoader.
  StateMachine(const ControlSnapshotHead& head,
               std::vector<CallerBlock> blocks,
               std::vector<ClaimRecord> claims,
               const std::vector<LedgerLine>& lines);

  // Applies a committed command. An index that was applied before is refused
  // and changes nothing; indexes may have gaps (entries of other kinds).
  Result<CommandResult> Apply(std::uint64_t index, std::string_view command);

  std::uint64_t AppliedIndex() const { return m_applied_index; }
  std::uint64_t Time() const { return m_time; }  // replicated, Unix ms

  const Configuration& Config() const { return m_config; }
  const ClaimStore& Claims() const { return m_claims; }
  const HostRegistry& Hosts() const { return m_hosts; }
  const limits::Ledger& Ledger() const { return m_ledger; }
  const limits::Topology& Topology() const { return m_topology; }

  // The whole configuration for entry hosts.
  FeedState Feed() const;

  // What operators see.
  ControlStatus Status() const;
  const std::vector<HistoryEntry>& History() const {
    return m_config.History();
  }

  friend bool operator==(const StateMachine&, const StateMachine&) = default;

 private:
  Result<CommandAnswer> Dispatch(const Command& command, std::uint64_t index);
  ApplyAnswer Run(const ApplyCommand& command, std::uint64_t index);
  DrainAnswer Run(const DrainCommand& command, std::uint64_t index);
  ClaimReply Run(const ClaimRequest& request, std::uint64_t index);
  ClaimFinishReply Run(const ClaimFinish& finish, std::uint64_t index);
  RenewAnswers Run(const RenewCommand& command, std::uint64_t index);
  RemoveAnswer Run(const RemoveHostCommand& command, std::uint64_t index);
  ShiftAnswer Run(const ShiftCommand& command, std::uint64_t index);
  std::optional<FeedChange> MakeChange(std::uint64_t previous_index,
                                       const Deployment& before,
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
