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

// Sections: requests, answers to changes, states of control hosts.

namespace jujube::ctl {

namespace {

template <class T>
std::string Text(const T& value) {
  return boost::json::serialize(ToJson(value));
}

// ---- Requests --------------------------------------------------------------

std::string TargetOf(const Command& command) {
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
      if (command.m_member)
        return "/v1/members";
      [[fallthrough]];
    case CtlCommand::kStatus:
    case CtlCommand::kValidate:
      return "/v1/status";
  }
  return "/v1/status";
}

// ---- Answers to changes ----------------------------------------------------

std::string HowToResolve(const Command& command) {
  switch (command.m_kind) {
    case CtlCommand::kApply:
      return "apply the same file again: if it was accepted, the answer is the "
             "first one";
    case CtlCommand::kDrain:
    case CtlCommand::kResume:
      return "look at the drains in 'jujubectl status', and repeat the command "
             "if it is still wanted";
    case CtlCommand::kRemoveHost:
      return "look at the host in 'jujubectl status' before repeating the "
             "command, which would also remove a host that was started since";
    default:
      return "look at 'jujubectl members' before repeating the command";
  }
}

std::string FailureMessage(const Command& command, const CallResult& result) {
  const Judgement& judgement = result.m_judgement;
  std::string what = EndpointText(result.m_host) + ": " + judgement.m_message;
  if (judgement.m_result == ExitCode::kUnknown) {
    return "the outcome is unknown: " + what + "; " + HowToResolve(command);
  }
  if (judgement.m_result == ExitCode::kUnreachable) {
    return "no leader was reached; the last attempt: " + what +
           "; check --control, and that a majority of the control hosts runs";
  }
  return what;
}

std::string ApplyMessage(const ApplyAnswer& answer) {
  const HistoryEntry& entry = answer.m_accepted;
  const std::string number = std::to_string(entry.m_number);
  const std::string by = " (operator " + entry.m_operator_name + ", " +
                         TimeText(entry.m_time) + ", index " +
                         std::to_string(entry.m_index) + ")";
  switch (answer.m_outcome) {
    case ApplyOutcome::kAccepted:
      return "document " + number + " is accepted" + by;
    case ApplyOutcome::kConflict:
      return "$.number: found " + number +
             ", under which another document was accepted" + by +
             "; see what it changed with 'jujubectl diff', then give this one "
             "a higher number";
    case ApplyOutcome::kNumberTooLow:
      return "$.number: allowed is a number above " + number +
             ", which is in force" + by +
             "; to roll back, apply the old content under a new number";
    case ApplyOutcome::kBaseChanged:
      return "other documents were accepted at the same time; repeat the "
             "command";
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
      return object + ": the greatest number of drains is in force; resume one";
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

// Fills in the answer of a command that has a typed one. A ControlError has
// other keys, so it does not parse as one of them.
bool ParseTypedAnswer(const Command& command,
                      const CallResult& result,
                      CtlReport* report) {
  if (result.m_outcome.m_delivery != Delivery::kAnswered)
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

std::string DoneMessage(const Command& command) {
  if (command.m_host) {
    return "entry host " + command.m_host->m_value +
           " is removed; its safe shares move to other hosts";
  }
  if (command.m_member) {
    return TypedName(ToString(command.m_member->m_step)) + " of " +
           command.m_member->m_replica.m_host.m_value + " with folder " +
           std::to_string(command.m_member->m_replica.m_folder) +
           " is committed";
  }
  return {};
}

}  // namespace

net::HttpRequest RequestOf(const Command& command,
                           const CtlOptions& options,
                           std::string text) {
  net::HttpRequest request{
      .m_target = TargetOf(command),
      .m_headers = {{"Authorization", "Bearer " + options.m_key},
                    {"Jujube-Operator", options.m_operator}}};
  if (command.m_kind == CtlCommand::kApply)
    request.m_body = std::move(text);
  else if (command.m_drain)
    request.m_body = Text(*command.m_drain);
  else if (command.m_host)
    request.m_body = Text(HostName{*command.m_host});
  else if (command.m_member)
    request.m_body = Text(*command.m_member);
  else
    return request;
  request.m_method = "POST";
  request.m_headers.push_back({"Content-Type", "application/json"});
  return request;
}

Resend ResendOf(const Command& command) {
  const bool is_change = command.m_drain || command.m_host || command.m_member;
  return is_change ? Resend::kUnsafe : Resend::kSafe;
}

CtlReport ReportOf(const Command& command, const CallResult& result) {
  CtlReport report{.m_command = command.m_kind,
                   .m_result = result.m_judgement.m_result};
  if (ParseTypedAnswer(command, result, &report))
    return report;
  if (report.m_result != ExitCode::kDone) {
    report.m_message = FailureMessage(command, result);
  } else if (HasTypedAnswer(command)) {
    report.m_result = ExitCode::kUnknown;
    report.m_message = EndpointText(result.m_host) +
                       ": the answer is not understood; use a jujubectl of "
                       "the version of the control hosts";
  } else {
    report.m_message = DoneMessage(command);
  }
  return report;
}

CtlReport ReportOfProblems(const Command& command,
                           std::vector<std::string> problems) {
  return {.m_command = command.m_kind,
          .m_result = ExitCode::kBadInput,
          .m_message = command.m_file +
                       " is not valid; nothing was sent. Correct it and run "
                       "'jujubectl validate " +
                       command.m_file + "'",
          .m_problems = std::move(problems)};
}

CtlReport ReportOfValidation(const Command& command,
                             const LoadedDocument& document) {
  if (!document.m_deployment)
    return ReportOfProblems(command, document.m_problems);
  return {.m_command = command.m_kind,
          .m_message = command.m_file + " is valid: document " +
                       std::to_string(document.m_deployment->m_number)};
}

// ---- States of control hosts -----------------------------------------------

ControlHostReport HostReportOf(const Endpoint& endpoint,
                               const CallOutcome& outcome) {
  ControlHostReport report{.m_endpoint = endpoint};
  const Judgement judgement = Judge(outcome, Resend::kSafe);
  if (judgement.m_result != ExitCode::kDone) {
    report.m_error = judgement.m_message;
    return report;
  }
  auto status = ParseDocument<ControlDaemonStatus>(outcome.m_body, "answer");
  if (status)
    report.m_status = std::move(status).value();
  else
    report.m_error = status.error().m_message;
  return report;
}

const ControlDaemonStatus* BestStatus(
    const std::vector<ControlHostReport>& hosts) {
  const auto rank = [](const ControlDaemonStatus& status) {
    const bool leads = status.m_role == "leader";
    return std::tuple(leads, leads ? status.m_term : 0, status.m_applied_index);
  };
  const ControlDaemonStatus* best = nullptr;
  for (const ControlHostReport& host : hosts) {
    if (host.m_status &&
        (best == nullptr || rank(*best) < rank(*host.m_status)))
      best = &*host.m_status;
  }
  return best;
}

bool HasLeader(const std::vector<ControlHostReport>& hosts) {
  const ControlDaemonStatus* best = BestStatus(hosts);
  return best != nullptr && best->m_role == "leader";
}

std::vector<HostId> LaggingHosts(const std::vector<ControlHostReport>& hosts) {
  const ControlDaemonStatus* best = BestStatus(hosts);
  if (best == nullptr)
    return {};
  const std::uint64_t index = best->m_state.m_feed_index;
  std::vector<HostId> lagging = best->m_lagging;
  std::erase_if(lagging, [&](const HostId& name) {
    return std::any_of(
        hosts.begin(), hosts.end(), [&](const ControlHostReport& host) {
          return host.m_status && std::any_of(host.m_status->m_in_force.begin(),
                                              host.m_status->m_in_force.end(),
                                              [&](const HostVersion& line) {
                                                return line.m_host == name &&
                                                       line.m_index >= index;
                                              });
        });
  });
  return lagging;
}

CtlReport ReportOfHosts(CtlCommand command,
                        std::vector<ControlHostReport> hosts) {
  CtlReport report{.m_command = command, .m_lagging = LaggingHosts(hosts)};
  if (!HasLeader(hosts)) {
    report.m_result = ExitCode::kUnreachable;
    report.m_message =
        BestStatus(hosts) == nullptr
            ? "no control host answered; check --control and --key_file"
            : "no control host that answered leads; what is shown may be out "
              "of date";
  }
  report.m_hosts = std::move(hosts);
  return report;
}

std::optional<CtlReport> EndOfWait(
    const CtlReport& accepted,
    const std::vector<ControlHostReport>& hosts) {
  const HistoryEntry& entry = accepted.m_apply->m_accepted;
  if (!HasLeader(hosts))
    return std::nullopt;
  const ControlStatus& state = BestStatus(hosts)->m_state;
  CtlReport report = accepted;
  if (state.m_number > entry.m_number) {
    report.m_result = ExitCode::kNotInForce;
    report.m_message += "; document " + std::to_string(state.m_number) +
                        " has replaced it; to roll back, apply the content "
                        "under a new number";
    return report;
  }
  if (state.m_feed_index < entry.m_index || !LaggingHosts(hosts).empty())
    return std::nullopt;
  report.m_message += "; in force on all entry hosts";
  return report;
}

CtlReport WaitTooLong(CtlReport accepted,
                      const std::vector<ControlHostReport>& hosts) {
  accepted.m_result = ExitCode::kNotInForce;
  accepted.m_lagging = LaggingHosts(hosts);
  accepted.m_message +=
      (HasLeader(hosts)
           ? "; not in force yet on " + NamesText(accepted.m_lagging)
           : std::string("; no leader answered that knows where it is in "
                         "force")) +
      "; look at 'jujubectl status', the document stays accepted";
  return accepted;
}

}  // namespace jujube::ctl
