// ControlOperations: changes and consistent reads of the control state,
// independent of a front end.
//
// A front end decodes a request, calls an operation on the thread of the
// service and encodes the outcome.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "controld/control_service.h"
#include "gen/control.h"

namespace jujube::controld {

// Result of an Apply: m_answer is the answer of the last attempt, which may be
// BaseChanged. Without an answer, m_outcome holds the reason why the proposal
// was not applied.
struct ApplyResult {
  std::optional<ApplyAnswer> m_answer;
  ProposalOutcome m_outcome;
};

// True if the drain is now in the requested state.
bool IsDrainApplied(const DrainAnswer& answer);

class ControlOperations {
 public:
  explicit ControlOperations(ControlService& service) : m_service(service) {}

  // Validates and proposes the document. With base_number, a new document is a
  // conflict unless the document in force has that number.
  boost::asio::awaitable<ApplyResult> Apply(
      const Deployment& deployment,
      const std::string& operator_name,
      std::optional<std::uint64_t> base_number);

  boost::asio::awaitable<ProposalOutcome> SetDrain(const DrainCommand& command);

  boost::asio::awaitable<ProposalOutcome> Propose(std::string command);
  boost::asio::awaitable<ProposalOutcome> ProposeMembershipChange(
      consensus::MembershipStep step,
      const VoterId& replica);

  // Performs a read barrier: true once the state of this host is current, false
  // if this host is not the leader.
  boost::asio::awaitable<bool> ReadBarrier();

 private:
  ControlService& m_service;
};

}  // namespace jujube::controld
