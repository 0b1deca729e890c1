// ExplainRequest: collects the log lines of several hosts about one request.
//
//   const auto lines = ExplainRequest("9c41d07be2a35f68", {"...", "..."});
//
// Selects the lines with the id of the request. Also selects the lines which
// report that an instance in one of those lines appeared, left, stopped sending
// announcements or was ejected, but none after the last line of the request.
// Parses text and JSON lines.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujube::ctl {

// Returns the lines in order of their timestamps; the clocks of hosts may
// differ. Empty if no line has the id of the request: an upstream responded to
// its first attempt, or its lines are in other logs.
std::vector<std::string> ExplainRequest(std::string_view request,
                                        const std::vector<std::string>& logs);

}  // namespace jujube::ctl
