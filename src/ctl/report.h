// Builds the requests of commands, and their reports from the responses of
// control hosts.
//
// All functions are pure; run_command.h sends the requests.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ctl/call_leader.h"
#include "ctl/command.h"
#include "ctl/document.h"
#include "ctl/options.h"
#include "gen/ctl.h"

namespace jujube::ctl {

// Builds the HTTP request of a command. `text` is the document to apply; other
// commands ignore it.
net::HttpRequest MakeRequest(const Command& command,
                             const CtlOptions& options,
                             std::string text);

// Reads and apply are safe to retry.
RetrySafety RetrySafetyOf(const Command& command);

// Report of a command that was sent to the leader.
CtlReport MakeReport(const Command& command, const CallResult& result);

// Report of a file with problems, which was not sent.
CtlReport MakeInvalidDocumentReport(const Command& command,
                                    std::vector<std::string> problems);

// Report of validate.
CtlReport MakeValidationReport(const Command& command,
                               const LoadedDocument& document);

// Status of one control host, or the reason why there is none.
ControlHostReport MakeHostReport(const Endpoint& endpoint,
                                 const CallOutcome& outcome);

// Returns the status of the leader, else of the host with the highest applied
// index; nullptr if no host responded. If two hosts claim to lead, the one with
// the higher term counts: an isolated leader steps down with a delay.
const ControlDaemonStatus* MostRecentStatus(
    const std::vector<ControlHostReport>& hosts);

// True if one of the hosts is the leader.
bool HasLeader(const std::vector<ControlHostReport>& hosts);

// Entry hosts of the document that have not applied the current feed index. An
// entry host reports to the control host whose feed it follows, so the statuses
// of all control hosts are needed.
std::vector<HostId> LaggingEntryHosts(
    const std::vector<ControlHostReport>& hosts);

// Report of status and members.
CtlReport MakeStatusReport(CtlCommand command,
                           std::vector<ControlHostReport> hosts);

// Returns the final report of `apply --wait`, or nullopt while no leader has
// responded, the leader has not applied the document or some entry hosts lag. A
// later document may be in force instead of the accepted one, for example if
// the apply was a resend of an old document.
std::optional<CtlReport> FinalWaitReport(
    const CtlReport& accepted,
    const std::vector<ControlHostReport>& hosts);

// Report of `apply --wait` after its timeout.
CtlReport MakeWaitTimeoutReport(CtlReport accepted,
                                const std::vector<ControlHostReport>& hosts);

}  // namespace jujube::ctl
