#include "core/decimal.h"

#include <charconv>

namespace jujube {

std::optional<double> ParseDecimal(std::string_view text) {
  // The character set excludes the signs and names that from_chars accepts.
  if (text.empty() ||
      text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc() || parsed_end != end)
    return std::nullopt;
  return number;
}

}  // namespace jujube
