// Text form of an endpoint: "10.0.0.1:7400".

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gen/types.h"

namespace jujube {

// Writes an IPv6 address without brackets.
std::string EndpointText(const Endpoint& endpoint);

// Returns nullopt unless the text is an IPv4 address, a colon and a port from 1
// to 65535. net::ParseEndpoint (net/http_call.h) also accepts IPv6 and port 0.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace jujube
