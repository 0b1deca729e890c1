// Parses decimal numbers of header fields.

#pragma once

#include <optional>
#include <string_view>

namespace jujube {

// Parses digits with an optional fraction, such as "12" or "6.4". Returns
// nullopt for any other text: signs, exponents, spaces, "inf" and "nan"
// included.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace jujube
