// ExplainRequest: collects the log lines of several hosts about one request.
//
//   const auto lines = ExplainRequest("9c41d07be2a35f68", {"...", "..."});
//
// Selects the lines with the id of the request. For each instance in these
// lines, also selects the events up to the last line of the request in which
// the instance appeared, left, stopped sending announcements or was ejected.
// Parses text and JSON lines.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujube::ctl {

// Returns the lines in order of their timestamps; the clocks of hosts may
// differ. Empty if no line has the id of the request: an upstream responded to
// it, or it is in other logs.
std::vector<std::string> ExplainRequest(std::string_view request,
                                        const std::vector<std::string>& logs);

}  // namespace jujube::ctl
