#include "lookup/prefix.h"

#include <charconv>

#include "core/hash.h"

namespace jujube::lookup {

namespace {

constexpr unsigned kV4Bits = 32;
constexpr unsigned kV6Bits = 128;
constexpr unsigned kIpv4MappedBits = kV6Bits - kV4Bits;

unsigned AddressBits(AddressFamily family) {
  return family == AddressFamily::kV4 ? kV4Bits : kV6Bits;
}

// Mask with all host bits set: those after the first `length` bits.
Uint128 HostMask(AddressFamily family, unsigned length) {
  const unsigned host_bits = AddressBits(family) - length;
  if (host_bits == kV6Bits)
    return ~Uint128{0};
  return (Uint128{1} << host_bits) - 1;
}

Error PrefixError(std::string_view text) {
  return MakeError(ErrorCode::kInvalidInput,
                   "found \"" + std::string(text) +
                       "\", expected a prefix such as 192.0.2.0/24 or "
                       "2001:db8::/32 with all host bits zero");
}

}  // namespace

Uint128 Prefix::LastAddress() const {
  return FirstAddress() | HostMask(m_network.m_family, m_length);
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
  const AddressFamily family = address.value().m_family;
  const bool is_ipv4_mapped =
      family == AddressFamily::kV4 &&
      text.substr(0, slash).find(':') != std::string_view::npos;
  if (is_ipv4_mapped && length < kIpv4MappedBits)
    return PrefixError(text);
  if (is_ipv4_mapped)
    length -= kIpv4MappedBits;
  if (length > AddressBits(family))
    return PrefixError(text);
  const Prefix prefix{.m_network = address.value(),
                      .m_length = static_cast<std::uint8_t>(length)};
  if ((prefix.FirstAddress() & HostMask(family, length)) != 0)
    return PrefixError(text);
  return prefix;
}

std::string ToString(const Prefix& prefix) {
  return ToString(prefix.m_network) + "/" + std::to_string(prefix.m_length);
}

Prefix EnclosingPrefix(const IpAddress& address, std::uint8_t length) {
  const Uint128 network =
      address.ToUint128() & ~HostMask(address.m_family, length);
  return {.m_network = {.m_family = address.m_family,
                        .m_high = static_cast<std::uint64_t>(network >> 64U),
                        .m_low = static_cast<std::uint64_t>(network)},
          .m_length = length};
}

std::uint64_t HashPrefix(const Prefix& prefix) {
  const std::uint64_t family_and_length =
      (prefix.m_network.m_family == AddressFamily::kV6 ? 256U : 0U) +
      prefix.m_length;
  return MixHash(MixHash(family_and_length, prefix.m_network.m_high),
                 prefix.m_network.m_low);
}

}  // namespace jujube::lookup
