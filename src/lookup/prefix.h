// Prefix: an IP network in CIDR notation.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "lookup/address.h"

namespace jujube::lookup {

struct Prefix {
  IpAddress m_network;        // the host bits are zero
  std::uint8_t m_length = 0;  // in bits: at most 32 for IPv4, 128 for IPv6

  // Lowest and highest address of the prefix, in host byte order.
  Uint128 FirstAddress() const { return m_network.ToUint128(); }
  Uint128 LastAddress() const;

  // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Prefix&, const Prefix&) = default;
};

// Parses "192.0.2.0/24" or "2001:db8::/32". Fails with kInvalidInput if a host
// bit is set, because then the address or the length is a mistake. An
// IPv4-mapped prefix of at least 96 bits becomes an IPv4 prefix.
Result<Prefix> ParsePrefix(std::string_view text);

std::string ToString(const Prefix& prefix);

// The prefix of `length` bits that contains the address.
Prefix EnclosingPrefix(const IpAddress& address, std::uint8_t length);

// Equal prefixes have equal hashes on every host, whatever their text form.
std::uint64_t HashPrefix(const Prefix& prefix);

}  // namespace jujube::lookup
