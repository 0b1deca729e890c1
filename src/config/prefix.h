// Canonical text of addresses and prefixes.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jujube::config {

// The address as inet_ntop prints it; nothing if it is no IPv4 or IPv6 address.
std::optional<std::string> CanonicalAddress(std::string_view text);

// "10.1.2.3/16" becomes "10.1.0.0/16": bits beyond the length are cleared.
// Nothing if the text is no prefix.
std::optional<std::string> CanonicalPrefix(std::string_view text);

}  // namespace jujube::config
