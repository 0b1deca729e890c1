#include "controld/operator_api.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "control/command.h"
#include "control/proposal.h"
#include "core/json_document.h"
#include "gen/control_json.h"
#include "gen/control_status_json.h"
#include "gen/deployment_json.h"
#include "net/bearer.h"
#include "net/http_fields.h"
#include "observe/log.h"
#include "observe/metrics.h"

// Sections: responses, reads, changes.

namespace jujube::controld {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxDocumentBytes = 64U << 20U;
// Not used here: control_operations.cc repeats a proposal if another document
// was accepted between preparing and applying it, and has its own limit.
constexpr int kMaxApplyAttempts = 4;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kNotTheLeader = 421;
constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kUnknownOutcome = 504;

// ---- Responses -------------------------------------------------------------

asio::awaitable<void> RespondJson(net::HttpExchange& exchange,
                                  std::uint16_t status,
                                  boost::json::value json) {
  ResponseHead head{.m_status = status};
  head.m_headers.push_back({"Content-Type", "application/json"});
  const std::string body = boost::json::serialize(json) + "\n";
  co_await exchange.Respond(std::move(head), body);
}

asio::awaitable<void> RespondError(net::HttpExchange& exchange,
                                   std::uint16_t status,
                                   std::string message) {
  const ControlError error{.m_error = std::move(message)};
  co_await RespondJson(exchange, status, ToJson(error));
}

std::uint16_t StatusOf(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kAccepted:
      return kOk;
    case ApplyOutcome::kInvalid:
      return kUnprocessable;
    case ApplyOutcome::kConflict:
    case ApplyOutcome::kNumberTooLow:
    case ApplyOutcome::kBaseChanged:
      return kConflict;
  }
  return kConflict;
}

std::string_view RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kLeader:
      return "leader";
    case consensus::Role::kFollower:
      return "follower";
    default:
      return "candidate";
  }
}

}  // namespace

OperatorApi::OperatorApi(ControlService& service, HostId host, std::string key)
    : m_service(service),
      m_operations(service),
      m_host(std::move(host)),
      m_key(std::move(key)) {}

asio::awaitable<void> OperatorApi::RespondNotApplied(
    net::HttpExchange& exchange,
    const ProposalOutcome& outcome) {
  ControlError error{.m_error = outcome.m_error};
  std::uint16_t status = kUnavailable;
  if (outcome.m_status == ProposalStatus::kNotLeader) {
    status = kNotTheLeader;
    error.m_error = "this host is not the leader";
    const std::optional<ControlPeer> leader = m_service.Runner().Leader();
    if (leader && leader->m_host != m_host)
      error.m_leader = leader->m_operator;
  } else if (outcome.m_status == ProposalStatus::kUnknown) {
    status = kUnknownOutcome;
    error.m_error = "leadership was lost; the change may have been accepted";
    error.m_unknown = true;
  }
  co_await RespondJson(exchange, status, ToJson(error));
}

asio::awaitable<void> OperatorApi::Handle(net::HttpExchange& exchange) {
  const RequestHead& head = exchange.Head();
  const std::string_view path = net::TargetPath(head.m_target);
  if (path == "/healthz") {
    ResponseHead healthy;
    co_await exchange.Respond(std::move(healthy), "ok\n");
    co_return;
  }
  if (!net::HasBearerKey(head, m_key)) {
    co_await RespondError(exchange, 401, "the operator key is required");
    co_return;
  }
  if (head.m_method != "POST") {
    co_await HandleGet(exchange, path);
    co_return;
  }
  Result<std::string> body = co_await exchange.ReadAll(kMaxDocumentBytes);
  if (!body) {
    co_await RespondError(exchange, 413, body.error().m_message);
    co_return;
  }
  co_await HandlePost(exchange, path, std::move(body).value());
}

