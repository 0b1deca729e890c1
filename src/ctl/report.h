// Reports of commands, from the answers of control hosts.
//
// Functions from values to values; run_command.h sends the requests.

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

// The request of a command that goes to the leader. `text` is the document of
// an apply.
net::HttpRequest RequestOf(const Command& command,
                           const CtlOptions& options,
                           std::string text);

// Whether the request of the command may be sent again without an answer.
Resend ResendOf(const Command& command);

// Report of an answer to a change, or to history.
CtlReport ReportOf(const Command& command, const CallResult& result);

// Report of a file that fails its checks.
CtlReport ReportOfProblems(const Command& command,
                           std::vector<std::string> problems);

// Report of validate.
CtlReport ReportOfValidation(const Command& command,
                             const LoadedDocument& document);

// The state of one control host from its answer.
ControlHostReport HostReportOf(const Endpoint& endpoint,
                               const CallOutcome& outcome);

// The state of the leader, or else of the host that applied most; nullptr if no
// host answered. Of two that say that they lead, the higher term counts: an
// isolated leader takes a moment to step down.
const ControlDaemonStatus* BestStatus(
    const std::vector<ControlHostReport>& hosts);

// Whether a host answered that leads.
bool HasLeader(const std::vector<ControlHostReport>& hosts);

// Entry hosts of the document that do not run the feed index in force. An entry
// host reports to the control host whose feed it follows, so the answers of all
// are needed.
std::vector<HostId> LaggingHosts(const std::vector<ControlHostReport>& hosts);

// Report of status and members.
CtlReport ReportOfHosts(CtlCommand command,
                        std::vector<ControlHostReport> hosts);

// What the states say about an accepted document: nothing while some entry
// hosts lag or no leader answered, else the report that ends the wait. A later
// document may be in force by then, also if a resent one was accepted long ago.
std::optional<CtlReport> EndOfWait(const CtlReport& accepted,
                                   const std::vector<ControlHostReport>& hosts);

// The report of a wait that took too long.
CtlReport WaitTooLong(CtlReport accepted,
                      const std::vector<ControlHostReport>& hosts);

}  // namespace jujube::ctl
