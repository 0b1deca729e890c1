#include "storage/numbered_name.h"

#include <charconv>

#include "core/hash.h"

namespace jujube::storage {

namespace {

constexpr std::size_t kHexDigits = 16;

}  // namespace

std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  std::string big_endian_bytes;
  for (unsigned shift = 64; shift > 0; shift -= 8)
    big_endian_bytes += static_cast<char>((number >> (shift - 8)) & 0xffU);
  return std::string(prefix) + Hex(big_endian_bytes);
}

std::optional<std::uint64_t> ParseNumberedName(std::string_view prefix,
                                               std::string_view name) {
  if (!name.starts_with(prefix) || name.size() != prefix.size() + kHexDigits)
    return std::nullopt;
  std::uint64_t number = 0;
  const char* end = name.data() + name.size();
  const auto result =
      std::from_chars(name.data() + prefix.size(), end, number, kHexDigits);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

}  // namespace jujube::storage
