// Retry-After header field with a number of seconds.

#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace jujube::request {

// Parses a non-negative decimal number of seconds, such as "2" or "0.25", and
// rounds it up to milliseconds. Returns nullopt for any other text, a date
// included.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace jujube::request
