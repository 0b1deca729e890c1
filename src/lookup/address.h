// IpAddress: an IPv4 or IPv6 address as a plain value. Uses no sockets.
//
//   JUJUBE_TRY(const IpAddress address, ParseAddress("192.0.2.1"));
//   ToString(address);  // "192.0.2.1"

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"

namespace jujube::lookup {

enum class AddressFamily : std::uint8_t { kV4, kV6 };

using Uint128 = unsigned __int128;

// An IPv4-mapped IPv6 address (::ffff:a.b.c.d) is always stored as IPv4, so
// that a caller gets the same answer from IPv4 and IPv6 listeners.
struct IpAddress {
  AddressFamily m_family = AddressFamily::kV4;
  std::uint64_t m_high = 0;  // upper 64 bits of an IPv6 address; 0 for IPv4
  std::uint64_t m_low = 0;   // lower 64 bits of IPv6, or all 32 bits of IPv4

  // The address as an integer in host byte order.
  Uint128 ToUint128() const { return (Uint128{m_high} << 64U) | m_low; }

  // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const IpAddress&, const IpAddress&) = default;
};

// `number` is in host byte order: 0x7f000001 is 127.0.0.1.
IpAddress AddressFromV4(std::uint32_t number);

// `bytes` are in network byte order.
IpAddress AddressFromV6(const std::array<std::uint8_t, 16>& bytes);

// Parses "192.0.2.1" or "2001:db8::1", without port, scope id or brackets.
// Fails with kInvalidInput.
Result<IpAddress> ParseAddress(std::string_view text);

std::string ToString(const IpAddress& address);

}  // namespace jujube::lookup
