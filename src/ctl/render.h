// Formats reports as text for operators.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gen/ctl.h"
#include "gen/deployment.h"

namespace jujube::ctl {

// Text for standard output: tables and the message of a successful command.
std::string RenderText(const CtlReport& report);

// Text for standard error: problems and the message of a failed command.
std::string RenderError(const CtlReport& report);

// 127.0.0.1:8093 or [::1]:8093
std::string EndpointText(const Endpoint& endpoint);
std::string DrainText(const Drain& drain);    // region luzon
std::string TimeText(std::uint64_t unix_ms);  // 2026-01-31T08:00:00Z
std::string NamesText(const std::vector<HostId>& hosts);  // e1, e2

}  // namespace jujube::ctl
