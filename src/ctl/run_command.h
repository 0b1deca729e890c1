// RunCommand: executes one command.
//
//   HttpTransport transport;
//   const RunResult result = RunCommand(transport, command, options);
//   return static_cast<int>(result.m_report.m_result);

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/difference.h"
#include "ctl/call_leader.h"
#include "ctl/document.h"
#include "ctl/options.h"
#include "ctl/report.h"

namespace jujube::ctl {

struct RunResult {
  CtlReport m_report;
  // Standard output in place of the report: the document in force with config,
  // the log lines with explain.
  std::string m_output;

  friend auto operator<=>(const RunResult&, const RunResult&) = default;
};

// A status request to one control host gets 1 / kStatusTimeoutDivisor of the
// timeout.
inline constexpr int kStatusTimeoutDivisor = 5;
inline constexpr std::chrono::milliseconds kWaitPollInterval{100};

// Requests the status of each control host once, in sequence.
template <Transport T>
std::vector<ControlHostReport> FetchHostReports(T& transport,
                                                const CtlOptions& options) {
  const net::HttpRequest request =
      MakeRequest({.m_kind = CtlCommand::kStatus}, options, "");
  std::vector<ControlHostReport> hosts;
  for (const Endpoint& endpoint : options.m_control_hosts) {
    const MonoTime deadline =
        transport.Now() + options.m_timeout / kStatusTimeoutDivisor;
    hosts.push_back(
        MakeHostReport(endpoint, transport.Call(endpoint, request, deadline)));
  }
  return hosts;
}

template <Transport T>
CallResult CallLeader(T& transport,
                      const Command& command,
                      const CtlOptions& options,
                      std::string text) {
  return CallLeader(transport, HostCursor{.m_hosts = options.m_control_hosts},
                    MakeRequest(command, options, std::move(text)),
                    RetrySafetyOf(command), options.m_timeout);
}

// Waits until every entry host runs the accepted document, a later document has
// replaced it or m_wait_timeout has expired.
template <Transport T>
CtlReport WaitUntilInForce(T& transport,
                           const CtlOptions& options,
                           CtlReport report) {
  const MonoTime deadline = transport.Now() + options.m_wait_timeout;
  while (true) {
    const auto hosts = FetchHostReports(transport, options);
    if (std::optional<CtlReport> final_report = FinalWaitReport(report, hosts))
      return *std::move(final_report);
    if (transport.Now() + kWaitPollInterval >= deadline)
      return MakeWaitTimeoutReport(std::move(report), hosts);
    transport.SleepUntil(transport.Now() + kWaitPollInterval);
  }
}

template <Transport T>
RunResult RunApply(T& transport,
                   const Command& command,
                   const CtlOptions& options) {
  LoadedDocument document = LoadDocument(command.m_file);
  if (!document.m_deployment)
    return {MakeInvalidDocumentReport(command, std::move(document.m_problems))};
  CtlReport report = MakeReport(
      command,
      CallLeader(transport, command, options, std::move(document.m_text)));
  const bool should_wait =
      options.m_wait_timeout > std::chrono::milliseconds(0) &&
      report.m_result == ExitCode::kDone && report.m_apply;
  return {should_wait ? WaitUntilInForce(transport, options, std::move(report))
                      : report};
}

// Executes explain: reads the log files and selects the lines about the
// request.
RunResult RunExplain(const Command& command);

// Executes config and diff: fetches the document in force, then prints it or
// compares it with the file.
template <Transport T>
RunResult RunConfig(T& transport,
                    const Command& command,
                    const CtlOptions& options) {
  LoadedDocument file;
  if (command.m_kind == CtlCommand::kDiff) {
    file = LoadDocument(command.m_file);
    if (!file.m_deployment)
      return {MakeInvalidDocumentReport(command, std::move(file.m_problems))};
  }
  const CallResult result = CallLeader(transport, command, options, "");
  CtlReport report = MakeReport(command, result);
  if (report.m_result != ExitCode::kDone)
    return {report};
  const Result<Deployment> in_force =
      ParseDocumentInForce(result.m_outcome.m_body);
  if (!in_force) {
    report.m_result = ExitCode::kRefused;
    report.m_message = in_force.error().m_message;
    return {report};
  }
  if (command.m_kind == CtlCommand::kConfig)
    return {report, FormatDocument(in_force.value())};
  report.m_changes =
      config::DescribeChanges(in_force.value(), *file.m_deployment);
  if (report.m_changes.empty())
    report.m_message = "the file is equal to the document in force";
  return {report};
}

template <Transport T>
RunResult RunCommand(T& transport,
                     const Command& command,
                     const CtlOptions& options) {
  switch (command.m_kind) {
    case CtlCommand::kValidate:
      return {MakeValidationReport(command, LoadDocument(command.m_file))};
    case CtlCommand::kExplain:
      return RunExplain(command);
    case CtlCommand::kApply:
      return RunApply(transport, command, options);
    case CtlCommand::kDiff:
    case CtlCommand::kConfig:
      return RunConfig(transport, command, options);
    case CtlCommand::kMembers:
      if (command.m_member_change)
        break;
      [[fallthrough]];
    case CtlCommand::kStatus:
      return {MakeStatusReport(command.m_kind,
                               FetchHostReports(transport, options))};
    default:
      break;
  }
  return {MakeReport(command, CallLeader(transport, command, options, ""))};
}

}  // namespace jujube::ctl
