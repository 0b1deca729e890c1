// RunCommand: carries out one command.
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
  std::string m_document;  // with config: the document in force; with explain:
                           // the lines

  friend auto operator<=>(const RunResult&, const RunResult&) = default;
};

// Part of the time that one control host gets to tell its state.
inline constexpr int kStatusShare = 5;
inline constexpr std::chrono::milliseconds kWaitPoll{100};

// Asks each control host once, one after the other.
template <Transport T>
std::vector<ControlHostReport> AskAllHosts(T& transport,
                                           const CtlOptions& options) {
  const net::HttpRequest request =
      RequestOf({.m_kind = CtlCommand::kStatus}, options, "");
  std::vector<ControlHostReport> hosts;
  for (const Endpoint& endpoint : options.m_control) {
    const MonoTime deadline =
        transport.Now() + options.m_timeout / kStatusShare;
    hosts.push_back(
        HostReportOf(endpoint, transport.Call(endpoint, request, deadline)));
  }
  return hosts;
}

template <Transport T>
CallResult CallLeader(T& transport,
                      const Command& command,
                      const CtlOptions& options,
                      std::string text) {
  return CallLeader(transport, HostCursor{.m_hosts = options.m_control},
                    RequestOf(command, options, std::move(text)),
                    ResendOf(command), options.m_timeout);
}

// Waits until every entry host runs the accepted document.
template <Transport T>
CtlReport WaitInForce(T& transport,
                      const CtlOptions& options,
                      CtlReport report) {
  const MonoTime deadline = transport.Now() + options.m_wait;
  while (true) {
    const auto hosts = AskAllHosts(transport, options);
    if (std::optional<CtlReport> done = EndOfWait(report, hosts))
      return *std::move(done);
    if (transport.Now() + kWaitPoll >= deadline)
      return WaitTooLong(std::move(report), hosts);
    transport.SleepUntil(transport.Now() + kWaitPoll);
  }
}

template <Transport T>
RunResult RunApply(T& transport,
                   const Command& command,
                   const CtlOptions& options) {
  LoadedDocument document = LoadDocument(command.m_file);
  if (!document.m_deployment)
    return {ReportOfProblems(command, std::move(document.m_problems))};
  CtlReport report = ReportOf(command, CallLeader(transport, command, options,
                                                  std::move(document.m_text)));
  const bool waits = options.m_wait > std::chrono::milliseconds(0) &&
                     report.m_result == ExitCode::kDone && report.m_apply;
  return {waits ? WaitInForce(transport, options, std::move(report)) : report};
}

// Of explain: reads the log files and joins what they say about the request.
RunResult RunExplain(const Command& command);

// Of config and diff: reads the document in force, then compares it.
template <Transport T>
RunResult RunConfig(T& transport,
                    const Command& command,
                    const CtlOptions& options) {
  LoadedDocument file;
  if (command.m_kind == CtlCommand::kDiff) {
    file = LoadDocument(command.m_file);
    if (!file.m_deployment)
      return {ReportOfProblems(command, std::move(file.m_problems))};
  }
  const CallResult result = CallLeader(transport, command, options, "");
  CtlReport report = ReportOf(command, result);
  if (report.m_result != ExitCode::kDone)
    return {report};
  const Result<Deployment> in_force = ParseInForce(result.m_outcome.m_body);
  if (!in_force) {
    report.m_result = ExitCode::kRefused;
    report.m_message = in_force.error().m_message;
    return {report};
  }
  if (command.m_kind == CtlCommand::kConfig)
    return {report, PrintDocument(in_force.value())};
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
      return {ReportOfValidation(command, LoadDocument(command.m_file))};
    case CtlCommand::kExplain:
      return RunExplain(command);
    case CtlCommand::kApply:
      return RunApply(transport, command, options);
    case CtlCommand::kDiff:
    case CtlCommand::kConfig:
      return RunConfig(transport, command, options);
    case CtlCommand::kMembers:
      if (command.m_member)
        break;
      [[fallthrough]];
    case CtlCommand::kStatus:
      return {ReportOfHosts(command.m_kind, AskAllHosts(transport, options))};
    default:
      break;
  }
  return {ReportOf(command, CallLeader(transport, command, options, ""))};
}

}  // namespace jujube::ctl
