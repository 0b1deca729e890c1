// Prefix of addresses in CIDR form.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "lookup/address.h"

namespace jujube::lookup {

struct Prefix {
  Address m_network;          // bits after the length are zero
  std::uint8_t m_length = 0;  // at most 32 for IPv4, 128 for IPv6

  Uint128 First() const { return m_network.Number(); }
  Uint128 Last() const;

  // clang-tidy 14 takes a zero in the defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Prefix&, const Prefix&) = default;
};

// "192.0.2.0/24" or "2001:db8::/32". Refuses bits after the length, because
// they show that the address or the length is a mistake. An IPv4-mapped prefix
// of at least 96 bits becomes an IPv4 prefix.
Result<Prefix> ParsePrefix(std::string_view text);

std::string ToString(const Prefix& prefix);

// The prefix of the given length that holds the address.
Prefix PrefixOf(const Address& address, std::uint8_t length);

// The same for equal prefixes, however they were written, on every host.
std::uint64_t HashOf(const Prefix& prefix);

}  // namespace jujube::lookup
