#include "ctl/report.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include <boost/json.hpp>

#include "core/json_document.h"
#include "ctl/render.h"
#include "gen/control_json.h"
#include "gen/control_status_json.h"
#include "gen/deployment_json.h"

// Sections: requests, responses to changes, statuses of control hosts.

namespace jujube::ctl {

namespace {

template <class T>
std::string SerializeJson(const T& value) {
  return boost::json::serialize(ToJson(value));
}

// ---- Requests --------------------------------------------------------------

std::string RequestTarget(const Command& command) {
  switch (command.m_kind) {
    case CtlCommand::kDiff:
    case CtlCommand::kConfig:
      return "/v1/config";
    case CtlCommand::kHistory:
      return "/v1/history";
    case CtlCommand::kApply:
      return "/v1/apply";
    case CtlCommand::kDrain:
      return "/v1/drain";
    case CtlCommand::kResume:
      return "/v1/resume";
    case CtlCommand::kRemoveHost:
      return "/v1/remove-host";
    case CtlCommand::kMembers:
      if (command.m_member_change)
        return "/v1/members";
      [[fallthrough]];
    case CtlCommand::kStatus:
    case CtlCommand::kValidate:
      return "/v1/status";
  }
  return "/v1/status";
}

// ---- Responses to changes --------------------------------------------------

std::string RecoveryAdvice(const Command& command) {
  switch (command.m_kind) {
    case CtlCommand::kApply:
      return "apply the same file again; if it was accepted before, that "
             "acceptance is reported again";
    case CtlCommand::kDrain:
    case CtlCommand::kResume:
      return "check the drains in 'jujubectl status' and repeat the command if "
             "it is still needed";
    case CtlCommand::kRemoveHost:
      return "check the host in 'jujubectl status' before repeating the "
             "command, which would also remove a host that was started "
             "since then";
    default:
      return "check 'jujubectl members' before repeating the command";
  }
}

std::string FailureMessage(const Command& command, const CallResult& result) {
  const RetryDecision& decision = result.m_decision;
  std::string failure = EndpointText(result.m_host) + ": " + decision.m_message;
  if (decision.m_result == ExitCode::kUnknown) {
    return "the outcome is unknown: " + failure + "; " +
           RecoveryAdvice(command);
  }
  if (decision.m_result == ExitCode::kUnreachable) {
    return "no leader was reached; last attempt: " + failure +
           "; check --control, and that a majority of the control hosts is "
           "running";
  }
  return failure;
}

std::string ApplyMessage(const ApplyAnswer& answer) {
  const HistoryEntry& entry = answer.m_accepted;
  const std::string number = std::to_string(entry.m_number);
  const std::string acceptance = " (operator " + entry.m_operator_name + ", " +
                                 TimeText(entry.m_time) + ", index " +
                                 std::to_string(entry.m_index) + ")";
  switch (answer.m_outcome) {
    case ApplyOutcome::kAccepted:
      return "document " + number + " is accepted" + acceptance;
    case ApplyOutcome::kConflict:
      return "$.number: found " + number +
             ", under which another document was accepted" + acceptance +
             "; compare it with 'jujubectl diff', then give this document a "
             "higher number";
    case ApplyOutcome::kNumberTooLow:
      return "$.number: allowed is a number above " + number +
             ", which is in force" + acceptance +
             "; to roll back, apply the old content under a new number";
    case ApplyOutcome::kBaseChanged:
      return "other documents were accepted concurrently; repeat the command";
    case ApplyOutcome::kInvalid:
      return "the leader refused the document";
  }
  return {};
}

std::string DrainMessage(const Command& command, const DrainAnswer& answer) {
  const std::string object =
      command.m_drain ? DrainText(*command.m_drain) : std::string();
  const std::string state =
      command.m_kind == CtlCommand::kDrain ? "drained" : "not drained";
  switch (answer.m_outcome) {
    case DrainOutcome::kChanged:
      return object + " is " + state + " from index " +
             std::to_string(answer.m_index);
    case DrainOutcome::kUnchanged:
      return object + " was " + state + " already";
    case DrainOutcome::kUnknownName:
      return object +
             ": the document in force has no such object; 'jujubectl config' "
             "shows the names, an instance is named service/instance";
    case DrainOutcome::kTooMany:
      return object +
             ": the maximum number of drains is in force; resume one first";
  }
  return {};
}

template <class Answer>
bool ParseAnswer(const CallResult& result, std::optional<Answer>* answer) {
  auto parsed = ParseDocument<Answer>(result.m_outcome.m_body, "answer");
  if (!parsed)
    return false;
  *answer = std::move(parsed).value();
  return true;
}

// Parses the response body of a command that has a response type of its own. A
// ControlError has other keys, so it does not parse as such a type. Returns
// false if there is no such response.
bool ParseTypedAnswer(const Command& command,
                      const CallResult& result,
                      CtlReport* report) {
  if (result.m_outcome.m_delivery != Delivery::kResponseReceived)
    return false;
  switch (command.m_kind) {
    case CtlCommand::kApply:
      if (!ParseAnswer(result, &report->m_apply))
        return false;
      report->m_message = ApplyMessage(*report->m_apply);
      report->m_problems = report->m_apply->m_problems;
      return true;
    case CtlCommand::kDrain:
    case CtlCommand::kResume:
      if (!ParseAnswer(result, &report->m_drain))
        return false;
      report->m_message = DrainMessage(command, *report->m_drain);
      return true;
    case CtlCommand::kHistory:
      return ParseAnswer(result, &report->m_history);
    default:
      return false;
  }
}

bool HasTypedAnswer(const Command& command) {
  return command.m_kind == CtlCommand::kApply ||
         command.m_kind == CtlCommand::kDrain ||
         command.m_kind == CtlCommand::kResume ||
         command.m_kind == CtlCommand::kHistory;
}

std::string SuccessMessage(const Command& command) {
  if (command.m_host) {
    return "entry host " + command.m_host->m_value +
           " is removed; its safe shares move to other hosts";
  }
  if (command.m_member_change) {
    return CommandLineName(ToString(command.m_member_change->m_step)) + " of " +
           command.m_member_change->m_replica.m_host.m_value + " with folder " +
           std::to_string(command.m_member_change->m_replica.m_folder) +
           " is committed";
  }
  return {};
}

}  // namespace

net::HttpRequest MakeRequest(const Command& command,
                             const CtlOptions& options,
                             std::string text) {
  net::HttpRequest request{
      .m_target = RequestTarget(command),
      .m_headers = {{"Authorization", "Bearer " + options.m_operator_key},
                    {"Jujube-Operator", options.m_operator_name}}};
  if (command.m_kind == CtlCommand::kApply)
    request.m_body = std::move(text);
  else if (command.m_drain)
    request.m_body = SerializeJson(*command.m_drain);
  else if (command.m_host)
    request.m_body = SerializeJson(HostName{*command.m_host});
  else if (command.m_member_change)
    request.m_body = SerializeJson(*command.m_member_change);
  else
    return request;
  request.m_method = "POST";
  request.m_headers.push_back({"Content-Type", "application/json"});
  return request;
}

RetrySafety RetrySafetyOf(const Command& command) {
  const bool is_change =
      command.m_drain || command.m_host || command.m_member_change;
  return is_change ? RetrySafety::kUnsafe : RetrySafety::kSafe;
}

CtlReport MakeReport(const Command& command, const CallResult& result) {
  CtlReport report{.m_command = command.m_kind,
                   .m_result = result.m_decision.m_result};
  if (ParseTypedAnswer(command, result, &report))
    return report;
  if (report.m_result != ExitCode::kDone) {
    report.m_message = FailureMessage(command, result);
  } else if (HasTypedAnswer(command)) {
    report.m_result = ExitCode::kUnknown;
    report.m_message = EndpointText(result.m_host) +
                       ": the response could not be parsed; use the jujubectl "
                       "version of the control hosts";
  } else {
    report.m_message = SuccessMessage(command);
  }
  return report;
}

CtlReport MakeInvalidDocumentReport(const Command& command,
                                    std::vector<std::string> problems) {
  return {.m_command = command.m_kind,
          .m_result = ExitCode::kBadInput,
          .m_message = command.m_file +
                       " is not valid; nothing was sent. Correct it and run "
                       "'jujubectl validate " +
                       command.m_file + "'",
          .m_problems = std::move(problems)};
}

CtlReport MakeValidationReport(const Command& command,
                               const LoadedDocument& document) {
  if (!document.m_deployment)
    return MakeInvalidDocumentReport(command, document.m_problems);
  return {.m_command = command.m_kind,
          .m_message = command.m_file + " is valid: document " +
                       std::to_string(document.m_deployment->m_number)};
}

// ---- Statuses of control hosts ---------------------------------------------

ControlHostReport MakeHostReport(const Endpoint& endpoint,
                                 const CallOutcome& outcome) {
  ControlHostReport report{.m_endpoint = endpoint};
  const RetryDecision decision = DecideRetry(outcome, RetrySafety::kSafe);
  if (decision.m_result != ExitCode::kDone) {
    report.m_error = decision.m_message;
    return report;
  }
  auto status = ParseDocument<ControlDaemonStatus>(outcome.m_body, "answer");
  if (status)
    report.m_status = std::move(status).value();
  else
    report.m_error = status.error().m_message;
  return report;
}

const ControlDaemonStatus* MostRecentStatus(
    const std::vector<ControlHostReport>& hosts) {
  const auto rank = [](const ControlDaemonStatus& status) {
    const bool is_leader = status.m_role == "leader";
    return std::tuple(is_leader, is_leader ? status.m_term : 0,
                      status.m_applied_index);
  };
  const ControlDaemonStatus* most_recent = nullptr;
  for (const ControlHostReport& host : hosts) {
    if (host.m_status &&
        (most_recent == nullptr || rank(*most_recent) < rank(*host.m_status)))
      most_recent = &*host.m_status;
  }
  return most_recent;
}

bool HasLeader(const std::vector<ControlHostReport>& hosts) {
  const ControlDaemonStatus* most_recent = MostRecentStatus(hosts);
  return most_recent != nullptr && most_recent->m_role == "leader";
}

std::vector<HostId> LaggingEntryHosts(
    const std::vector<ControlHostReport>& hosts) {
  const ControlDaemonStatus* most_recent = MostRecentStatus(hosts);
  if (most_recent == nullptr)
    return {};
  const std::uint64_t index = most_recent->m_state.m_feed_index;
  std::vector<HostId> lagging = most_recent->m_lagging;
  std::erase_if(lagging, [&](const HostId& name) {
    return std::any_of(
        hosts.begin(), hosts.end(), [&](const ControlHostReport& host) {
          return host.m_status && std::any_of(host.m_status->m_in_force.begin(),
                                              host.m_status->m_in_force.end(),
                                              [&](const HostVersion& version) {
                                                return version.m_host == name &&
                                                       version.m_index >= index;
                                              });
        });
  });
  return lagging;
}

CtlReport MakeStatusReport(CtlCommand command,
                           std::vector<ControlHostReport> hosts) {
  CtlReport report{.m_command = command, .m_lagging = LaggingEntryHosts(hosts)};
  if (!HasLeader(hosts)) {
    report.m_result = ExitCode::kUnreachable;
    report.m_message =
        MostRecentStatus(hosts) == nullptr
            ? "no control host answered; check --control and --key_file"
            : "none of the control hosts that answered is the leader; the "
              "status shown may be out of date";
  }
  report.m_hosts = std::move(hosts);
  return report;
}

std::optional<CtlReport> FinalWaitReport(
    const CtlReport& accepted,
    const std::vector<ControlHostReport>& hosts) {
  const HistoryEntry& entry = accepted.m_apply->m_accepted;
  if (!HasLeader(hosts))
    return std::nullopt;
  const ControlStatus& state = MostRecentStatus(hosts)->m_state;
  CtlReport report = accepted;
  if (state.m_number > entry.m_number) {
    report.m_result = ExitCode::kNotInForce;
    report.m_message += "; document " + std::to_string(state.m_number) +
                        " has replaced it; to roll back, apply the content "
                        "under a new number";
    return report;
  }
  if (state.m_feed_index < entry.m_index || !LaggingEntryHosts(hosts).empty())
    return std::nullopt;
  report.m_message += "; in force on all entry hosts";
  return report;
}

CtlReport MakeWaitTimeoutReport(CtlReport accepted,
                                const std::vector<ControlHostReport>& hosts) {
  accepted.m_result = ExitCode::kNotInForce;
  accepted.m_lagging = LaggingEntryHosts(hosts);
  accepted.m_message +=
      (HasLeader(hosts)
           ? "; not in force yet on " + NamesText(accepted.m_lagging)
           : std::string("; no leader answered, so it is unknown where it is "
                         "in force")) +
      "; the document stays accepted, check 'jujubectl status'";
  return accepted;
}

}  // namespace jujube::ctl
