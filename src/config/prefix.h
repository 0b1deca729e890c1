// Canonical text form of IP addresses and prefixes.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jujube::config {

// The address as formatted by inet_ntop; nullopt if the text is not an IPv4 or
// IPv6 address.
std::optional<std::string> CanonicalAddress(std::string_view text);

// Clears the host bits: "10.1.2.3/16" becomes "10.1.0.0/16". Returns nullopt
// if the text is not a prefix.
std::optional<std::string> CanonicalPrefix(std::string_view text);

}  // namespace jujube::config
