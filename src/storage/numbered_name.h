// File names that consist of a prefix and a number with 16 hexadecimal digits.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujube::storage {

std::string NumberedName(std::string_view prefix, std::uint64_t number);

// Returns nullopt for any other name.
std::optional<std::uint64_t> ParseNumberedName(std::string_view prefix,
                                               std::string_view name);

}  // namespace jujube::storage
