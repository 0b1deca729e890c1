#include "control/state_machine.h"

#include <algorithm>
#include <string>
#include <utility>

#include "config/difference.h"
#include "config/route_difference.h"
#include "gen/claims_wire.h"
#include "gen/control_wire.h"
#include "limits/lease_clock.h"

namespace jujube::control {

namespace {

// Limits of a FeedChange: the maximum number of elements from the schema, and a
// size that leaves room for the document without blocks in a 4 MiB frame.
// FitsIntoFeedChange() counts blocks only, not the changed routes.
constexpr std::size_t kMaxChangedBlocks = 100000;
constexpr std::size_t kMaxChangedBytes = std::size_t{3} * 1024 * 1024;
constexpr std::size_t kLengthPrefixBytes = 4;

// Entry hosts do not need the document text as the operator wrote it.
Deployment WithoutSourceText(Deployment document) {
  document.m_source.clear();
  return document;
}

bool FitsIntoFeedChange(const ApplyCommand& command) {
  if (command.m_upserted.size() > kMaxChangedBlocks ||
      command.m_removed.size() > kMaxChangedBlocks) {
    return false;
  }
  std::size_t bytes = 0;
  for (const CallerBlock& block : command.m_upserted) {
    bytes += block.m_prefix.size() + block.m_site.m_value.size() +
             2 * kLengthPrefixBytes;
  }
  for (const std::string& prefix : command.m_removed)
    bytes += prefix.size() + kLengthPrefixBytes;
  return bytes <= kMaxChangedBytes;
}

}  // namespace

StateMachine::StateMachine(const ControlSnapshotHead& head,
                           std::vector<CallerBlock> blocks,
                           std::vector<ClaimRecord> claims,
                           const std::vector<LedgerLine>& lines)
    : m_applied_index(head.m_applied_index),
      m_time(head.m_time),
      m_config(head, std::move(blocks)),
      m_hosts(head.m_hosts),
      m_claims(std::move(claims), head.m_claim_horizon),
      m_ledger(lines),
      m_topology(limits::MakeTopology(m_config.Document())) {}

Result<CommandResult> StateMachine::Apply(std::uint64_t index,
                                          std::string_view bytes) {
  if (index <= m_applied_index) {
    return MakeError(ErrorCode::kConflict,
                     "log index " + std::to_string(index) +
                         " was already applied; last applied index is " +
                         std::to_string(m_applied_index));
  }
  m_applied_index = index;
  JUJUBE_TRY(const Command command, DecodeCommand(bytes));
  const std::uint64_t previous_feed_index = m_config.FeedIndex();
  const std::shared_ptr<const Deployment> previous_document =
      m_config.SharedDocument();
  JUJUBE_TRY(CommandAnswer answer, Dispatch(command, index));
  CommandResult result{.m_answer = std::move(answer)};
  result.m_feed_changed = m_config.FeedIndex() != previous_feed_index;
  if (result.m_feed_changed)
    result.m_change =
        MakeFeedChange(previous_feed_index, *previous_document, command);
  return result;
}

Result<CommandAnswer> StateMachine::Dispatch(const Command& command,
                                             std::uint64_t index) {
  const auto execute = [&](auto message) -> Result<CommandAnswer> {
    if (!message)
      return message.error();
    m_time = std::max(m_time, command.m_time);
    m_claims.AdvanceHorizon(m_time, m_config.Document().m_claims);
    return CommandAnswer(Execute(message.value(), index));
  };
  switch (command.m_kind) {
    case CommandKind::kApply:
      return execute(DecodeApplyCommand(command.m_data));
    case CommandKind::kDrain:
      return execute(DecodeDrainCommand(command.m_data));
    case CommandKind::kClaim:
      return execute(DecodeClaimRequest(command.m_data));
    case CommandKind::kFinish:
      return execute(DecodeClaimFinish(command.m_data));
    case CommandKind::kRenew:
      return execute(DecodeRenewCommand(command.m_data));
    case CommandKind::kRemoveHost:
      return execute(DecodeRemoveHostCommand(command.m_data));
    case CommandKind::kShift:
      return execute(DecodeShiftCommand(command.m_data));
  }
  return MakeError(ErrorCode::kInvalidInput, "unknown command kind");
}

ApplyAnswer StateMachine::Execute(const ApplyCommand& command,
                                  std::uint64_t index) {
  ApplyAnswer answer = m_config.Apply(command, index, m_time);
  if (m_config.DocumentIndex() != index)
    return answer;
  m_topology = limits::MakeTopology(m_config.Document());
  m_ledger.SetDocumentCaps(m_topology.m_caps);
  m_hosts.PruneInactive(
      [&](const HostId& host) { return m_config.HasEntryHost(host); });
  return answer;
}

DrainAnswer StateMachine::Execute(const DrainCommand& command,
                                  std::uint64_t index) {
  return m_config.Drain(command, index);
}

ClaimReply StateMachine::Execute(const ClaimRequest& request,
                                 std::uint64_t index) {
  if (!m_config.HasEntryHost(request.m_host))
    return {.m_outcome = ClaimOutcome::kStaleHost};
  const EntryHostStatus* host =
      m_hosts.Register(request.m_host, request.m_incarnation, index, m_time);
  if (host == nullptr)
    return {.m_outcome = ClaimOutcome::kStaleHost};
  return m_claims.Claim(request, host->m_session, m_hosts,
                        m_config.Document().m_claims, m_time);
}

ClaimFinishReply StateMachine::Execute(const ClaimFinish& finish,
                                       std::uint64_t /*index*/) {
  return m_claims.Finish(finish, m_hosts, m_config.Document().m_claims);
}

RenewAnswers StateMachine::Execute(const RenewCommand& command,
                                   std::uint64_t index) {
  m_ledger.ExpireLeases(std::min(command.m_expired_index, index - 1));
  for (const LostHost& lost : command.m_lost)
    m_hosts.MarkLost(lost);
  RenewAnswers answers;
  for (const HostRenewal& renewal : command.m_renewals) {
    // A registered host that is no longer in the document still has to confirm
    // the release of its shares.
    const bool may_renew = m_config.HasEntryHost(renewal.m_host) ||
                           m_hosts.Contains(renewal.m_host);
    if (!may_renew || m_hosts.Renew(renewal, index, m_time) == nullptr)
      continue;
    answers.push_back(
        {.m_host = renewal.m_host,
         .m_incarnation = renewal.m_incarnation,
         .m_reply = {.m_sequence = renewal.m_sequence,
                     .m_lease = limits::kLeaseDuration,
                     .m_allotments = m_ledger.Renew(renewal, index)}});
  }
  return answers;
}

RemoveAnswer StateMachine::Execute(const RemoveHostCommand& command,
                                   std::uint64_t /*index*/) {
  m_ledger.RemoveHost(command.m_host);
  return {.m_was_registered = m_hosts.Remove(command.m_host)};
}

ShiftAnswer StateMachine::Execute(const ShiftCommand& command,
                                  std::uint64_t index) {
  return m_config.Shift(command, index);
}

std::optional<FeedChange> StateMachine::MakeFeedChange(
    std::uint64_t previous_feed_index,
    const Deployment& previous_document,
    const Command& command) const {
  FeedChange change{.m_previous_index = previous_feed_index,
                    .m_index = m_config.FeedIndex(),
                    .m_deployment = WithoutSourceText(
                        config::WithoutBlocks(m_config.Document())),
                    .m_drains = m_config.Drains(),
                    .m_shift = m_config.ShiftInForce()};
  change.m_deployment.m_routes.clear();
  if (command.m_kind != CommandKind::kApply)
    return change;
  config::RouteChanges routes = config::CompareRoutes(
      previous_document.m_routes, m_config.Document().m_routes);
  change.m_upserted_routes = std::move(routes.m_upserted);
  change.m_removed_routes = std::move(routes.m_removed);
  const auto applied = DecodeApplyCommand(command.m_data);
  if (!applied || !FitsIntoFeedChange(applied.value()))
    return std::nullopt;
  change.m_upserted = applied.value().m_upserted;
  change.m_removed = applied.value().m_removed;
  return change;
}

FeedState StateMachine::Feed() const {
  return {.m_index = m_config.FeedIndex(),
          .m_deployment = WithoutSourceText(m_config.Document()),
          .m_drains = m_config.Drains(),
          .m_shift = m_config.ShiftInForce()};
}

ControlStatus StateMachine::Status() const {
  return {.m_applied_index = m_applied_index,
          .m_feed_index = m_config.FeedIndex(),
          .m_number = m_config.Document().m_number,
          .m_time = m_time,
          .m_claims = m_claims.All().size(),
          .m_answer_bytes = m_claims.TotalAnswerBytes(),
          .m_drains = m_config.Drains(),
          .m_shift = m_config.ShiftInForce(),
          .m_hosts = m_hosts.All()};
}

}  // namespace jujube::control
