#include "lookup/prefix.h"

#include <charconv>

#include "core/hash.h"

namespace jujube::lookup {

namespace {

constexpr unsigned kV4Bits = 32;
constexpr unsigned kV6Bits = 128;
constexpr unsigned kMappedBits = kV6Bits - kV4Bits;

unsigned BitsOf(Family family) {
  return family == Family::kV4 ? kV4Bits : kV6Bits;
}

// Ones in the bits after the length.
Uint128 HostMask(Family family, unsigned length) {
  const unsigned host_bits = BitsOf(family) - length;
  if (host_bits == kV6Bits)
    return ~Uint128{0};
  return (Uint128{1} << host_bits) - 1;
}

Error PrefixError(std::string_view text) {
  return MakeError(ErrorCode::kInvalidInput,
                   "found \"" + std::string(text) +
                       "\", allowed is a prefix such as 192.0.2.0/24 or "
                       "2001:db8::/32 without bits after its length");
}

}  // namespace

Uint128 Prefix::Last() const {
  return First() | HostMask(m_network.m_family, m_length);
}

Result<Prefix> ParsePrefix(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return PrefixError(text);
  const auto address = ParseAddress(text.substr(0, slash));
  if (!address)
    return PrefixError(text);
  unsigned length = 0;
  const std::string_view digits = text.substr(slash + 1);
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, length);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return PrefixError(text);
  const Family family = address.value().m_family;
  const bool mapped = family == Family::kV4 &&
                      text.substr(0, slash).find(':') != std::string_view::npos;
  if (mapped && length < kMappedBits)
    return PrefixError(text);
  if (mapped)
    length -= kMappedBits;
  if (length > BitsOf(family))
    return PrefixError(text);
  const Prefix prefix{.m_network = address.value(),
                      .m_length = static_cast<std::uint8_t>(length)};
  if ((prefix.First() & HostMask(family, length)) != 0)
    return PrefixError(text);
  return prefix;
}

std::string ToString(const Prefix& prefix) {
  return ToString(prefix.m_network) + "/" + std::to_string(prefix.m_length);
}

Prefix PrefixOf(const Address& address, std::uint8_t length) {
  const Uint128 network =
      address.Number() & ~HostMask(address.m_family, length);
  return {.m_network = {.m_family = address.m_family,
                        .m_high = static_cast<std::uint64_t>(network >> 64U),
                        .m_low = static_cast<std::uint64_t>(network)},
          .m_length = length};
}

std::uint64_t HashOf(const Prefix& prefix) {
  const std::uint64_t kind =
      (prefix.m_network.m_family == Family::kV6 ? 256U : 0U) + prefix.m_length;
  return MixHash(MixHash(kind, prefix.m_network.m_high),
                 prefix.m_network.m_low);
}

}  // namespace jujube::lookup
