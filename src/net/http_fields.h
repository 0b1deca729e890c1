// Access to the header fields of a message head.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gen/http.h"

namespace jujube::net {

// Value of the first field with the name, compared without regard to case.
std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name);

// True for fields that end at each connection (RFC 9110, section 7.6.1) or
// that the library writes itself, such as Connection and Content-Length.
bool IsHopByHop(std::string_view name);

// Compares without regard to the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Value of a parameter in the query of a target, percent-decoded.
std::optional<std::string> QueryParameter(std::string_view target,
                                          std::string_view name);

// The target without its query.
std::string_view TargetPath(std::string_view target);

}  // namespace jujube::net