std::string OperatorApi::OperatorName(const net::HttpExchange& exchange) const {
  const auto name =
      net::FindHeader(exchange.Head().m_headers, "Jujube-Operator");
  return std::string(name.value_or("unknown").substr(0, 200));
}

// ---- Reads -----------------------------------------------------------------

ControlDaemonStatus OperatorApi::CurrentStatus() const {
  const ReplicaRunner& runner = m_service.Runner();
  const consensus::ReplicaStatus replica = runner.ConsensusStatus();
  ControlDaemonStatus status{
      .m_host = m_host,
      .m_replica = runner.Self(),
      .m_role = runner.IsStarted() ? std::string(RoleName(replica.m_role))
                                   : "founding",
      .m_term = replica.m_term,
      .m_commit_index = replica.m_commit_index,
      .m_applied_index = replica.m_applied_index,
      .m_state = runner.State().Status(),
      .m_in_force = m_service.HostVersions().Hosts(MonoClock::now())};
  if (replica.m_leader)
    status.m_leader = replica.m_leader->m_host;
  for (const VoterId& voter : replica.m_voters.m_voters)
    status.m_members.push_back({.m_replica = voter, .m_voter = true});
  for (const VoterId& learner : replica.m_voters.m_learners)
    status.m_members.push_back({.m_replica = learner});
  const std::uint64_t feed_index = status.m_state.m_feed_index;
  for (const EntryHost& host :
       runner.State().Config().Document().m_entry_hosts) {
    const bool is_current = std::any_of(
        status.m_in_force.begin(), status.m_in_force.end(),
        [&](const HostVersion& version) {
          return version.m_host == host.m_name && version.m_index >= feed_index;
        });
    if (!is_current)
      status.m_lagging.push_back(host.m_name);
  }
  return status;
}

asio::awaitable<void> OperatorApi::HandleGet(net::HttpExchange& exchange,
                                             std::string_view path) {
  if (path == "/metrics") {
    ResponseHead head;
    head.m_headers.push_back(
        {"Content-Type", std::string(observe::kMetricsContentType)});
    co_await exchange.Respond(std::move(head), observe::RenderMetrics());
    co_return;
  }
  if (path == "/v1/status") {
    m_service.Runner().CheckLeadership();
    co_await RespondJson(exchange, kOk, ToJson(CurrentStatus()));
    co_return;
  }
  if (path != "/v1/config" && path != "/v1/history") {
    co_await RespondError(exchange, 404, "unknown path " + std::string(path));
    co_return;
  }
  if (!co_await m_operations.ReadBarrier()) {
    const ProposalOutcome not_leader{.m_status = ProposalStatus::kNotLeader};
    co_await RespondNotApplied(exchange, not_leader);
    co_return;
  }
  const control::StateMachine& state = m_service.Runner().State();
  if (path == "/v1/history") {
    const HistoryPage page{.m_entries = state.History()};
    co_await RespondJson(exchange, kOk, ToJson(page));
    co_return;
  }
  Deployment deployment = state.Config().Document();
  if (net::QueryParameter(exchange.Head().m_target, "blocks") == "no")
    deployment.m_blocks.clear();
  co_await RespondJson(exchange, kOk, ToJson(deployment));
}

// ---- Changes ---------------------------------------------------------------

asio::awaitable<void> OperatorApi::HandlePost(net::HttpExchange& exchange,
                                              std::string_view path,
                                              std::string body) {
  if (path == "/v1/apply")
    co_await Apply(exchange, body);
  else if (path == "/v1/drain")
    co_await SetDrain(exchange, body, true);
  else if (path == "/v1/resume")
    co_await SetDrain(exchange, body, false);
  else if (path == "/v1/remove-host")
    co_await RemoveHost(exchange, body);
  else if (path == "/v1/members")
    co_await ChangeMembers(exchange, body);
  else
    co_await RespondError(exchange, 404, "unknown path " + std::string(path));
}

