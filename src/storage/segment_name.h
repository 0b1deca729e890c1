// File names of the segments of the write-ahead log.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace jujube::storage {

// "log-" followed by the number as 16 hexadecimal digits.
std::string SegmentName(std::uint64_t number);

// Returns nullopt for any other name.
std::optional<std::uint64_t> ParseSegmentName(const std::string& name);

}  // namespace jujube::storage
