// ExplainRequest: what the logs of several hosts say about one request.
//
//   const auto lines = ExplainRequest("9c41d07be2a35f68", {"...", "..."});
//
// Finds the lines that name the request and, from the instances that they name,
// when each of these appeared, left, fell silent or was ejected before the
// request's last line. Text and JSON lines are understood.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujube::ctl {

// Lines in order of their time; the clocks of hosts may differ. Empty if no
// line names the request: it was answered by an upstream, or is in other logs.
std::vector<std::string> ExplainRequest(std::string_view request,
                                        const std::vector<std::string>& logs);

}  // namespace jujube::ctl
