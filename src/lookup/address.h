// IP address as a value, without sockets.

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace jujube::lookup {

enum class Family : std::uint8_t { kV4, kV6 };

using Uint128 = unsigned __int128;

// An IPv4-mapped IPv6 address (::ffff:a.b.c.d) is always held as IPv4, so that
// a caller gets the same answer through a listener of either family.
struct Address {
  Family m_family = Family::kV4;
  std::uint64_t m_high = 0;  // upper 64 bits of an IPv6 address, else 0
  std::uint64_t m_low = 0;   // lower 64 bits, or the 32 bits of IPv4

  // Value as a number in host byte order.
  Uint128 Number() const { return (Uint128{m_high} << 64U) | m_low; }

  // clang-tidy 14 takes a zero in the defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Address&, const Address&) = default;
};

// From the number in host byte order, for example 0x7f000001.
Address AddressFromV4(std::uint32_t number);

// From the bytes in network byte order.
Address AddressFromV6(const std::array<std::uint8_t, 16>& bytes);

// "192.0.2.1" or "2001:db8::1"; no port, no zone, no brackets.
Result<Address> ParseAddress(std::string_view text);

std::string ToString(const Address& address);

}  // namespace jujube::lookup