asio::awaitable<void> OperatorApi::Apply(net::HttpExchange& exchange,
                                         const std::string& body) {
  const Result<Deployment> deployment =
      ParseDocument<Deployment>(body, "document");
  if (!deployment) {
    co_await RespondError(exchange, kBadRequest, deployment.error().m_message);
    co_return;
  }
  const std::string name = OperatorName(exchange);
  const ApplyResult result =
      co_await m_operations.Apply(deployment.value(), name, std::nullopt);
  if (!result.m_answer) {
    co_await RespondNotApplied(exchange, result.m_outcome);
    co_return;
  }
  co_await RespondJson(exchange, StatusOf(result.m_answer->m_outcome),
                       ToJson(*result.m_answer));
}

asio::awaitable<void> OperatorApi::SetDrain(net::HttpExchange& exchange,
                                            const std::string& body,
                                            bool is_active) {
  const Result<Drain> drain = ParseDocument<Drain>(body, "drain");
  if (!drain) {
    co_await RespondError(exchange, kBadRequest, drain.error().m_message);
    co_return;
  }
  const DrainCommand command{.m_operator_name = OperatorName(exchange),
                             .m_drain = drain.value(),
                             .m_active = is_active};
  const ProposalOutcome outcome = co_await m_operations.SetDrain(command);
  if (outcome.m_status != ProposalStatus::kApplied) {
    co_await RespondNotApplied(exchange, outcome);
    co_return;
  }
  const auto answer = std::get<DrainAnswer>(outcome.m_result->m_answer);
  const bool is_done = IsDrainApplied(answer);
  co_await RespondJson(exchange, is_done ? kOk : kUnprocessable,
                       ToJson(answer));
}

asio::awaitable<void> OperatorApi::RemoveHost(net::HttpExchange& exchange,
                                              const std::string& body) {
  const Result<HostName> host = ParseDocument<HostName>(body, "host");
  if (!host) {
    co_await RespondError(exchange, kBadRequest, host.error().m_message);
    co_return;
  }
  const RemoveHostCommand command{.m_operator_name = OperatorName(exchange),
                                  .m_host = host.value().m_host};
  const ProposalOutcome outcome = co_await m_operations.Propose(
      control::MakeCommand(command, SystemClock().WallNow()));
  if (outcome.m_status != ProposalStatus::kApplied) {
    co_await RespondNotApplied(exchange, outcome);
    co_return;
  }
  const auto answer =
      std::get<control::RemoveAnswer>(outcome.m_result->m_answer);
  if (!answer.m_was_registered) {
    co_await RespondError(exchange, 404, "the host is not registered");
    co_return;
  }
  observe::Log(LogEvent::kEntryHostRemoved,
               {{"host", host.value().m_host.m_value}});
  co_await RespondJson(exchange, kOk, ToJson(host.value()));
}

asio::awaitable<void> OperatorApi::ChangeMembers(net::HttpExchange& exchange,
                                                 const std::string& body) {
  const Result<MemberChange> change =
      ParseDocument<MemberChange>(body, "member change");
  if (!change) {
    co_await RespondError(exchange, kBadRequest, change.error().m_message);
    co_return;
  }
  // The steps have the same order in both enumerations.
  const auto step =
      static_cast<consensus::MembershipStep>(change.value().m_step);
  const VoterId replica = change.value().m_replica;
  const ProposalOutcome outcome =
      co_await m_operations.ProposeMembershipChange(step, replica);
  if (outcome.m_status == ProposalStatus::kRefused) {
    co_await RespondError(exchange, kConflict, outcome.m_error);
  } else if (outcome.m_status != ProposalStatus::kApplied) {
    co_await RespondNotApplied(exchange, outcome);
  } else {
    observe::Log(LogEvent::kMembershipChanged,
                 {{"host", replica.m_host.m_value},
                  {"step", ToString(change.value().m_step)}});
    co_await RespondJson(exchange, kOk, ToJson(change.value()));
  }
}

}  // namespace jujube::controld
