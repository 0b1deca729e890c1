// Helpers for header fields and request targets.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gen/http.h"

namespace jujube::net {

// Value of the first field with this name (case-insensitive).
std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name);

// True for hop-by-hop fields (RFC 9110, section 7.6.1) and for fields that the
// HTTP library sets itself, such as Content-Length. Also true for Expect and
// Trailer. HttpExchange::Begin and HttpConnection::SendHead silently drop all
// of these fields.
bool IsHopByHop(std::string_view name);

// Compares two strings, ignoring the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Percent-decoded value of a query parameter of a request target.
std::optional<std::string> QueryParameter(std::string_view target,
                                          std::string_view name);

// The request target without its query.
std::string_view TargetPath(std::string_view target);

}  // namespace jujube::net
