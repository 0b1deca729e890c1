#include "controld/control_operations.h"

#include <memory>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control/command.h"
#include "control/proposal.h"
#include "core/clock.h"
#include "observe/log.h"

namespace jujube::controld {

namespace asio = boost::asio;

namespace {

// A proposal is prepared again if another document was accepted in between.
constexpr int kMaxApplyAttempts = 4;

// Logs the number of the accepted document that the answer names, 0 if it names
// none (kInvalid, kBaseChanged). The event kDocumentBaseChanged has the
// proposed number instead.
void LogApply(const ApplyAnswer& answer, const std::string& operator_name) {
  const LogEvent event = answer.m_outcome == ApplyOutcome::kAccepted
                             ? LogEvent::kDocumentAccepted
                         : answer.m_outcome == ApplyOutcome::kInvalid
                             ? LogEvent::kDocumentRefused
                             : LogEvent::kDocumentConflict;
  observe::Log(event, {{"number", answer.m_accepted.m_number},
                       {"index", answer.m_accepted.m_index},
                       {"operator", operator_name}});
}

}  // namespace

bool IsDrainApplied(const DrainAnswer& answer) {
  return answer.m_outcome == DrainOutcome::kChanged ||
         answer.m_outcome == DrainOutcome::kUnchanged;
}

// ---- Proposals and reads ---------------------------------------------------

asio::awaitable<ProposalOutcome> ControlOperations::Propose(
    std::string command) {
  return asio::async_initiate<const asio::use_awaitable_t<>,
                              void(ProposalOutcome)>(
      [this](auto handler, const std::string& data) {
        auto shared_handler =
            std::make_shared<decltype(handler)>(std::move(handler));
        m_service.Runner().Propose(
            data, [shared_handler](const ProposalOutcome& outcome) {
              std::move (*shared_handler)(outcome);
            });
      },
      asio::use_awaitable, std::move(command));
}

// Not a coroutine: GCC 12 destroys the captured replica twice if the lambda is
// part of a co_await expression.
asio::awaitable<ProposalOutcome> ControlOperations::ProposeMembershipChange(
    consensus::MembershipStep step,
    const VoterId& replica) {
  return asio::async_initiate<const asio::use_awaitable_t<>,
                              void(ProposalOutcome)>(
      [this, step](auto handler, const VoterId& member) {
        auto shared_handler =
            std::make_shared<decltype(handler)>(std::move(handler));
        m_service.Runner().ChangeMembership(
            step, member, [shared_handler](const ProposalOutcome& outcome) {
              std::move (*shared_handler)(outcome);
            });
      },
      asio::use_awaitable, replica);
}

asio::awaitable<bool> ControlOperations::ReadBarrier() {
  return asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(
      [this](auto handler) {
        auto shared_handler =
            std::make_shared<decltype(handler)>(std::move(handler));
        m_service.Runner().ReadBarrier([shared_handler](bool is_current) {
          std::move (*shared_handler)(is_current);
        });
      },
      asio::use_awaitable);
}

// ---- Changes ---------------------------------------------------------------

asio::awaitable<ApplyResult> ControlOperations::Apply(
    const Deployment& deployment,
    const std::string& operator_name,
    std::optional<std::uint64_t> base_number) {
  ApplyAnswer answer{.m_outcome = ApplyOutcome::kBaseChanged};
  for (int i = 0;
       i < kMaxApplyAttempts && answer.m_outcome == ApplyOutcome::kBaseChanged;
       ++i) {
    // The document must be checked against the current state.
    if (!co_await ReadBarrier()) {
      co_return ApplyResult{
          .m_outcome = {.m_status = ProposalStatus::kNotLeader}};
    }
    control::ApplyProposal proposal = control::PrepareApply(
        m_service.Runner().State(), deployment, operator_name, base_number);
    if (proposal.m_answer) {
      answer = *proposal.m_answer;
      break;
    }
    const ProposalOutcome outcome = co_await Propose(
        control::MakeCommand(proposal.m_command, SystemClock().WallNow()));
    if (outcome.m_status != ProposalStatus::kApplied)
      co_return ApplyResult{.m_outcome = outcome};
    answer = std::get<ApplyAnswer>(outcome.m_result->m_answer);
    if (answer.m_outcome == ApplyOutcome::kBaseChanged) {
      observe::Log(
          LogEvent::kDocumentBaseChanged,
          {{"number", deployment.m_number}, {"operator", operator_name}});
    }
  }
  LogApply(answer, operator_name);
  co_return ApplyResult{.m_answer = std::move(answer)};
}

asio::awaitable<ProposalOutcome> ControlOperations::SetDrain(
    const DrainCommand& command) {
  const ProposalOutcome outcome =
      co_await Propose(control::MakeCommand(command, SystemClock().WallNow()));
  if (outcome.m_status != ProposalStatus::kApplied)
    co_return outcome;
  const auto& answer = std::get<DrainAnswer>(outcome.m_result->m_answer);
  observe::Log(
      IsDrainApplied(answer) ? LogEvent::kDrainChanged
                             : LogEvent::kDrainRefused,
      {{"name", command.m_drain.m_name}, {"active", command.m_active}});
  co_return outcome;
}

}  // namespace jujube::controld
