// Rate limit in a header field.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujube::request {

// Parses a non-negative decimal number of requests per second, such as "6.4",
// to requests per 1000 s, rounded down. Returns nullopt for any other text.
std::optional<std::uint64_t> ParseRateLimit(std::string_view text);

}  // namespace jujube::request
