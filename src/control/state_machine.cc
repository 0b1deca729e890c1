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

// Bounds of a FeedChange: elements by its schema, and bytes such that the
// document without blocks still fits into the frame of 4 MiB.
constexpr std::size_t kMaxChangedBlocks = 100000;
constexpr std::size_t kMaxChangedBytes = std::size_t{3} * 1024 * 1024;
constexpr std::size_t kLengthBytes = 4;

// Entry hosts have no use for the text that an operator wrote.
Deployment FeedDocument(Deployment document) {
  document.m_source.clear();
  return document;
}

bool FitsIntoChange(const ApplyCommand& command) {
  if (command.m_upserted.size() > kMaxChangedBlocks ||
      command.m_removed.size() > kMaxChangedBlocks) {
    return false;
  }
  std::size_t bytes = 0;
  for (const CallerBlock& block : command.m_upserted) {
    bytes +=
        block.m_prefix.size() + block.m_site.m_value.size() + 2 * kLengthBytes;
  }
  for (const std::string& prefix : command.m_removed)
    bytes += prefix.size() + kLengthBytes;
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
                         " was applied before; the state is at " +
                         std::to_string(m_applied_index));
  }
  m_applied_index = index;
  JUJUBE_TRY(const Command command, DecodeCommand(bytes));
  const std::uint64_t feed_index = m_config.FeedIndex();
  const std::shared_ptr<const Deployment> before = m_config.SharedDocument();
  JUJUBE_TRY(CommandAnswer answer, Dispatch(command, index));
  CommandResult result{.m_answer = std::move(answer)};
  result.m_feed_changed = m_config.FeedIndex() != feed_index;
  if (result.m_feed_changed)
    result.m_change = MakeChange(feed_index, *before, command);
  return result;
}

Result<CommandAnswer> StateMachine::Dispatch(const Command& command,
                                             std::uint64_t index) {
  const auto run = [&](auto message) -> Result<CommandAnswer> {
    if (!message)
      return message.error();
    m_time = std::max(m_time, command.m_time);
    m_claims.Advance(m_time, m_config.Document().m_claims);
    return CommandAnswer(Run(message.value(), index));
  };
  switch (command.m_kind) {
    case CommandKind::kApply:
      return run(DecodeApplyCommand(command.m_data));
    case CommandKind::kDrain:
      return run(DecodeDrainCommand(command.m_data));
    case CommandKind::kClaim:
      return run(DecodeClaimRequest(command.m_data));
    case CommandKind::kFinish:
      return run(DecodeClaimFinish(command.m_data));
    case CommandKind::kRenew:
      return run(DecodeRenewCommand(command.m_data));
    case CommandKind::kRemoveHost:
      return run(DecodeRemoveHostCommand(command.m_data));
    case CommandKind::kShift:
      return run(DecodeShiftCommand(command.m_data));
  }
  return MakeError(ErrorCode::kInvalidInput, "unknown kind of command");
}

ApplyAnswer StateMachine::Run(const ApplyCommand& command,
                              std::uint64_t index) {
  ApplyAnswer answer = m_config.Apply(command, index, m_time);
  if (m_config.DocumentIndex() != index)
    return answer;
  m_topology = limits::MakeTopology(m_config.Document());
  m_ledger.SetDocumentCaps(m_topology.m_caps);
  m_hosts.Retain(
      [&](const HostId& host) { return m_config.HasEntryHost(host); });
  return answer;
}

DrainAnswer StateMachine::Run(const DrainCommand& command,
                              std::uint64_t index) {
  return m_config.Drain(command, index);
}

ClaimReply StateMachine::Run(const ClaimRequest& request, std::uint64_t index) {
  if (!m_config.HasEntryHost(request.m_host))
    return {.m_outcome = ClaimOutcome::kStaleHost};
  const EntryHostStatus* host =
      m_hosts.Register(request.m_host, request.m_incarnation, index, m_time);
  if (host == nullptr)
    return {.m_outcome = ClaimOutcome::kStaleHost};
  return m_claims.Claim(request, host->m_session, m_hosts,
                        m_config.Document().m_claims, m_time);
}

ClaimFinishReply StateMachine::Run(const ClaimFinish& finish,
                                   std::uint64_t /*index*/) {
  return m_claims.Finish(finish, m_hosts, m_config.Document().m_claims);
}

RenewAnswers StateMachine::Run(const RenewCommand& command,
                               std::uint64_t index) {
  m_ledger.Expire(std::min(command.m_expired_index, index - 1));
  for (const LostHost& lost : command.m_lost)
    m_hosts.Lose(lost);
  RenewAnswers answers;
  for (const HostRenewal& renewal : command.m_renewals) {
    // A host that left the document still confirms that it gave up its shares.
    const bool known = m_config.HasEntryHost(renewal.m_host) ||
                       m_hosts.IsKnown(renewal.m_host);
    if (!known || m_hosts.Renew(renewal, index, m_time) == nullptr)
      continue;
    answers.push_back(
        {.m_host = renewal.m_host,
         .m_incarnation = renewal.m_incarnation,
         .m_reply = {.m_sequence = renewal.m_sequence,
                     .m_lease = limits::kLease,
                     .m_allotments = m_ledger.Renew(renewal, index)}});
  }
  return answers;
}

RemoveAnswer StateMachine::Run(const RemoveHostCommand& command,
                               std::uint64_t /*index*/) {
  m_ledger.RemoveHost(command.m_host);
  return {.m_known = m_hosts.Remove(command.m_host)};
}

ShiftAnswer StateMachine::Run(const ShiftCommand& command,
                              std::uint64_t index) {
  return m_config.Shift(command, index);
}

std::optional<FeedChange> StateMachine::MakeChange(
    std::uint64_t previous_index,
    const Deployment& before,
    const Command& command) const {
  FeedChange change{
      .m_previous_index = previous_index,
      .m_index = m_config.FeedIndex(),
      .m_deployment = FeedDocument(config::WithoutBlocks(m_config.Document())),
      .m_drains = m_config.Drains(),
      .m_shift = m_config.ShiftInForce()};
  change.m_deployment.m_routes.clear();
  if (command.m_kind != CommandKind::kApply)
    return change;
  config::RouteChanges routes =
      config::CompareRoutes(before.m_routes, m_config.Document().m_routes);
  change.m_upserted_routes = std::move(routes.m_upserted);
  change.m_removed_routes = std::move(routes.m_removed);
  const auto applied = DecodeApplyCommand(command.m_data);
  if (!applied || !FitsIntoChange(applied.value()))
    return std::nullopt;
  change.m_upserted = applied.value().m_upserted;
  change.m_removed = applied.value().m_removed;
  return change;
}

FeedState StateMachine::Feed() const {
  return {.m_index = m_config.FeedIndex(),
          .m_deployment = FeedDocument(m_config.Document()),
          .m_drains = m_config.Drains(),
          .m_shift = m_config.ShiftInForce()};
}

ControlStatus StateMachine::Status() const {
  return {.m_applied_index = m_applied_index,
          .m_feed_index = m_config.FeedIndex(),
          .m_number = m_config.Document().m_number,
          .m_time = m_time,
          .m_claims = m_claims.All().size(),
          .m_answer_bytes = m_claims.AnswerBytes(),
          .m_drains = m_config.Drains(),
          .m_shift = m_config.ShiftInForce(),
          .m_hosts = m_hosts.All()};
}

}  // namespace jujube::control
