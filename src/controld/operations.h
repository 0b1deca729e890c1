// Operations: what operators ask of the control state, for any front end.
//
// A front end decodes a request, calls one of these on the thread of the
// service and encodes the outcome.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "controld/control_service.h"
#include "gen/control.h"

namespace jujube::controld {

// Answer to a document: `m_answer` if it was decided, otherwise the fate of the
// proposal.
struct ApplyResult {
  std::optional<ApplyAnswer> m_answer;
  ProposalOutcome m_outcome;
};

// The drain is as it was asked for.
bool IsDone(const DrainAnswer& answer);

class Operations {
 public:
  explicit Operations(ControlService& service) : m_service(service) {}

  // Checks and proposes the document. With a base number, any other document
  // in force is a conflict.
  boost::asio::awaitable<ApplyResult> Apply(
      const Deployment& deployment,
      const std::string& operator_name,
      std::optional<std::uint64_t> base_number);

  boost::asio::awaitable<ProposalOutcome> SetDrain(const DrainCommand& command);

  boost::asio::awaitable<ProposalOutcome> Propose(std::string command);
  boost::asio::awaitable<ProposalOutcome> ProposeMembers(
      consensus::MembershipStep step,
      const VoterId& replica);

  // True once the state of this host is current; false if it does not lead.
  boost::asio::awaitable<bool> IsCurrent();

 private:
  ControlService& m_service;
};

}  // namespace jujube::controld
