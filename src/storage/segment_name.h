// Names of the segments of the write-ahead log.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace jujube::storage {

// "log-" and the number in 16 hexadecimal digits.
std::string SegmentName(std::uint64_t number);

// Nothing for any other name.
std::optional<std::uint64_t> NumberOfSegment(const std::string& name);

}  // namespace jujube::storage
